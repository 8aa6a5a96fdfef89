package rollout

import (
	"math"
	"sync/atomic"
	"time"
)

// Limits of a request's times, as multiples of the old version's 90th
// percentile on the same route.
const (
	usualQuantile    = 0.9
	lateFactor       = 1.65
	veryLateFactor   = 2 * lateFactor
	timingsForLimits = 50
)

// tokensTimed is how many tokens of an answer are timed.
const tokensTimed = 16

// leastExpected stands in for an expected time that is not known.
const leastExpected = time.Millisecond

// latencyCounter counts one kind of times of one arm on this host.
type latencyCounter struct {
	timed, late, veryLate atomic.Uint64
	buckets               [bucketCount]atomic.Uint64
}

// armCounter counts the results of one arm on this host.
type armCounter struct {
	succeeded, failed, lost atomic.Uint64
	firstToken, perToken    latencyCounter
}

// limit is the late limit of a pace; zero while it is not known.
type limit struct{ bits atomic.Uint64 }

func (l *limit) load() float64 { return math.Float64frombits(l.bits.Load()) }

func (l *limit) store(pace float64) { l.bits.Store(math.Float64bits(pace)) }

func (c *latencyCounter) read() Latency {
	late, veryLate := c.late.Load(), c.veryLate.Load()
	return Latency{Timed: c.timed.Load(), Late: late, VeryLate: veryLate}
}

func (c *latencyCounter) histogram() *Histogram {
	h := &Histogram{}
	for index := range c.buckets {
		h.Buckets[index] = c.buckets[index].Load()
	}
	return h
}

func (c *armCounter) read() Counts {
	return Counts{
		Succeeded:  c.succeeded.Load(),
		Failed:     c.failed.Load(),
		Lost:       c.lost.Load(),
		FirstToken: c.firstToken.read(),
		PerToken:   c.perToken.read(),
	}
}

// Marks of a timing that were counted.
const (
	markTimed uint32 = 1 << iota
	markLate
	markVeryLate
	markEnded
)

// timing follows one time of one request. A time that passes a limit counts as
// soon as it does, not only when it ends.
type timing struct {
	counter  *latencyCounter
	late     float64
	expected time.Duration
	marks    atomic.Uint32
}

// pace is a time as a multiple of the expected one.
func (t *timing) pace(elapsed time.Duration) float64 {
	return float64(elapsed) / float64(max(t.expected, leastExpected/1000))
}

// due is when the time passes a multiple of the late limit.
func (t *timing) due(factor float64) time.Duration {
	return time.Duration(t.late*factor*float64(t.expected)) + time.Microsecond
}

// reach counts what is known after a time without an end.
func (t *timing) reach(elapsed time.Duration) {
	pace := t.pace(elapsed)
	if t.late <= 0 || pace <= t.late || t.marks.Load()&markEnded != 0 {
		return
	}
	t.mark(markTimed, &t.counter.timed)
	t.mark(markLate, &t.counter.late)
	if pace > t.late*veryLateFactor/lateFactor {
		t.mark(markVeryLate, &t.counter.veryLate)
	}
}

// end counts the whole time, once.
func (t *timing) end(elapsed time.Duration) {
	t.reach(elapsed)
	if t.marks.Or(markEnded)&markEnded != 0 {
		return
	}
	if t.late > 0 {
		t.mark(markTimed, &t.counter.timed)
	}
	t.counter.buckets[bucketOf(t.pace(elapsed))].Add(1)
}

// mark counts once.
func (t *timing) mark(bit uint32, counter *atomic.Uint64) {
	if t.marks.Or(bit)&bit == 0 {
		counter.Add(1)
	}
}

// Watch follows one dispatched request. Its methods do nothing on a nil Watch,
// which Begin returns for requests that no move concerns. They are for one
// goroutine; only the timers run beside it.
type Watch struct {
	judge   *Judge
	move    *moveState
	arm     *armCounter
	isNew   bool
	request Request

	firstToken, perToken timing
	perTokenExpected     time.Duration
	firstAt              time.Duration
	hasFirst, ended      bool
	stopTimers           []func()
}

// FirstToken tells that the first byte of the answer came, so long after the
// dispatch.
func (w *Watch) FirstToken(elapsed time.Duration) {
	if w == nil || w.hasFirst {
		return
	}
	w.hasFirst = true
	w.firstAt = elapsed
	w.stop()
	if w.request.Cold {
		return
	}
	w.firstToken.end(elapsed)
	if w.perTokenExpected > 0 {
		w.perToken.expected = tokensTimed * w.perTokenExpected
		w.startTimers(&w.perToken)
	}
}

// Tokens tells how many tokens came, the first one included, and how long
// after the dispatch the last one did.
func (w *Watch) Tokens(count int, elapsed time.Duration) {
	if w == nil || !w.hasFirst || count <= 1 || w.request.Cold || w.perTokenExpected <= 0 {
		return
	}
	if count <= tokensTimed && !w.ended {
		return
	}
	if w.perToken.marks.Load()&markEnded != 0 {
		return
	}
	w.stop()
	w.perToken.expected = time.Duration(count-1) * w.perTokenExpected
	w.perToken.end(elapsed - w.firstAt)
}

// End tells how the request ended, how many tokens came in all and how long
// after the dispatch. Calls after the first have no effect.
func (w *Watch) End(result Result, tokens int, elapsed time.Duration) {
	if w == nil || w.ended {
		return
	}
	w.ended = true
	w.stop()
	switch result {
	case ResultSucceeded:
		w.FirstToken(elapsed)
		w.Tokens(tokens, elapsed)
		w.stop()
		w.arm.succeeded.Add(1)
	case ResultFailed:
		w.arm.failed.Add(1)
		w.news()
	case ResultLost:
		if w.judge.isFirstLoss(w.move, w.request.Endpoint) {
			w.arm.lost.Add(1)
			w.news()
		}
	}
}

// startTimers makes a timing count when it passes its limits.
func (w *Watch) startTimers(t *timing) {
	if t.late <= 0 || w.judge.config.AfterFunc == nil {
		return
	}
	for _, factor := range []float64{1, veryLateFactor / lateFactor} {
		due := t.due(factor)
		w.stopTimers = append(w.stopTimers, w.judge.config.AfterFunc(due, func() { t.reach(due) }))
	}
}

// stop stops the timers.
func (w *Watch) stop() {
	for _, stop := range w.stopTimers {
		stop()
	}
	w.stopTimers = w.stopTimers[:0]
}

// news wakes the judge after a failure of the new version.
func (w *Watch) news() {
	if w.isNew {
		w.move.hasNews.Store(true)
		w.judge.wake()
	}
}
