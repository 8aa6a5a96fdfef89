package member

import (
	"slices"
	"time"

	"mustarddoor/internal/process/identity"
)

// mergeRecord merges a received record. A change is broadcast if
// shouldBroadcast is set, and in any case if the host was already known.
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

// addMember adds a host whose name was not known, unless it is gone already.
func (c *Core) addMember(now time.Duration, record Record, shouldBroadcast bool) {
	if record.State.IsGone() || len(c.entries) >= maxMembers {
		return
	}
	added := c.insert(record.Host.Host)
	c.updateRecord(added, record, shouldBroadcast)
	c.restartTimer(now, added)
	c.markReplaced(now, record.Host)
}

// markReplaced marks as dead the earlier processes that had a newcomer's peer
// address.
func (c *Core) markReplaced(now time.Duration, newcomer identity.Host) {
	for _, other := range c.sorted {
		host := other.record.Host
		sameAddress := host.MeshAddress == newcomer.MeshAddress && host.Host != newcomer.Host
		if sameAddress && host.Number < newcomer.Number && other != c.self {
			c.setState(now, other, StateDead)
		}
	}
}

// refute responds to a record of this host that another host sent.
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

// setState sets a worse state of a member that this host has determined itself.
func (c *Core) setState(now time.Duration, target *entry, state State) {
	if target.record.State >= state {
		return
	}
	next := target.record
	next.State = state
	c.updateRecord(target, next, true)
	c.restartTimer(now, target)
}

// updateRecord sets an entry's record, adds the change to the output, and
// broadcasts the record if shouldBroadcast is set.
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

// setRecord sets an entry's record and updates the digest.
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

// expire declares suspects dead that did not refute in time, and removes hosts
// that have been gone for GoneTTL.
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
