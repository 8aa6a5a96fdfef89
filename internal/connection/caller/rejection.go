package caller

import (
	"encoding/json"
	"errors"
	"net/http"

	"mustarddoor/internal/request/outcome"
)

// rejectionKind classifies what is wrong with the form of a request.
type rejectionKind string

const (
	malformed    rejectionKind = "malformed"
	tooLarge     rejectionKind = "too_large"
	unknownRoute rejectionKind = "unknown_route"
	unknownTeam  rejectionKind = "unknown_team"
	notReady     rejectionKind = "not_ready"
)

// rejection tells what is wrong with the form of a request. The request at hand is
// not run.
type rejection struct {
	kind   rejectionKind
	detail string
	// outcome is what can be said of the request's key, which an earlier
	// request may have used.
	outcome outcome.Outcome
}

func newRejection(kind rejectionKind, detail string) *rejection {
	return &rejection{kind: kind, detail: detail, outcome: outcome.NotRun}
}

// bodyRejection tells an oversize body from a broken one.
func bodyRejection(err error) *rejection {
	var sizeErr *http.MaxBytesError
	if errors.As(err, &sizeErr) {
		return newRejection(tooLarge, "body is larger than allowed")
	}
	return newRejection(malformed, "body cannot be read")
}

func (r *rejection) status() int {
	switch r.kind {
	case tooLarge:
		return http.StatusRequestEntityTooLarge
	case unknownRoute:
		return http.StatusNotFound
	case unknownTeam:
		return http.StatusForbidden
	case notReady:
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadRequest
	}
}

// rejectionBody is the JSON of a fault; its first fields are those of a refusal.
type rejectionBody struct {
	Outcome          outcome.Outcome `json:"outcome"`
	Reason           rejectionKind   `json:"reason"`
	RetryAfterMillis int64           `json:"retry_after_ms"`
	Addresses        []string        `json:"addresses"`
	Detail           string          `json:"detail"`
}

// write answers with the fault and the caller addresses of other hosts.
func (r *rejection) write(w http.ResponseWriter, otherHosts []string) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(r.status())
	body := rejectionBody{Outcome: r.outcome, Reason: r.kind, Addresses: otherHosts, Detail: r.detail}
	return json.NewEncoder(w).Encode(body)
}
