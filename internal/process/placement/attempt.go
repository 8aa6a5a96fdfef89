package placement

import (
	"sync/atomic"
	"time"

	"mustarddoor/internal/process/scheduler"
)

const (
	// minPrefillTokens is the minimum number of prompt tokens for a time to first
	// token to count as a prefill speed sample.
	minPrefillTokens = 64
	// minDecodeTokens is the minimum response length, in tokens, for a decode
	// speed sample.
	minDecodeTokens = 8
	// A request without a first token is overdue after minOverdueTimeout plus
	// overdueFactor times its expected time to first token.
	overdueFactor     = 5
	minOverdueTimeout = time.Second
	// overdueSlowdownPercent is the slowdown sample recorded for an overdue
	// request.
	overdueSlowdownPercent = 100 * overdueFactor
)

// attempt is one dispatch of a request to an endpoint.
type attempt struct {
	core          *core
	endpointState *endpointState
	job           *job
	endpoint      *scheduler.Endpoint
	estimate      scheduler.Estimate
	dispatchedAt  time.Time
	// sendDeadline is when the grant behind the slot expires.
	sendDeadline time.Time
	// prefillTokens is the estimated number of prompt tokens that are not
	// cached.
	prefillTokens int
	// timeToFirstToken is the time from the dispatch to the first token, in
	// nanoseconds; 0 while there is none. The end of the attempt sets it to 1.
	timeToFirstToken atomic.Int64
	ended            atomic.Bool
}

// recordFirstToken records the arrival of the first byte of the response.
func (a *attempt) recordFirstToken(now time.Time) {
	elapsed := now.Sub(a.dispatchedAt)
	if !a.timeToFirstToken.CompareAndSwap(0, int64(max(elapsed, 1))) {
		return
	}
	a.endpointState.live.AddPendingTokens(-a.prefillTokens)
	tokens := a.prefillTokens + a.estimate.BacklogTokens
	a.endpointState.samples.add(a.endpointState.live.Slowdown(tokens, elapsed))
	if tokens >= minPrefillTokens {
		a.endpointState.live.ObservePrefill(tokens, elapsed)
	}
	a.endpointState.dirty.Store(true)
}

// overdueTimeout is the time from the dispatch after which a missing first
// token is overdue.
func (a *attempt) overdueTimeout() time.Duration {
	return minOverdueTimeout + overdueFactor*a.estimate.FirstToken
}

// recordOverdue records a slowdown sample if the first token is still missing.
func (a *attempt) recordOverdue() {
	if a.timeToFirstToken.Load() == 0 && !a.ended.Load() {
		a.endpointState.samples.add(overdueSlowdownPercent)
		a.endpointState.dirty.Store(true)
	}
}

// end ends the attempt and releases the slot unless the request is detached. It
// returns false if the attempt has already ended.
func (a *attempt) end(now time.Time, result Result) bool {
	if a.ended.Swap(true) {
		return false
	}
	timeToFirstToken := a.timeToFirstToken.Swap(1)
	if timeToFirstToken == 0 {
		a.endpointState.live.AddPendingTokens(-a.prefillTokens)
	}
	if result.Outcome == OutcomeDone {
		a.observeCompletion(now, time.Duration(timeToFirstToken), result)
	}
	if result.Outcome != OutcomeDetached {
		a.endpointState.holder.Release(a.job.query.Tier)
	}
	a.endpointState.dirty.Store(true)
	return true
}

// recordAbnormalEnd updates the endpoint after an outcome other than
// OutcomeDone.
func (a *attempt) recordAbnormalEnd(now time.Time, outcome Outcome) {
	switch outcome {
	case OutcomeDetached:
		a.endpointState.detached = append(a.endpointState.detached, detachedSlot{a.job.query.Tier, now})
	case OutcomeFailed, OutcomeNotStarted:
		a.endpointState.holder.RecordFailure()
	}
}

// observeCompletion updates the length and speed statistics from a complete
// response.
func (a *attempt) observeCompletion(now time.Time, timeToFirstToken time.Duration, result Result) {
	if result.OutputTokens <= 0 {
		return
	}
	a.job.route.outputLengths.Observe(result.OutputTokens)
	if timeToFirstToken > 1 && result.OutputTokens >= minDecodeTokens {
		a.endpointState.live.ObserveDecode(result.OutputTokens, now.Sub(a.dispatchedAt)-timeToFirstToken)
	}
}

// sampleBufferSize is the maximum number of slowdown samples kept for the next
// report.
const sampleBufferSize = 8

// slowdownSamples is a lock-free ring buffer of slowdown samples. When it is
// full, the oldest samples are overwritten.
type slowdownSamples struct {
	next   atomic.Uint32
	buffer [sampleBufferSize]atomic.Uint32
}

func (s *slowdownSamples) add(slowdown uint16) {
	i := s.next.Add(1)
	s.buffer[i%sampleBufferSize].Store(uint32(slowdown) + 1)
}

// drain returns the samples added since the last call.
func (s *slowdownSamples) drain() []uint16 {
	var drained []uint16
	for i := range s.buffer {
		if v := s.buffer[i].Swap(0); v > 0 {
			drained = append(drained, uint16(v-1))
		}
	}
	return drained
}
