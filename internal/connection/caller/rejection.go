package caller

import (
	"encoding/json"
	"errors"
	"net/http"

	"mustarddoor/internal/request/outcome"
)

// rejectionKind is the reason of a rejection.
type rejectionKind string

const (
	malformed    rejectionKind = "malformed"
	tooLarge     rejectionKind = "too_large"
	unknownRoute rejectionKind = "unknown_route"
	unknownTeam  rejectionKind = "unknown_team"
	notReady     rejectionKind = "not_ready"
)

// rejection is the result of a request that fails validation or reaches a host
// that is not ready. The request is not run.
type rejection struct {
	kind   rejectionKind
	detail string
	// outcome is the outcome for the request's key. It is Unknown if an earlier
	// request with the key may have run.
	outcome outcome.Outcome
}

func newRejection(kind rejectionKind, detail string) *rejection {
	return &rejection{kind: kind, detail: detail, outcome: outcome.NotRun}
}

// bodyRejection returns the rejection for an error while reading the body: too
// large or malformed.
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

// rejectionBody is the JSON encoding of a rejection. It extends that of a
// refusal by the detail.
type rejectionBody struct {
	Outcome          outcome.Outcome `json:"outcome"`
	Reason           rejectionKind   `json:"reason"`
	RetryAfterMillis int64           `json:"retry_after_ms"`
	Addresses        []string        `json:"addresses"`
	Detail           string          `json:"detail"`
}

// write writes the rejection with the frontend addresses of other hosts.
func (r *rejection) write(w http.ResponseWriter, otherHosts []string) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(r.status())
	body := rejectionBody{Outcome: r.outcome, Reason: r.kind, Addresses: otherHosts, Detail: r.detail}
	return json.NewEncoder(w).Encode(body)
}
