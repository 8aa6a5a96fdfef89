package client

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"
)

// Outcome is the outcome of a refused request.
type Outcome string

// The outcomes of refused requests.
const (
	// NotRun: the request did not run and never will under its key.
	NotRun Outcome = "not_run"
	// Unknown: the request may have run.
	Unknown Outcome = "unknown"
	// Failed: the request ran and did not succeed.
	Failed Outcome = "failed"
)

// Refusal is the error of a request that a host refused.
type Refusal struct {
	Outcome Outcome `json:"outcome"`
	Reason  string  `json:"reason"`
	// RetryAfterMillis is the minimum delay before the next try.
	RetryAfterMillis int64 `json:"retry_after_ms"`
	// Addresses are hosts to try next, as IP:port.
	Addresses []string `json:"addresses"`
	// Detail is a human-readable explanation of the reason; it can be empty.
	Detail string `json:"detail,omitempty"`
	// Status is the HTTP status.
	Status int `json:"-"`
	// Key is the request key, by which Client.Resume can request the outcome
	// later.
	Key string `json:"-"`
}

// Error implements error.
func (r *Refusal) Error() string {
	text := "request refused: " + string(r.Outcome) + ": " + r.Reason
	if r.Detail != "" {
		text += ": " + r.Detail
	}
	return text
}

// isNotRun reports whether the error is a refusal with the outcome NotRun.
func isNotRun(err error) bool {
	var refusal *Refusal
	return errors.As(err, &refusal) && refusal.Outcome == NotRun
}

// RetryAfter returns the minimum delay before the next try.
func (r *Refusal) RetryAfter() time.Duration {
	return time.Duration(r.RetryAfterMillis) * time.Millisecond
}

// maxRefusalBytes limits the size of a refusal's JSON.
const maxRefusalBytes = 64 << 10

// parseRefusal parses a refusal and closes the response. It returns nil and
// leaves the response open if it is not a refusal. An error status without the
// JSON of a refusal is the response of an endpoint.
func parseRefusal(resp *http.Response) *Refusal {
	if resp.StatusCode < http.StatusBadRequest {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	refusal := &Refusal{}
	isRefusal := err == nil && json.Unmarshal(body, refusal) == nil && refusal.hasKnownOutcome()
	if !isRefusal {
		resp.Body = prependBody(body, resp.Body)
		return nil
	}
	resp.Body.Close()
	refusal.Status = resp.StatusCode
	refusal.Key = resp.Header.Get(headerKey)
	return refusal
}

func (r *Refusal) hasKnownOutcome() bool {
	return r.Outcome == NotRun || r.Outcome == Unknown || r.Outcome == Failed
}
