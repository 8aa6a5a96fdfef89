package mesh

import (
	"sync/atomic"
	"time"
)

// processStart is the reference time of all monotonicTime values.
var processStart = time.Now()

// monotonicTime is a point in time on the monotonic clock, which unlike the
// wall clock does not jump. It is safe for concurrent use; the zero value is
// the start of the process.
type monotonicTime struct{ sinceStart atomic.Int64 }

// setNow sets it to the current time.
func (i *monotonicTime) setNow() { i.sinceStart.Store(int64(time.Since(processStart))) }

// elapsedUntil returns the time that has elapsed from it until now.
func (i *monotonicTime) elapsedUntil(now time.Time) time.Duration {
	return now.Sub(processStart) - time.Duration(i.sinceStart.Load())
}
