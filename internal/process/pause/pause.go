// Package pause waits for a time that a context can cut short.
package pause

import (
	"context"
	"time"
)

// For waits for a duration or until the context ends, and reports whether the
// context still runs. It does not wait for a duration that is not positive.
func For(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
