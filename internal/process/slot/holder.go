package slot

import (
	"time"

	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/request/tier"
)

// maxSentTimes is the number of reports whose send times a holder keeps.
const maxSentTimes = 64

// Holder is one host's side of the grant protocol for one endpoint. Its methods
// must not be called concurrently, except for those of LocalSlots.
type Holder struct {
	LocalSlots
	endpoint    string
	id          identity.Incarnation
	fence       uint64
	sequence    uint64
	windowStart time.Time
	// sentAt holds the send times of the last reports, by sequence number
	// modulo maxSentTimes.
	sentAt [maxSentTimes]time.Time
	// grant is the last applied grant, grantedAt the time when it was applied.
	grant     Grant
	grantedAt time.Time
	// ackedSentAt is when the report that grant acknowledges was sent.
	ackedSentAt time.Time
	failures    uint64
	// minTrustedSequence is the first report that a grant must acknowledge to
	// add slots: the endpoint has failed since the reports before it.
	minTrustedSequence uint64
	slowdowns          []uint16
	engineIncarnation  string
}

// Demand describes the requests of a holder that wait for a slot, and the prompt
// tokens of those that have no first token yet.
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

// Follow switches the holder to the home with the given fencing token. A change
// of home gives back all unused slots.
func (h *Holder) Follow(fence uint64) {
	if fence <= h.fence {
		return
	}
	h.fence = fence
	h.grant = Grant{}
	h.ReleaseUnused(0)
}

// Report returns the next report. A holder whose grant has expired reports no
// unused slots.
func (h *Holder) Report(now time.Time, demand Demand) Report {
	h.sequence++
	h.sentAt[h.sequence%maxSentTimes] = now
	expired := !now.Before(h.Expiry())
	if expired {
		h.ReleaseUnused(0)
	}
	if now.Sub(h.windowStart) >= MinUsedWindow {
		h.windowStart = now
		h.startWindow()
	}
	// The per-tier counters are read after the state, so that they include
	// every running request that the state counts.
	state := unpack(h.state.Load())
	report := Report{
		Endpoint:          h.endpoint,
		Holder:            h.id,
		Fence:             h.fence,
		Sequence:          h.sequence,
		Grant:             h.grant.Number,
		Expired:           expired,
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

// ApplyGrant applies a grant and returns false if it is outdated.
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
		s.maxIdle = uint16(grant.MaxIdle)
		s.floor = grant.Floor
		return true
	})
	return true
}

// RecordFailure records that a dispatch to the endpoint failed. All unused
// slots are given back, and only a grant that acknowledges a later report can
// add new ones.
func (h *Holder) RecordFailure() {
	h.failures++
	h.minTrustedSequence = h.sequence + 1
	h.ReleaseUnused(0)
}

// RecordSlowdown records a time to first token in percent of the expected one.
func (h *Holder) RecordSlowdown(slowdown uint16) {
	if len(h.slowdowns) == MaxSamples {
		h.slowdowns = h.slowdowns[1:]
	}
	h.slowdowns = append(h.slowdowns, slowdown)
}

// ObserveIncarnation records the endpoint's incarnation. A change counts as a
// failure.
func (h *Holder) ObserveIncarnation(incarnation string) {
	if h.engineIncarnation == incarnation {
		return
	}
	if h.engineIncarnation != "" {
		h.RecordFailure()
	}
	h.engineIncarnation = incarnation
}

// LastGrant returns the last applied grant and when it was applied.
func (h *Holder) LastGrant() (Grant, time.Time) { return h.grant, h.grantedAt }

// Sequence returns the sequence number of the last report.
func (h *Holder) Sequence() uint64 { return h.sequence }

// Fence returns the fencing token of the home that the holder follows.
func (h *Holder) Fence() uint64 { return h.fence }

// AckedReportSentAt returns when the last report that the home has acknowledged
// was sent.
func (h *Holder) AckedReportSentAt() time.Time { return h.ackedSentAt }
