package rollout

import (
	"math"
	"sync/atomic"
	"time"
)

// Limits of a request's latency. They are multiples of the old version's 90th
// percentile on the same route.
const (
	baselineQuantile   = 0.9
	lateFactor         = 1.65
	veryLateFactor     = 2 * lateFactor
	minTimingsForLimit = 50
)

// timedTokens is the number of tokens of an answer whose generation is timed.
const timedTokens = 16

// minExpectedTime replaces an unknown expected time.
const minExpectedTime = time.Millisecond

// latencyCounter counts one kind of latency of one arm on this host.
type latencyCounter struct {
	timed, late, veryLate atomic.Uint64
	buckets               [bucketCount]atomic.Uint64
}

// armCounters counts the results of one arm on this host.
type armCounters struct {
	succeeded, failed, lost atomic.Uint64
	firstToken, perToken    latencyCounter
}

// slowdownLimit is the slowdown above which a request is late. It is zero
// while unknown.
type slowdownLimit struct{ bits atomic.Uint64 }

func (l *slowdownLimit) load() float64 { return math.Float64frombits(l.bits.Load()) }

func (l *slowdownLimit) store(slowdown float64) { l.bits.Store(math.Float64bits(slowdown)) }

func (c *latencyCounter) read() LatencyCounts {
	late, veryLate := c.late.Load(), c.veryLate.Load()
	return LatencyCounts{Timed: c.timed.Load(), Late: late, VeryLate: veryLate}
}

func (c *latencyCounter) histogram() *Histogram {
	h := &Histogram{}
	for index := range c.buckets {
		h.Buckets[index] = c.buckets[index].Load()
	}
	return h
}

func (c *armCounters) read() Counts {
	return Counts{
		Succeeded:  c.succeeded.Load(),
		Failed:     c.failed.Load(),
		Lost:       c.lost.Load(),
		FirstToken: c.firstToken.read(),
		PerToken:   c.perToken.read(),
	}
}

// Flags of a latencyTimer: what it has counted already, and whether it ended.
const (
	flagTimed uint32 = 1 << iota
	flagLate
	flagVeryLate
	flagEnded
)

// latencyTimer measures one latency of one request. A latency that exceeds a
// limit is counted at that moment, not only when it ends.
type latencyTimer struct {
	counter   *latencyCounter
	lateLimit float64
	expected  time.Duration
	flags     atomic.Uint32
}

// slowdown returns a time as a multiple of the expected time.
func (t *latencyTimer) slowdown(elapsed time.Duration) float64 {
	return float64(elapsed) / float64(max(t.expected, minExpectedTime/1000))
}

// limitTime returns the time after which a multiple of the late limit is
// exceeded.
func (t *latencyTimer) limitTime(factor float64) time.Duration {
	return time.Duration(t.lateLimit*factor*float64(t.expected)) + time.Microsecond
}

// checkLimits counts the limits that are exceeded after the elapsed time. The
// latency need not have ended.
func (t *latencyTimer) checkLimits(elapsed time.Duration) {
	slowdown := t.slowdown(elapsed)
	if t.lateLimit <= 0 || slowdown <= t.lateLimit || t.flags.Load()&flagEnded != 0 {
		return
	}
	t.countOnce(flagTimed, &t.counter.timed)
	t.countOnce(flagLate, &t.counter.late)
	if slowdown > t.lateLimit*veryLateFactor/lateFactor {
		t.countOnce(flagVeryLate, &t.counter.veryLate)
	}
}

// finish counts the final latency. Later calls have no effect.
func (t *latencyTimer) finish(elapsed time.Duration) {
	t.checkLimits(elapsed)
	if t.flags.Or(flagEnded)&flagEnded != 0 {
		return
	}
	if t.lateLimit > 0 {
		t.countOnce(flagTimed, &t.counter.timed)
	}
	t.counter.buckets[bucketIndex(t.slowdown(elapsed))].Add(1)
}

// countOnce increments the counter unless the flag is set already.
func (t *latencyTimer) countOnce(flag uint32, counter *atomic.Uint64) {
	if t.flags.Or(flag)&flag == 0 {
		counter.Add(1)
	}
}

// Tracker follows one attempt. Its methods do nothing on a nil Tracker, which
// Track returns for requests that no move concerns. They must be called from
// one goroutine; only the timers run concurrently.
type Tracker struct {
	controller *Controller
	move       *moveState
	arm        *armCounters
	isNew      bool
	attempt    Attempt

	firstToken, perToken latencyTimer
	perTokenExpected     time.Duration
	firstTokenAt         time.Duration
	hasFirstToken, ended bool
	stopFuncs            []func()
}

// FirstToken records the time from the dispatch to the first byte of the
// answer.
func (t *Tracker) FirstToken(elapsed time.Duration) {
	if t == nil || t.hasFirstToken {
		return
	}
	t.hasFirstToken = true
	t.firstTokenAt = elapsed
	t.cancelTimers()
	if t.attempt.Cold {
		return
	}
	t.firstToken.finish(elapsed)
	if t.perTokenExpected > 0 {
		t.perToken.expected = timedTokens * t.perTokenExpected
		t.startTimers(&t.perToken)
	}
}

// Tokens records the number of tokens received, including the first one, and
// the time from the dispatch to the last of them.
func (t *Tracker) Tokens(count int, elapsed time.Duration) {
	if t == nil || !t.hasFirstToken || count <= 1 || t.attempt.Cold || t.perTokenExpected <= 0 {
		return
	}
	if count <= timedTokens && !t.ended {
		return
	}
	if t.perToken.flags.Load()&flagEnded != 0 {
		return
	}
	t.cancelTimers()
	t.perToken.expected = time.Duration(count-1) * t.perTokenExpected
	t.perToken.finish(elapsed - t.firstTokenAt)
}

// End records the result of the attempt, the total number of tokens and the
// time from the dispatch to the end. Only the first call has an effect.
func (t *Tracker) End(result Result, tokens int, elapsed time.Duration) {
	if t == nil || t.ended {
		return
	}
	t.ended = true
	t.cancelTimers()
	switch result {
	case ResultSucceeded:
		t.FirstToken(elapsed)
		t.Tokens(tokens, elapsed)
		t.cancelTimers()
		t.arm.succeeded.Add(1)
	case ResultFailed:
		t.arm.failed.Add(1)
		t.reportFailure()
	case ResultLost:
		if t.controller.isFirstLossInWindow(t.move, t.attempt.Endpoint) {
			t.arm.lost.Add(1)
			t.reportFailure()
		}
	}
}

// startTimers schedules a check of the limits at the times when they are
// exceeded.
func (t *Tracker) startTimers(timer *latencyTimer) {
	if timer.lateLimit <= 0 || t.controller.config.AfterFunc == nil {
		return
	}
	for _, factor := range []float64{1, veryLateFactor / lateFactor} {
		due := timer.limitTime(factor)
		t.stopFuncs = append(t.stopFuncs, t.controller.config.AfterFunc(due, func() { timer.checkLimits(due) }))
	}
}

func (t *Tracker) cancelTimers() {
	for _, stop := range t.stopFuncs {
		stop()
	}
	t.stopFuncs = t.stopFuncs[:0]
}

// reportFailure wakes the controller after a failure of the new version.
func (t *Tracker) reportFailure() {
	if t.isNew {
		t.move.hasUnsentFailure.Store(true)
		t.controller.wake()
	}
}
