// Package outcome defines the outcomes of a request and the encoding of a
// refusal for its caller.
//
// An outcome is a guarantee about side effects: NotRun states that the request
// was not dispatched and never will be under its key, Unknown that this could
// not be established. Code that cannot prove NotRun must return Unknown.
package outcome

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// ErrSyntax is returned when a body is not an encoded refusal.
var ErrSyntax = eris.New("not a refusal")

// Outcome is the final result of a request.
type Outcome string

// The possible outcomes.
const (
	// NotRun means that the request was not dispatched and that no host will
	// dispatch it under its key. The caller may send it again under a new key.
	NotRun Outcome = "not_run"
	// Unknown means that the request may or may not have run.
	Unknown Outcome = "unknown"
	// Failed means that the request was dispatched and did not succeed.
	Failed Outcome = "failed"
	// Done means that the complete response was received from the endpoint.
	Done Outcome = "done"
)

// Reason says why a request was refused.
type Reason string

// The reasons of refusals.
const (
	// ReasonBadRequest: the request is invalid and can never be served.
	ReasonBadRequest Reason = "bad_request"
	// ReasonQueueFull: the team's or the host's queue is full.
	ReasonQueueFull Reason = "queue_full"
	// ReasonShed: the request's tier is being shed.
	ReasonShed Reason = "shed"
	// ReasonDeadline: the deadline can no longer be met.
	ReasonDeadline Reason = "deadline"
	// ReasonNoEndpoint: no endpoint can accept the request.
	ReasonNoEndpoint Reason = "no_endpoint"
	// ReasonNotReady: the host has no configuration yet.
	ReasonNotReady Reason = "not_ready"
	// ReasonStopping: the host is shutting down.
	ReasonStopping Reason = "stopping"
	// ReasonMemory: a size-limited table of the host or the witness is full.
	ReasonMemory Reason = "memory"
	// ReasonWitnessLost: the witness did not acknowledge the intent.
	ReasonWitnessLost Reason = "witness_lost"
	// ReasonSendBy: the permission to dispatch expired before it was used.
	ReasonSendBy Reason = "send_by"
	// ReasonVoided: another host closed the key on behalf of a retry.
	ReasonVoided Reason = "voided"
	// ReasonExpired: the key's session is older than the retention time.
	ReasonExpired Reason = "expired"
	// ReasonKeyReused: the key was used before with different content.
	ReasonKeyReused Reason = "key_reused"
	// ReasonOwnerLost: neither the owner nor any other record of the request
	// can be reached.
	ReasonOwnerLost Reason = "owner_lost"
	// ReasonReplyLost: the endpoint's response was interrupted and cannot be
	// resumed.
	ReasonReplyLost Reason = "reply_lost"
	// ReasonNotReceived: the owner has received no request with the key.
	ReasonNotReceived Reason = "not_received"
	// ReasonCanceled: the caller disconnected before the request was dispatched.
	ReasonCanceled Reason = "canceled"
	// ReasonEndpoint: the endpoint responded with an error.
	ReasonEndpoint Reason = "endpoint"
)

// Refusal is the response to a request that gets none from an endpoint.
type Refusal struct {
	Outcome Outcome `json:"outcome" cbor:"1,keyasint"`
	Reason  Reason  `json:"reason" cbor:"2,keyasint"`
	// RetryAfterMillis is how long the caller should wait before it retries.
	RetryAfterMillis int64 `json:"retry_after_ms" cbor:"3,keyasint,omitempty"`
	// Addresses are the hosts to try next, as IP:port, in order of preference.
	Addresses []string `json:"addresses" cbor:"4,keyasint,omitempty"`
}

// Refuse returns a refusal with the given outcome and reason.
func Refuse(outcome Outcome, reason Reason) Refusal {
	return Refusal{Outcome: outcome, Reason: reason}
}

// WithAddresses returns the refusal with the hosts to try next.
func (r Refusal) WithAddresses(addresses []string) Refusal {
	r.Addresses = addresses
	return r
}

// WithRetryAfter returns the refusal with a retry delay, rounded up to whole
// milliseconds.
func (r Refusal) WithRetryAfter(wait time.Duration) Refusal {
	r.RetryAfterMillis = int64((wait + time.Millisecond - 1) / time.Millisecond)
	return r
}

// Error implements error.
func (r Refusal) Error() string {
	return "request refused: " + string(r.Outcome) + ": " + string(r.Reason)
}

// Status returns the HTTP status code of the refusal.
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

// Write writes the refusal as an HTTP response. It fails with the error of the
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

// ParseRefusal decodes the JSON of a refusal. It fails with ErrSyntax.
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
