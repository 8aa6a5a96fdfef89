package mesh

import (
	"sync/atomic"
	"time"
)

// processStart is where instants are counted from.
var processStart = time.Now()

// monotonicTime is a moment on the steady clock, since the time of day jumps. It may
// be set and read concurrently; the zero monotonicTime is the start of the process.
type monotonicTime struct{ sinceStart atomic.Int64 }

// setNow makes it the present moment.
func (i *monotonicTime) setNow() { i.sinceStart.Store(int64(time.Since(processStart))) }

// elapsedUntil is how long it was elapsedUntil a time.
func (i *monotonicTime) elapsedUntil(now time.Time) time.Duration {
	return now.Sub(processStart) - time.Duration(i.sinceStart.Load())
}
