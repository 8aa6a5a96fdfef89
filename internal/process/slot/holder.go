package slot

import (
	"time"

	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/request/tier"
)

// maxSentTimes is how many send times of reports a holder remembers.
const maxSentTimes = 64

// Holder is one host's side of the protocol for one endpoint. Its methods must
// not be called at the same time, but for those of Hand.
type Holder struct {
	LocalSlots
	endpoint    string
	id          identity.Incarnation
	fence       uint64
	sequence    uint64
	windowStart time.Time
	sentAt      [maxSentTimes]time.Time
	grant       Grant
	grantedAt   time.Time
	ackedSentAt time.Time
	failures    uint64
	// minTrustedSequence is the first report whose acknowledgement a grant needs to add
	// slots: the endpoint has failed since the reports before it.
	minTrustedSequence uint64
	slowdowns          []uint16
	engineIncarnation  string
}

// Demand is what a holder waits for.
type Demand struct {
	Waiting       tier.Counts
	OldestMillis  [tier.Max]uint32
	PrefillTokens int
}

// NewHolder returns a holder without slots.
func NewHolder(endpoint string, id identity.Incarnation, now time.Time) *Holder {
	h := &Holder{endpoint: endpoint, id: id, windowStart: now}
	h.epoch = now
	return h
}

// Follow makes the holder obey the home with the fencing number. A change of
// home takes back every unused slot.
func (h *Holder) Follow(fence uint64) {
	if fence <= h.fence {
		return
	}
	h.fence = fence
	h.grant = Grant{}
	h.ReleaseUnused(0)
}

// Report makes the next report. A lapsed holder reports no unused slots.
func (h *Holder) Report(now time.Time, demand Demand) Report {
	h.sequence++
	h.sentAt[h.sequence%maxSentTimes] = now
	lapsed := !now.Before(h.Expiry())
	if lapsed {
		h.ReleaseUnused(0)
	}
	if now.Sub(h.windowStart) >= MinUsedWindow {
		h.windowStart = now
		h.startWindow()
	}
	// The counters by tier are read after the state, so that they cover it.
	state := unpack(h.state.Load())
	report := Report{
		Endpoint:          h.endpoint,
		Holder:            h.id,
		Fence:             h.fence,
		Sequence:          h.sequence,
		Grant:             h.grant.Number,
		Expired:           lapsed,
		Allowed:           int(max(state.allowed, state.used)),
		Used:              h.usedByTier(),
		MinUsed:           h.minUsed(),
		Waiting:           demand.Waiting,
		OldestMillis:      demand.OldestMillis,
		PrefillTokens:     demand.PrefillTokens,
		Failures:          h.failures,
		Slowdowns:         h.slowdowns,
		EngineIncarnation: h.engineIncarnation,
	}
	h.slowdowns = nil
	return report
}

// ApplyGrant takes a grant and reports whether it was news.
func (h *Holder) ApplyGrant(now time.Time, grant Grant) bool {
	if grant.Fence != h.fence || grant.Number <= h.grant.Number || grant.Sequence > h.sequence {
		return false
	}
	if h.sequence-grant.Sequence >= maxSentTimes {
		return false
	}
	unused := grant.Unused
	if grant.Sequence < h.minTrustedSequence {
		unused = 0
	}
	h.grant = grant
	h.grantedAt = now
	h.ackedSentAt = h.sentAt[grant.Sequence%maxSentTimes]
	h.expiry.Store(int64(h.ackedSentAt.Add(GrantTTL).Sub(h.epoch)))
	h.update(func(s *slotState) bool {
		s.allowed = min(uint16(grant.Slots), s.used+uint16(unused))
		s.idle = uint16(grant.MaxIdle)
		s.floor = grant.Floor
		return true
	})
	return true
}

// RecordFailure records that a dispatch failed at the endpoint. All unused slots go
// back, and only a home that knows of the failure can grant new ones.
func (h *Holder) RecordFailure() {
	h.failures++
	h.minTrustedSequence = h.sequence + 1
	h.ReleaseUnused(0)
}

// RecordSlowdown records a first-token time in percent of the expected one.
func (h *Holder) RecordSlowdown(slowdown uint16) {
	if len(h.slowdowns) == MaxSamples {
		h.slowdowns = h.slowdowns[1:]
	}
	h.slowdowns = append(h.slowdowns, slowdown)
}

// ObserveIncarnation records the endpoint's incarnation. A new one counts as a failure.
func (h *Holder) ObserveIncarnation(incarnation string) {
	if h.engineIncarnation == incarnation {
		return
	}
	if h.engineIncarnation != "" {
		h.RecordFailure()
	}
	h.engineIncarnation = incarnation
}

// LastGrant is the grant in force and when it came.
func (h *Holder) LastGrant() (Grant, time.Time) { return h.grant, h.grantedAt }

// Sequence is that of the last report.
func (h *Holder) Sequence() uint64 { return h.sequence }

// Fence is the fencing number of the home that the holder obeys.
func (h *Holder) Fence() uint64 { return h.fence }

// AckedReportSentAt is when the last report was sent that the home has acknowledged.
func (h *Holder) AckedReportSentAt() time.Time { return h.ackedSentAt }
