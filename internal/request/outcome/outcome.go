// Package outcome defines what can become of a request and how a refusal is
// told to its caller.
//
// An outcome is a guarantee about side effects: NotRun says that the request was
// not dispatched and never will be under its key, Unknown says that this could
// not be established. Code that cannot prove NotRun must answer Unknown.
package outcome

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// ErrSyntax is returned when a body is not a refusal.
var ErrSyntax = eris.New("not a refusal")

// Outcome is what became of a request.
type Outcome string

// The outcomes.
const (
	// NotRun means that the request was not dispatched and that no host will
	// dispatch it under its key. The caller may send it again under a new key.
	NotRun Outcome = "not_run"
	// Unknown means that the request may or may not have run.
	Unknown Outcome = "unknown"
	// Failed means that the request was dispatched and did not succeed.
	Failed Outcome = "failed"
	// Done means that the whole answer was received from the endpoint.
	Done Outcome = "done"
)

// Reason says why a request was refused.
type Reason string

// The reasons of refusals.
const (
	// ReasonBadRequest: the request itself cannot be served.
	ReasonBadRequest Reason = "bad_request"
	// ReasonQueueFull: the team's or the host's queue is full.
	ReasonQueueFull Reason = "queue_full"
	// ReasonShed: the request's tier is being shed.
	ReasonShed Reason = "shed"
	// ReasonDeadline: the deadline cannot be met any more.
	ReasonDeadline Reason = "deadline"
	// ReasonNoEndpoint: no endpoint can take the request.
	ReasonNoEndpoint Reason = "no_endpoint"
	// ReasonNotReady: the host has no configuration yet.
	ReasonNotReady Reason = "not_ready"
	// ReasonStopping: the host is shutting down.
	ReasonStopping Reason = "stopping"
	// ReasonMemory: a bounded table of the host or of the witness is full.
	ReasonMemory Reason = "memory"
	// ReasonWitnessLost: the witness did not acknowledge the intent.
	ReasonWitnessLost Reason = "witness_lost"
	// ReasonSendBy: the permission to dispatch lapsed before it was used.
	ReasonSendBy Reason = "send_by"
	// ReasonVoided: another host closed the key on behalf of a retry.
	ReasonVoided Reason = "voided"
	// ReasonExpired: the key's session is older than the retention time.
	ReasonExpired Reason = "expired"
	// ReasonKeyReused: the key came with another content before.
	ReasonKeyReused Reason = "key_reused"
	// ReasonOwnerLost: the owner and everything that could tell of the request
	// are out of reach.
	ReasonOwnerLost Reason = "owner_lost"
	// ReasonReplyLost: the endpoint's reply broke off and cannot be resumed.
	ReasonReplyLost Reason = "reply_lost"
	// ReasonNotReceived: the owner has not seen the key.
	ReasonNotReceived Reason = "not_received"
	// ReasonCanceled: the caller left before the request was dispatched.
	ReasonCanceled Reason = "canceled"
	// ReasonEndpoint: the endpoint answered with an error.
	ReasonEndpoint Reason = "endpoint"
)

// Refusal is a request's answer when it has no other.
type Refusal struct {
	Outcome Outcome `json:"outcome" cbor:"1,keyasint"`
	Reason  Reason  `json:"reason" cbor:"2,keyasint"`
	// RetryAfterMillis is how long the caller should wait before it tries
	// again, in milliseconds.
	RetryAfterMillis int64 `json:"retry_after_ms" cbor:"3,keyasint,omitempty"`
	// Addresses are hosts to try next, as IP:port, best first.
	Addresses []string `json:"addresses" cbor:"4,keyasint,omitempty"`
}

// Refuse returns a refusal with the given outcome and reason.
func Refuse(outcome Outcome, reason Reason) Refusal {
	return Refusal{Outcome: outcome, Reason: reason}
}

// WithAddresses returns the refusal with hosts to try next.
func (r Refusal) WithAddresses(addresses []string) Refusal {
	r.Addresses = addresses
	return r
}

// WithRetryAfter returns the refusal with a time to wait, rounded up to whole
// milliseconds.
func (r Refusal) WithRetryAfter(wait time.Duration) Refusal {
	r.RetryAfterMillis = int64((wait + time.Millisecond - 1) / time.Millisecond)
	return r
}

// Error makes a refusal usable as an error value.
func (r Refusal) Error() string {
	return "request refused: " + string(r.Outcome) + ": " + string(r.Reason)
}

// Status is the HTTP status that goes with the refusal.
func (r Refusal) Status() int {
	switch r.Reason {
	case ReasonBadRequest:
		return http.StatusBadRequest
	case ReasonKeyReused:
		return http.StatusUnprocessableEntity
	case ReasonExpired:
		return http.StatusGone
	case ReasonQueueFull, ReasonShed:
		return http.StatusTooManyRequests
	}
	switch r.Outcome {
	case NotRun:
		return http.StatusServiceUnavailable
	case Unknown:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// Write answers a request with the refusal. The error is that of the
// connection.
func (r Refusal) Write(w http.ResponseWriter) error {
	if r.Addresses == nil {
		r.Addresses = []string{}
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if r.RetryAfterMillis > 0 {
		seconds := (r.RetryAfterMillis + 999) / 1000
		header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(r.Status())
	return json.NewEncoder(w).Encode(r)
}

// ParseRefusal reads a refusal's JSON. It fails with ErrSyntax.
func ParseRefusal(body []byte) (Refusal, error) {
	var refusal Refusal
	if err := json.Unmarshal(body, &refusal); err != nil {
		return Refusal{}, eris.Wrap(ErrSyntax, err.Error())
	}
	switch refusal.Outcome {
	case NotRun, Unknown, Failed:
		return refusal, nil
	default:
		return Refusal{}, eris.Wrapf(ErrSyntax, "outcome %q", refusal.Outcome)
	}
}
