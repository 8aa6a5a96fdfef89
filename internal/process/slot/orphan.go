package slot

import (
	"slices"
	"time"
)

// loadSample is a load report of the endpoint that is evaluated once the
// holders have reported.
type loadSample struct {
	sampledAt time.Time
	inFlight  int
	// lastGrant is the number of the last grant before the sample arrived.
	lastGrant uint64
}

// ObserveLoad records the number of requests that were running and waiting at
// the endpoint at the time sampled. Once all holders have reported the slots
// that they used at that time, it bounds what expired holders may still use.
func (l *Ledger) ObserveLoad(now, sampled time.Time, inFlight int) {
	if l.pendingSample == nil || now.Sub(l.pendingSample.sampledAt) > maxSampleAge {
		l.pendingSample = &loadSample{sampledAt: sampled, inFlight: inFlight, lastGrant: l.number}
	}
	l.resolvePendingSample(now)
}

// resolvePendingSample evaluates the pending sample if every holder has
// acknowledged a grant that was made after it. The report of such a holder
// covers the time of the sample.
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

// lowerOrphaned lowers the slots that expired holders may still use to
// remaining, the number of requests that the endpoint had in flight for them at
// a time after which they cannot have started any.
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

// EndpointRestarted records that the endpoint has restarted, which ended all
// requests of expired holders.
func (l *Ledger) EndpointRestarted() {
	for i := range l.holders {
		if l.holders[i].expired {
			l.holders[i].orphaned = 0
		}
	}
	l.inherited = 0
	l.removeDrainedHolders()
}

// removeDrainedHolders removes expired holders that no longer use any slot.
func (l *Ledger) removeDrainedHolders() {
	l.holders = slices.DeleteFunc(l.holders, func(h holderState) bool { return h.expired && h.orphaned == 0 })
}
