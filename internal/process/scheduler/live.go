package scheduler

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// DefaultPrefillSpeed and DefaultDecodeSpeed are the assumed speeds of an
	// engine without configured ones, in tokens per second.
	DefaultPrefillSpeed = 4000.0
	DefaultDecodeSpeed  = 40.0
	// speedSmoothing is the weight of a new measurement in a moving average.
	speedSmoothing = 0.1
	// peakDecay is the weight of a measurement below the peak speed in the
	// peak's moving average.
	peakDecay = 0.005
	// coldSpeedFactor is the fraction of its measured prefill speed that a cold
	// endpoint is expected to reach.
	coldSpeedFactor = 0.4
	// maxSpeedRatio is the largest ratio between a measured and the assumed
	// speed, in either direction; measurements are clamped to it.
	maxSpeedRatio = 8.0
)

// LiveStats holds the measured speeds and the pending work of one endpoint. It
// is lock-free and safe for concurrent use.
type LiveStats struct {
	// prefill and decode are average speeds in tokens per second, as the bits
	// of a float64; so is peakPrefill.
	prefill, decode atomic.Uint64
	cold            atomic.Bool
	// peakPrefill is the prefill speed of the endpoint without contention: it
	// rises quickly and decays slowly.
	peakPrefill                   atomic.Uint64
	assumedPrefill, assumedDecode float64

	// pendingTokens is the number of prompt tokens of this host's requests that
	// have no first token yet.
	pendingTokens atomic.Int64
	// remoteUsed and remotePending are the slots in use and the pending prompt
	// tokens of other hosts, as of remoteUsageAt (nanoseconds since epoch).
	remoteUsed, remotePending atomic.Int64
	remoteUsageAt             atomic.Int64
	// headroom is the number of slots that the home could still grant.
	headroom atomic.Int64
	limit    atomic.Int64
	epoch    time.Time
}

// NewLiveStats returns the stats of an endpoint with the assumed speeds in
// tokens per second; zero selects the defaults.
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

// PrefillSpeed returns the expected prefill speed in tokens per second: the
// measured one, reduced by coldSpeedFactor while the endpoint is cold.
func (l *LiveStats) PrefillSpeed() float64 {
	measured := math.Float64frombits(l.prefill.Load())
	if l.cold.Load() {
		return measured * coldSpeedFactor
	}
	return measured
}

// SetCold sets whether the endpoint is cold. The speeds of a cold endpoint are
// not measured.
func (l *LiveStats) SetCold(cold bool) { l.cold.Store(cold) }

// IsCold reports whether the endpoint is cold.
func (l *LiveStats) IsCold() bool { return l.cold.Load() }

// DecodeSpeed returns the measured decode speed of one stream in tokens per
// second.
func (l *LiveStats) DecodeSpeed() float64 { return math.Float64frombits(l.decode.Load()) }

// ObservePrefill records the duration of the prefill of that many tokens.
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

// Slowdown returns a time to first token, for a prefill of that many tokens, in
// percent of the time at the peak prefill speed.
func (l *LiveStats) Slowdown(tokens int, elapsed time.Duration) uint16 {
	best := math.Float64frombits(l.peakPrefill.Load())
	expected := firstTokenOverhead + seconds(float64(tokens)/best)
	return uint16(min(100*elapsed.Seconds()/expected.Seconds(), math.MaxUint16))
}

// ObserveDecode records the duration of decoding that many tokens.
func (l *LiveStats) ObserveDecode(tokens int, elapsed time.Duration) {
	if l.cold.Load() {
		return
	}
	updateAverage(&l.decode, speed(tokens, elapsed), l.assumedDecode, speedSmoothing)
}

func speed(tokens int, elapsed time.Duration) float64 {
	return float64(tokens) / max(elapsed.Seconds(), 1e-3)
}

// updateAverage adds a measured speed, clamped to maxSpeedRatio around the
// assumed one, to an exponentially weighted moving average.
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

// AddPendingTokens adds to the pending prompt tokens of this host; a negative
// number subtracts.
func (l *LiveStats) AddPendingTokens(tokens int) { l.pendingTokens.Add(int64(tokens)) }

// PendingTokens returns the number of prompt tokens of this host's requests that
// have no first token yet.
func (l *LiveStats) PendingTokens() int { return int(l.pendingTokens.Load()) }

// RemoteUsage is the use of an endpoint by other hosts, as its home reports it.
type RemoteUsage struct {
	// Used is the number of slots in use.
	Used int
	// PendingTokens is the number of prompt tokens of requests that have no
	// first token yet.
	PendingTokens int
	// Headroom is the number of slots that the home could still grant.
	Headroom int
	// Limit is the total number of slots.
	Limit int
}

// SetRemoteUsage records the use by other hosts.
func (l *LiveStats) SetRemoteUsage(now time.Time, usage RemoteUsage) {
	l.remoteUsed.Store(int64(usage.Used))
	l.remotePending.Store(int64(usage.PendingTokens))
	l.headroom.Store(int64(usage.Headroom))
	l.limit.Store(int64(usage.Limit))
	l.remoteUsageAt.Store(int64(now.Sub(l.epoch)))
}

// RemoteUsageAt returns when the use by other hosts was last recorded.
func (l *LiveStats) RemoteUsageAt() time.Time {
	return l.epoch.Add(time.Duration(l.remoteUsageAt.Load()))
}

// expectedSlotWait estimates the wait for a slot that this host does not hold: a
// round trip to the home, plus the average time between the ends of requests if
// the home has no headroom.
func (l *LiveStats) expectedSlotWait(e Estimate) time.Duration {
	if l.headroom.Load() > 0 {
		return HomeRoundTrip
	}
	return HomeRoundTrip + e.LastToken/time.Duration(max(l.limit.Load(), 1))
}

// backlogTokens estimates the prompt tokens to prefill before a new request:
// those of this host, and those of other hosts less what the endpoint should
// have prefilled since they were reported.
func (l *LiveStats) backlogTokens(now time.Time, prefill float64) float64 {
	remote := float64(l.remotePending.Load())
	age := now.Sub(l.RemoteUsageAt()).Seconds()
	return float64(l.pendingTokens.Load()) + max(remote-age*prefill, 0)
}
