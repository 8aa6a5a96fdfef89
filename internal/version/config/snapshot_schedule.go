package config

import (
	"strconv"
	"time"
)

// snapshotSchedule measures on the host's own monotonic clock how old the last
// snapshot in the log is.
type snapshotSchedule struct {
	// offset is the snapshot's offset; zero for the first record of a log
	// without one.
	offset uint64
	// appendedAt is when it was appended; zero if the log is empty.
	appendedAt time.Time
	// trimmedAt is when the log was seen to have trimmed it; zero if it has it.
	trimmedAt time.Time
}

// observe takes in a log state. A snapshot that is read at the tail has just
// been appended; the age of one that is read later is taken from the clocks of
// the log and the host, which may differ, and bounded by the retention.
func (c *snapshotSchedule) observe(log LogState, atTail bool, now time.Time, retention time.Duration) {
	if log.Offset == 0 || !c.appendedAt.IsZero() && c.offset == log.Snapshot {
		return
	}
	age := time.Duration(0)
	if !atTail {
		age = now.Sub(time.UnixMilli(log.SnapshotMillis))
		age = min(max(age, 0), retention)
	}
	*c = snapshotSchedule{offset: log.Snapshot, appendedAt: now.Add(-age)}
}

// observeFirst takes in the oldest offset that the log has.
func (c *snapshotSchedule) observeFirst(first uint64, now time.Time) {
	isTrimmed := first > max(c.offset, 1)
	switch {
	case !isTrimmed:
		c.trimmedAt = time.Time{}
	case c.trimmedAt.IsZero():
		c.trimmedAt = now
	}
}

// due is when a host appends a snapshot unless another one does before: after
// a part of the retention, at a time that differs by host and from one
// snapshot to the next, or soon if the log has trimmed the last one.
func (c snapshotSchedule) due(host string, retention time.Duration) time.Time {
	spread := time.Duration(float64(retention) * snapshotSpread)
	wait := time.Duration(float64(retention) * snapshotAge)
	due := c.appendedAt.Add(wait + staggerDelay(host, c.offset, spread))
	if c.trimmedAt.IsZero() {
		return due
	}
	return earlier(due, c.trimmedAt.Add(staggerDelay(host, c.offset, min(spread, staggerSpan))))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// staggerDelay gives a part of a span that differs by host and turn, so that
// hosts that may all do the same do it one after the other.
func staggerDelay(host string, round uint64, span time.Duration) time.Duration {
	const parts = 1 << 20
	part := digest64(host+" "+strconv.FormatUint(round, 10)) % parts
	return span / parts * time.Duration(part)
}

// snapshotDue is when this host appends a snapshot.
func (f *Follower) snapshotDue(log LogState) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.schedule.observe(log, f.health.reachedTail, now(), f.options.LogRetention)
	f.schedule.observeFirst(f.health.logFirst, now())
	return f.schedule.due(f.options.Host, f.options.LogRetention)
}
