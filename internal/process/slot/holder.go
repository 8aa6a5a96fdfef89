package slot

import (
	"time"

	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/request/tier"
)

// sentReports is how many send times of reports a holder remembers.
const sentReports = 64

// Holder is one host's side of the protocol for one endpoint. Its methods must
// not be called at the same time, but for those of Hand.
type Holder struct {
	Hand
	endpoint string
	self     identity.Incarnation
	fence    uint64
	sequence uint64
	lowSince time.Time
	sent     [sentReports]time.Time
	last     Grant
	lastAt   time.Time
	heardAt  time.Time
	failures uint64
	// trusted is the first report whose acknowledgement a grant needs to add
	// slots: the endpoint has failed since the reports before it.
	trusted   uint64
	slowdowns []uint16
	engine    string
}

// Demand is what a holder waits for.
type Demand struct {
	Waiting       tier.Counts
	OldestMillis  [tier.Max]uint32
	PrefillTokens int
}

// NewHolder returns a holder without slots.
func NewHolder(endpoint string, self identity.Incarnation, now time.Time) *Holder {
	h := &Holder{endpoint: endpoint, self: self, lowSince: now}
	h.base = now
	return h
}

// Follow makes the holder obey the home with the fencing number. A change of
// home takes back every unused slot.
func (h *Holder) Follow(fence uint64) {
	if fence <= h.fence {
		return
	}
	h.fence = fence
	h.last = Grant{}
	h.Surrender(0)
}

// Report makes the next report. A lapsed holder reports no unused slots.
func (h *Holder) Report(now time.Time, demand Demand) Report {
	h.sequence++
	h.sent[h.sequence%sentReports] = now
	lapsed := !now.Before(h.Lapse())
	if lapsed {
		h.Surrender(0)
	}
	if now.Sub(h.lowSince) >= LeastWindow {
		h.lowSince = now
		h.turnLow()
	}
	// The counters by tier are read after the state, so that they cover it.
	state := unpack(h.state.Load())
	report := Report{
		Endpoint:      h.endpoint,
		Holder:        h.self,
		Fence:         h.fence,
		Sequence:      h.sequence,
		Grant:         h.last.Number,
		Lapsed:        lapsed,
		Allowed:       int(max(state.allowed, state.used)),
		Used:          h.usedByTier(),
		Least:         h.least(),
		Waiting:       demand.Waiting,
		OldestMillis:  demand.OldestMillis,
		PrefillTokens: demand.PrefillTokens,
		Failures:      h.failures,
		Slowdowns:     h.slowdowns,
		Engine:        h.engine,
	}
	h.slowdowns = nil
	return report
}

// Apply takes a grant and reports whether it was news.
func (h *Holder) Apply(now time.Time, grant Grant) bool {
	if grant.Fence != h.fence || grant.Number <= h.last.Number || grant.Sequence > h.sequence {
		return false
	}
	if h.sequence-grant.Sequence >= sentReports {
		return false
	}
	unused := grant.Unused
	if grant.Sequence < h.trusted {
		unused = 0
	}
	h.last = grant
	h.lastAt = now
	h.heardAt = h.sent[grant.Sequence%sentReports]
	h.lapse.Store(int64(h.heardAt.Add(GrantTTL).Sub(h.base)))
	h.update(func(s *handState) bool {
		s.allowed = min(uint16(grant.Slots), s.used+uint16(unused))
		s.idle = uint16(grant.Idle)
		s.floor = grant.Floor
		return true
	})
	return true
}

// Failed records that a dispatch failed at the endpoint. All unused slots go
// back, and only a home that knows of the failure can grant new ones.
func (h *Holder) Failed() {
	h.failures++
	h.trusted = h.sequence + 1
	h.Surrender(0)
}

// Sample records a first-token time in percent of the expected one.
func (h *Holder) Sample(slowdown uint16) {
	if len(h.slowdowns) == MaxSamples {
		h.slowdowns = h.slowdowns[1:]
	}
	h.slowdowns = append(h.slowdowns, slowdown)
}

// SeeEngine records the endpoint's incarnation. A new one counts as a failure.
func (h *Holder) SeeEngine(incarnation string) {
	if h.engine == incarnation {
		return
	}
	if h.engine != "" {
		h.Failed()
	}
	h.engine = incarnation
}

// Last is the grant in force and when it came.
func (h *Holder) Last() (Grant, time.Time) { return h.last, h.lastAt }

// Sequence is that of the last report.
func (h *Holder) Sequence() uint64 { return h.sequence }

// Fence is the fencing number of the home that the holder obeys.
func (h *Holder) Fence() uint64 { return h.fence }

// HeardAt is when the last report was sent that the home has acknowledged.
func (h *Holder) HeardAt() time.Time { return h.heardAt }
