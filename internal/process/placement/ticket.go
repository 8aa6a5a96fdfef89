package placement

import (
	"sync/atomic"
	"time"

	"mustarddoor/internal/process/scheduler"
)

const (
	// minPrefillTokens is the least number of prompt tokens whose first-token
	// time tells the prefill speed.
	minPrefillTokens = 64
	// minDecodeTokens is the least length of an answer, in tokens, that tells the
	// decode speed.
	minDecodeTokens = 8
	// overdueFactor is how many times the expected first-token time a request
	// waits before it counts as very late; overdueFloor is the least wait.
	overdueFactor     = 5
	minOverdueTimeout = time.Second
	// overdueSlowdownPercent is the sample for such a request, in percent.
	overdueSlowdownPercent = 100 * overdueFactor
)

// attempt is one dispatched request.
type attempt struct {
	core          *core
	endpointState *endpointState
	job           *job
	endpoint      *scheduler.Endpoint
	estimate      scheduler.Estimate
	dispatchedAt  time.Time
	// sendBy is when the grant behind the slot lapses.
	sendBy time.Time
	// prefillTokens are the prompt tokens believed not to be cached.
	prefillTokens     int
	firstTokenLatency atomic.Int64
	ended             atomic.Bool
}

// recordFirstToken records when the first byte of the answer came.
func (a *attempt) recordFirstToken(now time.Time) {
	elapsed := now.Sub(a.dispatchedAt)
	if !a.firstTokenLatency.CompareAndSwap(0, int64(max(elapsed, 1))) {
		return
	}
	a.endpointState.live.AddPending(-a.prefillTokens)
	tokens := a.prefillTokens + a.estimate.Backlog
	a.endpointState.samples.add(a.endpointState.live.Slowdown(tokens, elapsed))
	if tokens >= minPrefillTokens {
		a.endpointState.live.ObservePrefill(tokens, elapsed)
	}
	a.endpointState.dirty.Store(true)
}

// overdueTimeout is when a request without a first token counts as very late,
// from its dispatch.
func (a *attempt) overdueTimeout() time.Duration {
	return minOverdueTimeout + overdueFactor*a.estimate.FirstToken
}

// recordOverdue records that the first token is very late.
func (a *attempt) recordOverdue() {
	if a.firstTokenLatency.Load() == 0 && !a.ended.Load() {
		a.endpointState.samples.add(overdueSlowdownPercent)
		a.endpointState.dirty.Store(true)
	}
}

// end gives the slot back. It returns false if the ticket has ended before.
func (a *attempt) end(now time.Time, result Result) bool {
	if a.ended.Swap(true) {
		return false
	}
	latency := a.firstTokenLatency.Swap(1)
	if latency == 0 {
		a.endpointState.live.AddPending(-a.prefillTokens)
	}
	if result.Outcome == OutcomeDone {
		a.observeCompletion(now, time.Duration(latency), result)
	}
	if result.Outcome != OutcomeDetached {
		a.endpointState.holder.Release(a.job.query.Tier)
	}
	a.endpointState.dirty.Store(true)
	return true
}

// recordAbnormalEnd tells the endpoint of an end that is not a plain one.
func (a *attempt) recordAbnormalEnd(now time.Time, outcome Outcome) {
	switch outcome {
	case OutcomeDetached:
		a.endpointState.detached = append(a.endpointState.detached, detachedSlot{a.job.query.Tier, now})
	case OutcomeFailed, OutcomeNotStarted:
		a.endpointState.holder.Failed()
	}
}

// observeCompletion takes what a whole answer has shown.
func (a *attempt) observeCompletion(now time.Time, latency time.Duration, result Result) {
	if result.OutputTokens <= 0 {
		return
	}
	a.job.route.outputLengths.Observe(result.OutputTokens)
	if latency > 1 && result.OutputTokens >= minDecodeTokens {
		a.endpointState.live.ObserveDecode(result.OutputTokens, now.Sub(a.dispatchedAt)-latency)
	}
}

// sampleBufferSize is how many first-token samples wait for the next report.
const sampleBufferSize = 8

// slowdownSamples collects first-token slowdownSamples without a lock; if they come too fast
// for the reports, old ones are lost.
type slowdownSamples struct {
	next   atomic.Uint32
	buffer [sampleBufferSize]atomic.Uint32
}

func (s *slowdownSamples) add(slowdown uint16) {
	i := s.next.Add(1)
	s.buffer[i%sampleBufferSize].Store(uint32(slowdown) + 1)
}

// drain returns the samples since the last call.
func (s *slowdownSamples) drain() []uint16 {
	var drained []uint16
	for i := range s.buffer {
		if v := s.buffer[i].Swap(0); v > 0 {
			drained = append(drained, uint16(v-1))
		}
	}
	return drained
}
