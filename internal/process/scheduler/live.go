package scheduler

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// DefaultPrefillSpeed and DefaultDecode are the speeds of an engine of which
	// nothing is known, in tokens per second.
	DefaultPrefillSpeed = 4000.0
	DefaultDecodeSpeed  = 40.0
	// speedSmoothing is the weight of one measured speed.
	speedSmoothing = 0.1
	// peakDecay is the weight of one measured speed that is below the best.
	peakDecay = 0.005
	// coldSpeedFactor is the part of its speed that a cold endpoint is expected to
	// reach.
	coldSpeedFactor = 0.4
	// maxSpeedRatio bounds measured speeds relative to the assumed ones.
	maxSpeedRatio = 8.0
)

// LiveStats is what changes from request to request at one endpoint. It is safe for
// concurrent use and takes no lock.
type LiveStats struct {
	prefill, decode atomic.Uint64
	// cold tells that the endpoint is cold.
	cold atomic.Bool
	// peakPrefill is the prefill speed when the endpoint is at its peakPrefill.
	peakPrefill                   atomic.Uint64
	assumedPrefill, assumedDecode float64

	// pendingTokens are the prompt tokens of own requests without a first token.
	pendingTokens atomic.Int64
	// others are the slots in use and the prompt tokens pending for other
	// hosts, at othersAt (nanoseconds since base).
	remoteUsed, remotePending atomic.Int64
	remoteUsageAt             atomic.Int64
	// headroom is how many slots the home could still grant.
	headroom atomic.Int64
	limit    atomic.Int64
	epoch    time.Time
}

// NewLiveStats returns the state of an endpoint with the assumed speeds in tokens
// per second; zero means the defaults.
func NewLiveStats(prefill, decode float64, now time.Time) *LiveStats {
	if prefill <= 0 {
		prefill = DefaultPrefillSpeed
	}
	if decode <= 0 {
		decode = DefaultDecodeSpeed
	}
	l := &LiveStats{assumedPrefill: prefill, assumedDecode: decode, epoch: now}
	l.prefill.Store(math.Float64bits(prefill))
	l.peakPrefill.Store(math.Float64bits(prefill))
	l.decode.Store(math.Float64bits(decode))
	return l
}

// PrefillSpeed is the expected prefill speed in tokens per second: the measured one,
// or a part of it while the endpoint is cold.
func (l *LiveStats) PrefillSpeed() float64 {
	measured := math.Float64frombits(l.prefill.Load())
	if l.cold.Load() {
		return measured * coldSpeedFactor
	}
	return measured
}

// SetCold tells whether the endpoint is cold. Speeds are not measured then.
func (l *LiveStats) SetCold(cold bool) { l.cold.Store(cold) }

// IsCold reports whether the endpoint is cold.
func (l *LiveStats) IsCold() bool { return l.cold.Load() }

// DecodeSpeed is the measured decode speed of one stream in tokens per second.
func (l *LiveStats) DecodeSpeed() float64 { return math.Float64frombits(l.decode.Load()) }

// ObservePrefill takes how long the prefill of a number of tokens took.
func (l *LiveStats) ObservePrefill(tokens int, elapsed time.Duration) {
	if l.cold.Load() {
		return
	}
	measured := speed(tokens, elapsed)
	updateAverage(&l.prefill, measured, l.assumedPrefill, speedSmoothing)
	weight := peakDecay
	if measured > math.Float64frombits(l.peakPrefill.Load()) {
		weight = speedSmoothing
	}
	updateAverage(&l.peakPrefill, measured, l.assumedPrefill, weight)
}

// Slowdown is a first-token time in percent of that of an endpoint at its best,
// with the given prompt tokens to prefill.
func (l *LiveStats) Slowdown(tokens int, elapsed time.Duration) uint16 {
	best := math.Float64frombits(l.peakPrefill.Load())
	expected := firstTokenOverhead + seconds(float64(tokens)/best)
	return uint16(min(100*elapsed.Seconds()/expected.Seconds(), math.MaxUint16))
}

// ObserveDecode takes how long the decoding of a number of tokens took.
func (l *LiveStats) ObserveDecode(tokens int, elapsed time.Duration) {
	if l.cold.Load() {
		return
	}
	updateAverage(&l.decode, speed(tokens, elapsed), l.assumedDecode, speedSmoothing)
}

func speed(tokens int, elapsed time.Duration) float64 {
	return float64(tokens) / max(elapsed.Seconds(), 1e-3)
}

// updateAverage moves a speed towards a measured one, within a range of the assumed.
func updateAverage(average *atomic.Uint64, measured, assumed, weight float64) {
	measured = min(max(measured, assumed/maxSpeedRatio), assumed*maxSpeedRatio)
	for {
		bits := average.Load()
		old := math.Float64frombits(bits)
		blended := old + (measured-old)*weight
		if average.CompareAndSwap(bits, math.Float64bits(blended)) {
			return
		}
	}
}

// AddPendingTokens adds prompt tokens that wait for their first token; a negative
// number takes them away.
func (l *LiveStats) AddPendingTokens(tokens int) { l.pendingTokens.Add(int64(tokens)) }

// PendingTokens are the own prompt tokens that wait for their first token.
func (l *LiveStats) PendingTokens() int { return int(l.pendingTokens.Load()) }

// RemoteUsage is what other hosts have at an endpoint.
type RemoteUsage struct {
	// Used are slots in use.
	Used int
	// PendingTokens are prompt tokens that wait for their first token.
	PendingTokens int
	// Headroom is how many slots the home could still grant.
	Headroom int
	// Limit is how many slots there are in all.
	Limit int
}

// SetRemoteUsage takes news of the other hosts' use.
func (l *LiveStats) SetRemoteUsage(now time.Time, usage RemoteUsage) {
	l.remoteUsed.Store(int64(usage.Used))
	l.remotePending.Store(int64(usage.PendingTokens))
	l.headroom.Store(int64(usage.Headroom))
	l.limit.Store(int64(usage.Limit))
	l.remoteUsageAt.Store(int64(now.Sub(l.epoch)))
}

// RemoteUsageAt is when the last news of the other hosts' use came.
func (l *LiveStats) RemoteUsageAt() time.Time {
	return l.epoch.Add(time.Duration(l.remoteUsageAt.Load()))
}

// expectedSlotWait is the expected wait for a slot that is not at hand: a round trip to
// the home if it has one, else the time between two ends of requests.
func (l *LiveStats) expectedSlotWait(e Estimate) time.Duration {
	if l.headroom.Load() > 0 {
		return HomeRoundTrip
	}
	return HomeRoundTrip + e.LastToken/time.Duration(max(l.limit.Load(), 1))
}

// backlogTokens estimates the prompt tokens ahead of a new request: the own ones, and
// those of others less what the endpoint must have worked off since the news.
func (l *LiveStats) backlogTokens(now time.Time, prefill float64) float64 {
	remote := float64(l.remotePending.Load())
	age := now.Sub(l.RemoteUsageAt()).Seconds()
	return float64(l.pendingTokens.Load()) + max(remote-age*prefill, 0)
}
