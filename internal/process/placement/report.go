package placement

import (
	"time"

	"mustarddoor/internal/process/slot"
)

// tick does what time alone brings about.
func (c *core) tick(now time.Time) {
	for _, s := range c.order {
		s.follow(now, c.homes, c.self)
		if s.office != nil {
			s.office.refresh(now)
			c.route(now, s, s.office.ledger.Grants(now))
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

// report sends a site's report if it is due. It returns whether that brought a
// grant at once.
func (c *core) report(now time.Time, s *site) bool {
	grant, _ := s.holder.Last()
	if s.holder.Surrender(grant.Idle) {
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
	for _, stretch := range s.samples.drain() {
		s.holder.Sample(stretch)
	}
	report := s.holder.Report(now, demand)
	if s.office != nil {
		return c.route(now, s, s.office.take(now, report))
	}
	message := c.out.to(peer{s.home.Host, s.home.MeshAddress})
	message.Reports = append(message.Reports, report)
	return false
}

// demandOf is what this host wants of a site.
func (c *core) demandOf(now time.Time, s *site) slot.Demand {
	demand := slot.Demand{PrefillTokens: s.live.Pending()}
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
func (c *core) route(now time.Time, s *site, grants []slot.Grant) bool {
	own := false
	for _, grant := range grants {
		if grant.Holder == c.self {
			own = s.apply(now, grant) || own
			continue
		}
		address, known := s.office.peers[grant.Holder]
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
		s := c.sites[report.Endpoint]
		if s == nil || s.office == nil || report.Holder != from.host {
			continue
		}
		if from.address != "" && (len(s.office.peers) < maxPeers) {
			s.office.peers[from.host] = from.address
		}
		c.route(now, s, s.office.take(now, report))
	}
	touched := false
	for _, grant := range message.Grants {
		s := c.sites[grant.Endpoint]
		if s != nil && grant.Holder == c.self {
			touched = s.apply(now, grant) || touched
		}
	}
	if touched {
		c.pumpAll(now)
	}
	c.flush(now)
}
