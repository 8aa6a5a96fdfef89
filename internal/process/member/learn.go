package member

import (
	"slices"
	"time"

	"mustarddoor/internal/process/identity"
)

// mergeRecord joins a record of another host into this one's. News spreads on if
// asked, and in any case if it changes a host that was known.
func (c *Core) mergeRecord(now time.Duration, record Record, shouldBroadcast bool) {
	if !record.isValid() {
		return
	}
	if record.Host.Host == c.self.record.Host.Host {
		c.refute(record)
		return
	}
	known := c.entries[record.Host.Host]
	if known == nil {
		c.addMember(now, record, shouldBroadcast)
		return
	}
	next := known.record.Join(record)
	if next == known.record {
		return
	}
	if shouldBroadcast {
		c.lastChangeAt = now
	}
	isReplaced := next.Host.Incarnation != known.record.Host.Incarnation
	c.updateRecord(known, next, true)
	c.restartTimer(now, known)
	if isReplaced {
		c.markReplaced(now, next.Host)
	}
}

// addMember takes in a host name that was not known, unless it is gone already.
func (c *Core) addMember(now time.Duration, record Record, shouldBroadcast bool) {
	if record.State.IsGone() || len(c.entries) >= maxMembers {
		return
	}
	added := c.insert(record.Host.Host)
	c.updateRecord(added, record, shouldBroadcast)
	c.restartTimer(now, added)
	c.markReplaced(now, record.Host)
}

// markReplaced marks as dead the earlier processes that had a newcomer's address.
func (c *Core) markReplaced(now time.Duration, newcomer identity.Host) {
	for _, other := range c.sorted {
		host := other.record.Host
		sameAddress := host.MeshAddress == newcomer.MeshAddress && host.Host != newcomer.Host
		if sameAddress && host.Number < newcomer.Number && other != c.self {
			c.setState(now, other, StateDead)
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
	c.updateRecord(c.self, next, true)
}

// setState sets a worse state of a member on this host's own judgement.
func (c *Core) setState(now time.Duration, target *entry, state State) {
	if target.record.State >= state {
		return
	}
	next := target.record
	next.State = state
	c.updateRecord(target, next, true)
	c.restartTimer(now, target)
}

// updateRecord replaces an entry's record, notes the change and spreads it.
func (c *Core) updateRecord(target *entry, next Record, shouldBroadcast bool) {
	before := target.member()
	c.setRecord(target, next)
	after := target.member()
	if before != after {
		c.out.Changes = append(c.out.Changes, Change{Member: after, Before: before})
	}
	if shouldBroadcast {
		c.broadcasts.addRecord(next)
		c.isPushPending = true
	}
}

// setRecord keeps the digest in step with the records.
func (c *Core) setRecord(target *entry, next Record) {
	bucket := &c.buckets[bucketOf(next.Host.Host)]
	*bucket ^= target.record.hash()
	target.record = next
	target.size = encodedSize(next)
	*bucket ^= next.hash()
}

func (c *Core) restartTimer(now time.Duration, target *entry) {
	switch target.record.State {
	case StateSuspect:
		target.expires = now + c.timing.suspicionTimeout(c.fleetSize())
	case StateDead, StateLeft:
		target.expires = now + c.timing.GoneTTL
	default:
		target.expires = 0
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
			c.setState(now, entry, StateDead)
			continue
		}
		if entry.record.State.IsGone() {
			c.remove(entry.record.Host.Host)
		}
	}
}
