package scheduler

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// DefaultPrefill and DefaultDecode are the speeds of an engine of which
	// nothing is known, in tokens per second.
	DefaultPrefill = 4000.0
	DefaultDecode  = 40.0
	// speedWeight is the weight of one measured speed.
	speedWeight = 0.1
	// bestFall is the weight of one measured speed that is below the best.
	bestFall = 0.005
	// coldPart is the part of its speed that a cold endpoint is expected to
	// reach.
	coldPart = 0.4
	// speedRange bounds measured speeds relative to the assumed ones.
	speedRange = 8.0
)

// Live is what changes from request to request at one endpoint. It is safe for
// concurrent use and takes no lock.
type Live struct {
	prefill, decode atomic.Uint64
	// cold tells that the endpoint is cold.
	cold atomic.Bool
	// best is the prefill speed when the endpoint is at its best.
	best                          atomic.Uint64
	assumedPrefill, assumedDecode float64

	// pending are the prompt tokens of own requests without a first token.
	pending atomic.Int64
	// others are the slots in use and the prompt tokens pending for other
	// hosts, at othersAt (nanoseconds since base).
	othersUsed, othersPending atomic.Int64
	othersAt                  atomic.Int64
	// headroom is how many slots the home could still grant.
	headroom atomic.Int64
	limit    atomic.Int64
	base     time.Time
}

// NewLive returns the state of an endpoint with the assumed speeds in tokens
// per second; zero means the defaults.
func NewLive(prefill, decode float64, now time.Time) *Live {
	if prefill <= 0 {
		prefill = DefaultPrefill
	}
	if decode <= 0 {
		decode = DefaultDecode
	}
	l := &Live{assumedPrefill: prefill, assumedDecode: decode, base: now}
	l.prefill.Store(math.Float64bits(prefill))
	l.best.Store(math.Float64bits(prefill))
	l.decode.Store(math.Float64bits(decode))
	return l
}

// Prefill is the expected prefill speed in tokens per second: the measured one,
// or a part of it while the endpoint is cold.
func (l *Live) Prefill() float64 {
	measured := math.Float64frombits(l.prefill.Load())
	if l.cold.Load() {
		return measured * coldPart
	}
	return measured
}

// SetCold tells whether the endpoint is cold. Speeds are not measured then.
func (l *Live) SetCold(cold bool) { l.cold.Store(cold) }

// IsCold reports whether the endpoint is cold.
func (l *Live) IsCold() bool { return l.cold.Load() }

// Decode is the measured decode speed of one stream in tokens per second.
func (l *Live) Decode() float64 { return math.Float64frombits(l.decode.Load()) }

// ObservePrefill takes how long the prefill of a number of tokens took.
func (l *Live) ObservePrefill(tokens int, took time.Duration) {
	if l.cold.Load() {
		return
	}
	measured := speed(tokens, took)
	blend(&l.prefill, measured, l.assumedPrefill, speedWeight)
	weight := bestFall
	if measured > math.Float64frombits(l.best.Load()) {
		weight = speedWeight
	}
	blend(&l.best, measured, l.assumedPrefill, weight)
}

// Slowdown is a first-token time in percent of that of an endpoint at its best,
// with the given prompt tokens to prefill.
func (l *Live) Slowdown(tokens int, took time.Duration) uint16 {
	best := math.Float64frombits(l.best.Load())
	expected := overhead + seconds(float64(tokens)/best)
	return uint16(min(100*took.Seconds()/expected.Seconds(), math.MaxUint16))
}

// ObserveDecode takes how long the decoding of a number of tokens took.
func (l *Live) ObserveDecode(tokens int, took time.Duration) {
	if l.cold.Load() {
		return
	}
	blend(&l.decode, speed(tokens, took), l.assumedDecode, speedWeight)
}

func speed(tokens int, took time.Duration) float64 {
	return float64(tokens) / max(took.Seconds(), 1e-3)
}

// blend moves a speed towards a measured one, within a range of the assumed.
func blend(to *atomic.Uint64, measured, assumed, weight float64) {
	measured = min(max(measured, assumed/speedRange), assumed*speedRange)
	for {
		bits := to.Load()
		old := math.Float64frombits(bits)
		blended := old + (measured-old)*weight
		if to.CompareAndSwap(bits, math.Float64bits(blended)) {
			return
		}
	}
}

// AddPending adds prompt tokens that wait for their first token; a negative
// number takes them away.
func (l *Live) AddPending(tokens int) { l.pending.Add(int64(tokens)) }

// Pending are the own prompt tokens that wait for their first token.
func (l *Live) Pending() int { return int(l.pending.Load()) }

// Others is what other hosts have at an endpoint.
type Others struct {
	// Used are slots in use.
	Used int
	// PendingTokens are prompt tokens that wait for their first token.
	PendingTokens int
	// Headroom is how many slots the home could still grant.
	Headroom int
	// Limit is how many slots there are in all.
	Limit int
}

// SetOthers takes news of the other hosts' use.
func (l *Live) SetOthers(now time.Time, others Others) {
	l.othersUsed.Store(int64(others.Used))
	l.othersPending.Store(int64(others.PendingTokens))
	l.headroom.Store(int64(others.Headroom))
	l.limit.Store(int64(others.Limit))
	l.othersAt.Store(int64(now.Sub(l.base)))
}

// OthersAt is when the last news of the other hosts' use came.
func (l *Live) OthersAt() time.Time { return l.base.Add(time.Duration(l.othersAt.Load())) }

// slotWait is the expected wait for a slot that is not at hand: a round trip to
// the home if it has one, else the time between two ends of requests.
func (l *Live) slotWait(e Estimate) time.Duration {
	if l.headroom.Load() > 0 {
		return RoundTrip
	}
	return RoundTrip + e.LastToken/time.Duration(max(l.limit.Load(), 1))
}

// backlog estimates the prompt tokens ahead of a new request: the own ones, and
// those of others less what the endpoint must have worked off since the news.
func (l *Live) backlog(now time.Time, prefill float64) float64 {
	others := float64(l.othersPending.Load())
	age := now.Sub(l.OthersAt()).Seconds()
	return float64(l.pending.Load()) + max(others-age*prefill, 0)
}
