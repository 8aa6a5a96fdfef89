package slot

import (
	"slices"
	"time"
)

// loadSample is a load report of the endpoint that waits for the holders' reports.
type loadSample struct {
	sampledAt time.Time
	inFlight  int
	// lastGrant is that of the last grant before the sample came.
	lastGrant uint64
}

// ObserveLoad takes the number of requests that the endpoint had running and
// waiting at a time. Once all holders have reported what they used at that
// time, it settles what lost holders may still use.
func (l *Ledger) ObserveLoad(now, sampled time.Time, inFlight int) {
	if l.pendingSample == nil || now.Sub(l.pendingSample.sampledAt) > maxSampleAge {
		l.pendingSample = &loadSample{sampledAt: sampled, inFlight: inFlight, lastGrant: l.number}
	}
	l.resolvePendingSample(now)
}

// resolvePendingSample uses the pending sample if every holder has acknowledged a grant that
// was made after it. Such a holder's report covers the time of the sample.
func (l *Ledger) resolvePendingSample(now time.Time) {
	if l.pendingSample == nil || now.Sub(l.pendingSample.sampledAt) > maxSampleAge {
		return
	}
	reported := 0
	for i := range l.holders {
		h := &l.holders[i]
		if h.expired {
			continue
		}
		if h.report.Grant <= l.pendingSample.lastGrant {
			return
		}
		reported += h.report.MinUsed
	}
	l.lowerOrphaned(l.pendingSample.sampledAt, max(l.pendingSample.inFlight-reported, 0))
	l.pendingSample = nil
}

// lowerOrphaned lowers what lost holders may still use to rest, which the endpoint had
// in flight for them at a time after which they can have started nothing.
func (l *Ledger) lowerOrphaned(at time.Time, remaining int) {
	for i := range l.holders {
		h := &l.holders[i]
		if h.expired && at.After(h.expiry.Add(ExpiryMargin)) {
			h.orphaned = min(h.orphaned, remaining)
		}
	}
	if at.After(l.blockedUntil.Add(ExpiryMargin)) {
		l.inherited = min(l.inherited, remaining)
	}
	l.removeDrainedHolders()
}

// EndpointRestarted tells that the endpoint has restarted: what lost holders had in
// flight is gone.
func (l *Ledger) EndpointRestarted() {
	for i := range l.holders {
		if l.holders[i].expired {
			l.holders[i].orphaned = 0
		}
	}
	l.inherited = 0
	l.removeDrainedHolders()
}

// removeDrainedHolders forgets lost holders that use nothing any more.
func (l *Ledger) removeDrainedHolders() {
	l.holders = slices.DeleteFunc(l.holders, func(h holderState) bool { return h.expired && h.orphaned == 0 })
}
