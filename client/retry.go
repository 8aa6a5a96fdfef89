package client

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// waitForRetry reports whether to retry after an error, and waits until the retry
// is due. The next try gets a new key only after NotRun.
func (c *call) waitForRetry(ctx context.Context, err error) bool {
	c.lastErr = err
	if ctx.Err() != nil {
		return false
	}
	var refusal *Refusal
	if !errors.As(err, &refusal) {
		c.nextAddress++
		return c.wait(ctx, c.client.options.MinRetryDelay)
	}
	switch {
	case refusal.Outcome == NotRun && refusal.isTemporary():
		return c.waitForNewSession(ctx, refusal)
	case refusal.Outcome == Unknown && refusal.isTemporary():
		c.nextAddress++
		return c.wait(ctx, refusal.RetryAfter())
	default:
		return false
	}
}

// waitForNewSession prepares the call for a new session and waits until its retry
// is due. It returns false if the key of the request was given.
func (c *call) waitForNewSession(ctx context.Context, refusal *Refusal) bool {
	if c.request.Key != "" {
		return false
	}
	c.key = ""
	c.sent = false
	if len(refusal.Addresses) > 0 {
		c.addresses = refusal.Addresses
	}
	c.client.entries.invalidate()
	return c.wait(ctx, refusal.RetryAfter())
}

func (c *call) wait(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(max(wait, c.client.options.MinRetryDelay))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// exhaustedError returns the error of a call after its last try.
func (c *call) exhaustedError() error {
	var refusal *Refusal
	switch {
	case errors.As(c.lastErr, &refusal):
		return refusal
	case c.sent || c.request.Key != "":
		return eris.Wrapf(ErrResponseLost, "key %s: %v", c.key, c.lastErr)
	default:
		return eris.Wrapf(ErrNoHost, "%v", c.lastErr)
	}
}

// isTemporary reports whether the same request can succeed later.
func (r *Refusal) isTemporary() bool {
	switch r.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}
