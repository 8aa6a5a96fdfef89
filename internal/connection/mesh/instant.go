package mesh

import (
	"sync/atomic"
	"time"
)

// started is where instants are counted from.
var started = time.Now()

// instant is a moment on the steady clock, since the time of day jumps. It may
// be set and read concurrently; the zero instant is the start of the process.
type instant struct{ sinceStart atomic.Int64 }

// set makes it the present moment.
func (i *instant) set() { i.sinceStart.Store(int64(time.Since(started))) }

// before is how long it was before a time.
func (i *instant) before(now time.Time) time.Duration {
	return now.Sub(started) - time.Duration(i.sinceStart.Load())
}
