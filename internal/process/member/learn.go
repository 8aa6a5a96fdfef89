package member

import (
	"slices"
	"time"

	"mustarddoor/internal/process/identity"
)

// learn joins a record of another host into this one's. News spreads on if
// asked, and in any case if it changes a host that was known.
func (c *Core) learn(now time.Duration, record Record, spread bool) {
	if !record.isValid() {
		return
	}
	if record.Host.Host == c.self.record.Host.Host {
		c.refute(record)
		return
	}
	known := c.entries[record.Host.Host]
	if known == nil {
		c.admit(now, record, spread)
		return
	}
	next := known.record.Join(record)
	if next == known.record {
		return
	}
	if spread {
		c.newsAt = now
	}
	isReplaced := next.Host.Incarnation != known.record.Host.Incarnation
	c.update(known, next, true)
	c.restartTimer(now, known)
	if isReplaced {
		c.evict(now, next.Host)
	}
}

// admit takes in a host name that was not known, unless it is gone already.
func (c *Core) admit(now time.Duration, record Record, spread bool) {
	if record.State.IsGone() || len(c.entries) >= maxMembers {
		return
	}
	fresh := c.insert(record.Host.Host)
	c.update(fresh, record, spread)
	c.restartTimer(now, fresh)
	c.evict(now, record.Host)
}

// evict marks as dead the earlier processes that had a newcomer's address.
func (c *Core) evict(now time.Duration, newcomer identity.Host) {
	for _, other := range c.sorted {
		host := other.record.Host
		sameAddress := host.MeshAddress == newcomer.MeshAddress && host.Host != newcomer.Host
		if sameAddress && host.Number < newcomer.Number && other != c.self {
			c.declare(now, other, StateDead)
		}
	}
}

// refute answers what others say of this host.
func (c *Core) refute(record Record) {
	own := c.self.record
	if record.Host.Number > own.Host.Number {
		c.out.Superseded = true
		return
	}
	if own.State == StateLeft || record.compare(own) <= 0 {
		return
	}
	next := own
	next.Refutation = max(own.Refutation, record.Refutation) + 1
	c.update(c.self, next, true)
}

// declare sets a worse state of a member on this host's own judgement.
func (c *Core) declare(now time.Duration, about *entry, state State) {
	if about.record.State >= state {
		return
	}
	next := about.record
	next.State = state
	c.update(about, next, true)
	c.restartTimer(now, about)
}

// update replaces an entry's record, notes the change and spreads it.
func (c *Core) update(about *entry, next Record, spread bool) {
	before := about.member()
	c.replace(about, next)
	after := about.member()
	if before != after {
		c.out.Changes = append(c.out.Changes, Change{Member: after, Before: before})
	}
	if spread {
		c.queue.addRecord(next)
		c.isUrgent = true
	}
}

// replace keeps the digest in step with the records.
func (c *Core) replace(about *entry, next Record) {
	bucket := &c.buckets[bucketOf(next.Host.Host)]
	*bucket ^= about.record.hash()
	about.record = next
	about.bytes = sizeOf(next)
	*bucket ^= next.hash()
}

func (c *Core) restartTimer(now time.Duration, about *entry) {
	switch about.record.State {
	case StateSuspect:
		about.expires = now + c.timing.suspicion(c.fleet())
	case StateDead, StateLeft:
		about.expires = now + c.timing.Forget
	default:
		about.expires = 0
	}
}

// expire declares suspects dead that did not refute in time, and forgets
// hosts that are long gone.
func (c *Core) expire(now time.Duration) {
	for _, entry := range slices.Clone(c.sorted) {
		if entry == c.self || entry.expires == 0 || now < entry.expires {
			continue
		}
		if entry.record.State == StateSuspect {
			c.declare(now, entry, StateDead)
			continue
		}
		if entry.record.State.IsGone() {
			c.remove(entry.record.Host.Host)
		}
	}
}
