package config

import (
	"strconv"
	"time"
)

// snapshotSchedule tracks the age of the last snapshot in the log by the host's
// own monotonic clock.
type snapshotSchedule struct {
	// offset is the snapshot's offset. Zero stands for the first record of a log
	// without a snapshot.
	offset uint64
	// appendedAt is when the snapshot was appended; zero if the log is empty.
	appendedAt time.Time
	// trimmedAt is when the snapshot was first seen to be trimmed from the log;
	// zero if the log has it.
	trimmedAt time.Time
}

// observe takes a log state into account. A snapshot that is read at the tail
// has just been appended. The age of a snapshot that is read later is the
// difference between the clocks of the host and the log, limited to the
// retention because the clocks may differ.
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

// observeFirst takes the oldest offset in the log into account.
func (c *snapshotSchedule) observeFirst(first uint64, now time.Time) {
	isTrimmed := first > max(c.offset, 1)
	switch {
	case !isTrimmed:
		c.trimmedAt = time.Time{}
	case c.trimmedAt.IsZero():
		c.trimmedAt = now
	}
}

// due returns when the host appends a snapshot unless another host does so
// earlier: after a fraction of the retention plus a delay that differs by host
// and by snapshot, or soon if the log has trimmed the last snapshot.
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

// staggerDelay returns a delay within a span. It is derived from host and round,
// so that hosts with the same task do not all act at once.
func staggerDelay(host string, round uint64, span time.Duration) time.Duration {
	const parts = 1 << 20
	part := digest64(host+" "+strconv.FormatUint(round, 10)) % parts
	return span / parts * time.Duration(part)
}

// snapshotDue returns when this host appends a snapshot.
func (f *Follower) snapshotDue(log LogState) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.schedule.observe(log, f.health.reachedTail, now(), f.options.LogRetention)
	f.schedule.observeFirst(f.health.logFirst, now())
	return f.schedule.due(f.options.Host, f.options.LogRetention)
}
