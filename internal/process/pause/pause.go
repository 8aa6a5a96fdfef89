// Package pause provides a sleep that ends early when a context is done.
package pause

import (
	"context"
	"time"
)

// For sleeps for a duration or until the context is done, and returns false if
// the context is done. It returns at once if the duration is not positive.
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
