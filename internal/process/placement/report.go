package placement

import (
	"time"

	"mustarddoor/internal/process/slot"
)

// tick does the time-driven work: it refreshes homes, grants and heartbeats,
// dispatches waiting requests and sheds late ones.
func (c *core) tick(now time.Time) {
	for _, s := range c.sortedEndpoints {
		s.updateHome(now, c.homes, c.self)
		if s.homeRole != nil {
			s.homeRole.updateLedgerLimit(now)
			c.deliverGrants(now, s, s.homeRole.ledger.Grants(now))
		}
		if s.isReportDue(now) {
			s.dirty.Store(true)
		}
	}
	for _, p := range c.snapshot.Load().pools {
		c.dispatchWaiting(now, p)
		c.shed(now, p)
	}
	c.flush(now)
}

// flush sends the reports that are due. Homes on this host reply immediately.
func (c *core) flush(now time.Time) {
	if !c.recheckAt.IsZero() && !now.Before(c.recheckAt) {
		c.recheckAt = time.Time{}
		c.dispatchAllWaiting(now)
	}
	for range maxFlushRounds {
		granted := false
		for _, s := range c.sortedEndpoints {
			granted = c.sendReport(now, s) || granted
		}
		if !granted {
			return
		}
		c.dispatchAllWaiting(now)
	}
}

func (c *core) dispatchAllWaiting(now time.Time) {
	for _, p := range c.snapshot.Load().pools {
		c.dispatchWaiting(now, p)
	}
}

// sendReport sends the report of an endpoint if it is due. It returns whether a
// home on this host replied with a grant for this host.
func (c *core) sendReport(now time.Time, s *endpointState) bool {
	grant, _ := s.holder.LastGrant()
	if s.holder.ReleaseUnused(grant.MaxIdle) {
		s.dirty.Store(true)
	}
	demand := c.demandFor(now, s)
	if !s.dirty.Swap(false) && demand.Waiting == s.reportedWaiting {
		return false
	}
	if !s.hasHome {
		return false
	}
	s.reportedWaiting = demand.Waiting
	s.reportedAt = now
	for _, slowdown := range s.samples.drain() {
		s.holder.RecordSlowdown(slowdown)
	}
	report := s.holder.Report(now, demand)
	if s.homeRole != nil {
		return c.deliverGrants(now, s, s.homeRole.handleReport(now, report))
	}
	message := c.outbox.messageTo(peer{s.home.Host, s.home.MeshAddress})
	message.Reports = append(message.Reports, report)
	return false
}

// demandFor returns the demand of this host for slots of an endpoint.
func (c *core) demandFor(now time.Time, s *endpointState) slot.Demand {
	demand := slot.Demand{PrefillTokens: s.live.PendingTokens()}
	q := c.waitQueues[s.spec.Service]
	if q == nil || !s.inService {
		return demand
	}
	demand.Waiting = q.waitingFor(s)
	for t := range demand.Waiting {
		demand.Waiting[t] = min(demand.Waiting[t], maxReportedWaiting)
	}
	if highest, found := demand.Waiting.Highest(); found {
		demand.OldestMillis = q.oldestMillis(now)
		s.holder.LowerFloor(highest)
	}
	return demand
}

// deliverGrants applies the grants for this host and queues those for other
// hosts. It returns whether a grant was applied.
func (c *core) deliverGrants(now time.Time, s *endpointState, grants []slot.Grant) bool {
	applied := false
	for _, grant := range grants {
		if grant.Holder == c.self {
			applied = s.applyGrant(now, grant) || applied
			continue
		}
		address, known := s.homeRole.peerAddresses[grant.Holder]
		if !known {
			continue
		}
		message := c.outbox.messageTo(peer{grant.Holder, address})
		message.Grants = append(message.Grants, grant)
	}
	return applied
}

// receive processes a message from another host.
func (c *core) receive(now time.Time, from peer, message Message) {
	for _, report := range message.Reports {
		s := c.endpoints[report.Endpoint]
		if s == nil || s.homeRole == nil || report.Holder != from.host {
			continue
		}
		if from.address != "" && (len(s.homeRole.peerAddresses) < maxPeers) {
			s.homeRole.peerAddresses[from.host] = from.address
		}
		c.deliverGrants(now, s, s.homeRole.handleReport(now, report))
	}
	applied := false
	for _, grant := range message.Grants {
		s := c.endpoints[grant.Endpoint]
		if s != nil && grant.Holder == c.self {
			applied = s.applyGrant(now, grant) || applied
		}
	}
	if applied {
		c.dispatchAllWaiting(now)
	}
	c.flush(now)
}
