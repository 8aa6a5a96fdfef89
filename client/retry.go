package client

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// goOn decides whether to try again after an error, and waits until then. A
// new key is made only after "not run".
func (c *call) goOn(ctx context.Context, err error) bool {
	c.last = err
	if ctx.Err() != nil {
		return false
	}
	var refusal *Refusal
	if !errors.As(err, &refusal) {
		c.next++
		return c.pause(ctx, c.client.options.Pause)
	}
	switch {
	case refusal.Outcome == NotRun && refusal.isTemporary():
		return c.startOver(ctx, refusal)
	case refusal.Outcome == Unknown && refusal.isTemporary():
		c.next++
		return c.pause(ctx, refusal.RetryAfter())
	default:
		return false
	}
}

// startOver makes the call ready for a new session.
func (c *call) startOver(ctx context.Context, refusal *Refusal) bool {
	if c.request.Key != "" {
		return false
	}
	c.key = ""
	c.sent = false
	if len(refusal.Addresses) > 0 {
		c.addresses = refusal.Addresses
	}
	c.client.entries.forget()
	return c.pause(ctx, refusal.RetryAfter())
}

func (c *call) pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(max(wait, c.client.options.Pause))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// exhausted is the error after the last try.
func (c *call) exhausted() error {
	var refusal *Refusal
	switch {
	case errors.As(c.last, &refusal):
		return refusal
	case c.sent || c.request.Key != "":
		return eris.Wrapf(ErrLost, "key %s: %v", c.key, c.last)
	default:
		return eris.Wrapf(ErrNoHost, "%v", c.last)
	}
}

// isTemporary reports whether the same request may be served later.
func (r *Refusal) isTemporary() bool {
	switch r.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}
