package caller

import (
	"encoding/json"
	"errors"
	"net/http"

	"mustarddoor/internal/request/outcome"
)

// faultKind classifies what is wrong with the form of a request.
type faultKind string

const (
	malformed    faultKind = "malformed"
	tooLarge     faultKind = "too_large"
	unknownRoute faultKind = "unknown_route"
	unknownTeam  faultKind = "unknown_team"
	notReady     faultKind = "not_ready"
)

// fault tells what is wrong with the form of a request. The request at hand is
// not run.
type fault struct {
	kind   faultKind
	detail string
	// outcome is what can be said of the request's key, which an earlier
	// request may have used.
	outcome outcome.Outcome
}

func faultOf(kind faultKind, detail string) *fault {
	return &fault{kind: kind, detail: detail, outcome: outcome.NotRun}
}

// bodyFault tells an oversize body from a broken one.
func bodyFault(err error) *fault {
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return faultOf(tooLarge, "body is larger than allowed")
	}
	return faultOf(malformed, "body cannot be read")
}

func (f *fault) status() int {
	switch f.kind {
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

// faultBody is the JSON of a fault; its first fields are those of a refusal.
type faultBody struct {
	Outcome          outcome.Outcome `json:"outcome"`
	Reason           faultKind       `json:"reason"`
	RetryAfterMillis int64           `json:"retry_after_ms"`
	Addresses        []string        `json:"addresses"`
	Detail           string          `json:"detail"`
}

// write answers with the fault and the caller addresses of other hosts.
func (f *fault) write(w http.ResponseWriter, others []string) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(f.status())
	body := faultBody{Outcome: f.outcome, Reason: f.kind, Addresses: others, Detail: f.detail}
	return json.NewEncoder(w).Encode(body)
}
