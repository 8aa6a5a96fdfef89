package placement

import (
	"sync/atomic"
	"time"

	"mustarddoor/internal/process/scheduler"
)

const (
	// enoughPrefill is the least number of prompt tokens whose first-token
	// time tells the prefill speed.
	enoughPrefill = 64
	// enoughDecode is the least length of an answer, in tokens, that tells the
	// decode speed.
	enoughDecode = 8
	// overdueFactor is how many times the expected first-token time a request
	// waits before it counts as very late; overdueFloor is the least wait.
	overdueFactor = 5
	overdueFloor  = time.Second
	// overdueSlowdown is the sample for such a request, in percent.
	overdueSlowdown = 100 * overdueFactor
)

// ticket is one dispatched request.
type ticket struct {
	core     *core
	state    *endpointState
	job      *job
	endpoint *scheduler.Endpoint
	estimate scheduler.Estimate
	at       time.Time
	// sendBy is when the grant behind the slot lapses.
	sendBy time.Time
	// prefill are the prompt tokens believed not to be cached.
	prefill int
	firstAt atomic.Int64
	ended   atomic.Bool
}

// firstToken records when the first byte of the answer came.
func (t *ticket) firstToken(now time.Time) {
	took := now.Sub(t.at)
	if !t.firstAt.CompareAndSwap(0, int64(max(took, 1))) {
		return
	}
	t.state.live.AddPendingTokens(-t.prefill)
	work := t.prefill + t.estimate.BacklogTokens
	t.state.samples.add(t.state.live.Slowdown(work, took))
	if work >= enoughPrefill {
		t.state.live.ObservePrefill(work, took)
	}
	t.state.dirty.Store(true)
}

// overdueAfter is when a request without a first token counts as very late,
// from its dispatch.
func (t *ticket) overdueAfter() time.Duration {
	return overdueFloor + overdueFactor*t.estimate.FirstToken
}

// overdue records that the first token is very late.
func (t *ticket) overdue() {
	if t.firstAt.Load() == 0 && !t.ended.Load() {
		t.state.samples.add(overdueSlowdown)
		t.state.dirty.Store(true)
	}
}

// end gives the slot back. It returns false if the ticket has ended before.
func (t *ticket) end(now time.Time, result Result) bool {
	if t.ended.Swap(true) {
		return false
	}
	first := t.firstAt.Swap(1)
	if first == 0 {
		t.state.live.AddPendingTokens(-t.prefill)
	}
	if result.Outcome == OutcomeDone {
		t.learn(now, time.Duration(first), result)
	}
	if result.Outcome != OutcomeDetached {
		t.state.holder.Release(t.job.ask.Tier)
	}
	t.state.dirty.Store(true)
	return true
}

// settle tells the endpoint of an end that is not a plain one.
func (t *ticket) settle(now time.Time, outcome Outcome) {
	switch outcome {
	case OutcomeDetached:
		t.state.detached = append(t.state.detached, detached{t.job.ask.Tier, now})
	case OutcomeFailed, OutcomeNotStarted:
		t.state.holder.RecordFailure()
	}
}

// learn takes what a whole answer has shown.
func (t *ticket) learn(now time.Time, first time.Duration, result Result) {
	if result.OutputTokens <= 0 {
		return
	}
	t.job.route.lengths.Observe(result.OutputTokens)
	if first > 1 && result.OutputTokens >= enoughDecode {
		t.state.live.ObserveDecode(result.OutputTokens, now.Sub(t.at)-first)
	}
}

// sampleRing is how many first-token samples wait for the next report.
const sampleRing = 8

// samples collects first-token samples without a lock; if they come too fast
// for the reports, old ones are lost.
type samples struct {
	next  atomic.Uint32
	slots [sampleRing]atomic.Uint32
}

func (s *samples) add(slowdown uint16) {
	i := s.next.Add(1)
	s.slots[i%sampleRing].Store(uint32(slowdown) + 1)
}

// drain returns the samples since the last call.
func (s *samples) drain() []uint16 {
	var drained []uint16
	for i := range s.slots {
		if v := s.slots[i].Swap(0); v > 0 {
			drained = append(drained, uint16(v-1))
		}
	}
	return drained
}
