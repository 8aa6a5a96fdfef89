package placement

import (
	"time"

	"mustarddoor/internal/process/slot"
)

// tick does what time alone brings about.
func (c *core) tick(now time.Time) {
	for _, s := range c.order {
		s.follow(now, c.homes, c.self)
		if s.homeRole != nil {
			s.homeRole.refresh(now)
			c.route(now, s, s.homeRole.ledger.Grants(now))
		}
		if s.isReportDue(now) {
			s.dirty.Store(true)
		}
	}
	for _, p := range c.state.Load().pools {
		c.pump(now, p)
		c.shed(now, p)
	}
	c.flush(now)
}

// flush sends the reports that are due, and lets the homes of this host answer
// at once.
func (c *core) flush(now time.Time) {
	if !c.recheck.IsZero() && !now.Before(c.recheck) {
		c.recheck = time.Time{}
		c.pumpAll(now)
	}
	for range settleRounds {
		granted := false
		for _, s := range c.order {
			granted = c.report(now, s) || granted
		}
		if !granted {
			return
		}
		c.pumpAll(now)
	}
}

func (c *core) pumpAll(now time.Time) {
	for _, p := range c.state.Load().pools {
		c.pump(now, p)
	}
}

// report sends a endpoint's report if it is due. It returns whether that brought a
// grant at once.
func (c *core) report(now time.Time, s *endpointState) bool {
	grant, _ := s.holder.LastGrant()
	if s.holder.ReleaseUnused(grant.MaxIdle) {
		s.dirty.Store(true)
	}
	demand := c.demandOf(now, s)
	if !s.dirty.Swap(false) && demand.Waiting == s.waiting {
		return false
	}
	if !s.hasHome {
		return false
	}
	s.waiting = demand.Waiting
	s.reportedAt = now
	for _, slowdown := range s.samples.drain() {
		s.holder.RecordSlowdown(slowdown)
	}
	report := s.holder.Report(now, demand)
	if s.homeRole != nil {
		return c.route(now, s, s.homeRole.take(now, report))
	}
	message := c.out.to(peer{s.home.Host, s.home.MeshAddress})
	message.Reports = append(message.Reports, report)
	return false
}

// demandOf is what this host wants of a endpoint.
func (c *core) demandOf(now time.Time, s *endpointState) slot.Demand {
	demand := slot.Demand{PrefillTokens: s.live.PendingTokens()}
	l := c.lines[s.spec.Service]
	if l == nil || !s.inService {
		return demand
	}
	demand.Waiting = l.demandAt(s)
	for t := range demand.Waiting {
		demand.Waiting[t] = min(demand.Waiting[t], manyWaiting)
	}
	if highest, any := demand.Waiting.Highest(); any {
		demand.OldestMillis = l.oldest(now)
		s.holder.LowerFloor(highest)
	}
	return demand
}

// route applies or sends the grants of a home on this host. It returns whether
// one of them was for this host.
func (c *core) route(now time.Time, s *endpointState, grants []slot.Grant) bool {
	own := false
	for _, grant := range grants {
		if grant.Holder == c.self {
			own = s.apply(now, grant) || own
			continue
		}
		address, known := s.homeRole.peers[grant.Holder]
		if !known {
			continue
		}
		message := c.out.to(peer{grant.Holder, address})
		message.Grants = append(message.Grants, grant)
	}
	return own
}

// deliver takes a message from another host.
func (c *core) deliver(now time.Time, from peer, message Message) {
	for _, report := range message.Reports {
		s := c.endpoints[report.Endpoint]
		if s == nil || s.homeRole == nil || report.Holder != from.host {
			continue
		}
		if from.address != "" && (len(s.homeRole.peers) < maxPeers) {
			s.homeRole.peers[from.host] = from.address
		}
		c.route(now, s, s.homeRole.take(now, report))
	}
	touched := false
	for _, grant := range message.Grants {
		s := c.endpoints[grant.Endpoint]
		if s != nil && grant.Holder == c.self {
			touched = s.apply(now, grant) || touched
		}
	}
	if touched {
		c.pumpAll(now)
	}
	c.flush(now)
}
