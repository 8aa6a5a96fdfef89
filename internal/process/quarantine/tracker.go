package quarantine

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// minCrashes is the number of crashes in a row, without a success in
	// between, after which a part is quarantined. A part that is known to have
	// succeeded before needs more of them.
	minCrashes             = 3
	minCrashesAfterSuccess = 6
	// minCrashSpacing is the time within which crashes count as one: when a failure
	// domain is lost, several endpoints end at once.
	minCrashSpacing = 300 * time.Millisecond
	// minRequestCrashSpacing is that time for a whole request, which is sent again as
	// soon as one endpoint has ended under it.
	minRequestCrashSpacing = 40 * time.Millisecond
	// sameCrash is the time within which requests at one endpoint broke off by the
	// same crash.
	sameCrash = time.Second
	// crashMemory is how long a crash counts, maxCrashes how many are kept.
	crashMemory = 10 * time.Minute
	maxCrashes  = 64
	// probeDelay is the time from the last crash until one request with a
	// quarantined part is sent as a probe. Each failed probe doubles it, up to
	// maxProbeDoublings times.
	probeDelay        = time.Minute
	maxProbeDoublings = 10
	// quarantineLifetime is how long a part that is not probed stays quarantined.
	quarantineLifetime = 24 * time.Hour
	maxQuarantined     = 256
	// maxReleased is the number of released parts of which the others are told.
	maxReleased = 16
)

// crash is a request that an endpoint was beginning to respond to when it ended.
type crash struct {
	// id identifies the observation, so that it counts once however often hosts
	// tell each other of it. endpoint identifies the endpoint's incarnation, as far
	// as it is known: an endpoint may start again before its new entry is read.
	id, endpoint uint64
	at           time.Time
	parts        []Part
}

// quarantinedPart is the state of a quarantined part.
type quarantinedPart struct {
	lastCrash    time.Time
	failedProbes int
	// probedAt is when this host last sent a probe.
	probedAt time.Time
}

// probeAt returns when the part may be probed.
func (c *quarantinedPart) probeAt() time.Time {
	return c.lastCrash.Add(probeDelay << min(c.failedProbes, maxProbeDoublings))
}

// Tracker decides which parts of prompts, and which whole requests, are quarantined.
//
// It protects the endpoints from a prompt that crashes each one that begins to
// respond to it, and from a request that is repeated and crashes each one that runs
// it, while many sound requests run, some with parts in common. Hosts exchange what
// they saw, and each one decides for itself. The methods are safe for concurrent use.
type Tracker struct {
	// mayProbe reports whether this host is the one that probes a quarantined part.
	mayProbe func(Part) bool

	mu          sync.Mutex
	crashes     []crash
	quarantined map[Part]*quarantinedPart
	// released holds the parts whose quarantine ended last.
	released  []Part
	successes successMemory
	// changedAt is when something was last learned that others may not know.
	changedAt time.Time
}

// NewTracker returns a tracker without evidence.
func NewTracker(mayProbe func(Part) bool) *Tracker {
	return &Tracker{mayProbe: mayProbe, quarantined: map[Part]*quarantinedPart{}}
}

// RecordSuccess records that an endpoint has responded to a request with these
// parts. It returns the parts that are no longer quarantined.
func (t *Tracker) RecordSuccess(parts []Part, now time.Time) (released []Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		if part.IsRequest() && !t.isSuspect(part) {
			continue // requests are too many to remember them all
		}
		t.successes.record(part, now)
		if t.quarantined[part] != nil {
			t.release(part)
			t.changedAt = now
			released = append(released, part)
		}
	}
	return released
}

// isSuspect reports whether an endpoint ended under a part. The caller holds mu.
func (t *Tracker) isSuspect(part Part) bool {
	return t.quarantined[part] != nil || slices.ContainsFunc(t.crashes, func(c crash) bool { return slices.Contains(c.parts, part) })
}

// release ends the quarantine of a part. The caller holds mu.
func (t *Tracker) release(part Part) {
	delete(t.quarantined, part)
	if len(t.released) == maxReleased {
		t.released = t.released[1:]
	}
	t.released = append(t.released, part)
}

// RecordCrash records that an endpoint ended as it began to respond to a request
// with these parts. It returns the parts that are quarantined by this.
func (t *Tracker) RecordCrash(endpoint uint64, parts []Part, now time.Time) (newlyQuarantined []Part) {
	if len(parts) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(crash{id: rand.Uint64(), endpoint: endpoint, at: now, parts: parts})
	t.changedAt = now
	return t.evaluate(now)
}

// add adds a crash unless it is known, and reports whether it is new. The caller
// holds mu.
func (t *Tracker) add(added crash) bool {
	for _, known := range t.crashes {
		if known.id == added.id {
			return false
		}
	}
	t.crashes = append(t.crashes, added)
	return true
}

// IsQuarantined reports whether a request with these parts must not be sent, the
// part to blame and when to retry.
func (t *Tracker) IsQuarantined(parts []Part, now time.Time) (part Part, retryAfter time.Duration, blocked bool) {
	return t.check(parts, false, now)
}

// AllowSend reports whether a request with these parts may be sent now. A request
// that probes a quarantined part uses up the probe.
func (t *Tracker) AllowSend(parts []Part, now time.Time) bool {
	_, _, blocked := t.check(parts, true, now)
	return !blocked
}

func (t *Tracker) check(parts []Part, isSent bool, now time.Time) (part Part, retryAfter time.Duration, blocked bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.quarantined) == 0 {
		return 0, 0, false
	}
	for _, part := range parts {
		c := t.quarantined[part]
		if c == nil {
			continue
		}
		probeAt := c.probeAt()
		if now.Before(probeAt) || now.Before(c.probedAt.Add(probeDelay)) || !t.mayProbe(part) {
			return part, max(probeAt.Sub(now), time.Second), true
		}
		if isSent {
			c.probedAt = now
		}
	}
	return 0, 0, false
}

// evaluate quarantines the parts that have enough crashes. A crash that such a part
// explains says nothing about other parts. The caller holds mu.
func (t *Tracker) evaluate(now time.Time) (newlyQuarantined []Part) {
	t.expire(now)
	for {
		crashTimes, positions := t.crashTimes(t.unexplainedCrashes())
		part, found := t.mostSuspect(crashTimes, positions)
		if !found || t.mayBeOvertaken(part, crashTimes) {
			return newlyQuarantined
		}
		t.quarantined[part] = &quarantinedPart{lastCrash: slices.MaxFunc(crashTimes[part], time.Time.Compare)}
		t.changedAt = now
		newlyQuarantined = append(newlyQuarantined, part)
	}
}

// crashTimes returns when endpoints ended under each part since its last success, and
// the last position of the part in a request.
func (t *Tracker) crashTimes(crashes []crash) (times map[Part][]time.Time, positions map[Part]int) {
	times, positions = map[Part][]time.Time{}, map[Part]int{}
	counted := map[Part]bool{}
	for _, c := range crashes {
		// Of a quarantined request one crash counts for the parts of its prompt: the
		// others are no evidence against other requests with these parts.
		request := c.request()
		if counted[request] {
			continue
		}
		counted[request] = request != 0 && t.quarantined[request] != nil
		for position, part := range c.parts {
			if t.quarantined[part] != nil || !c.at.After(t.successes.last(part)) {
				continue
			}
			times[part] = append(times[part], c.at)
			positions[part] = max(positions[part], position)
		}
	}
	return times, positions
}

// request returns the part that identifies the whole request, or 0 if there is none.
func (c *crash) request() Part {
	if last := len(c.parts) - 1; last >= 0 && c.parts[last].IsRequest() {
		return c.parts[last]
	}
	return 0
}

// mostSuspect returns the part with the most crashes among those that have enough. Of
// parts that always occur together, it returns the last in the prompt, since the
// first ones are shared most.
func (t *Tracker) mostSuspect(crashTimes map[Part][]time.Time, positions map[Part]int) (worst Part, found bool) {
	best := 0
	for part, times := range crashTimes {
		count, needed := countCrashes(times, crashSpacing(part)), minCrashes
		if !t.successes.last(part).IsZero() {
			needed = minCrashesAfterSuccess
		}
		if count < needed || count < best {
			continue
		}
		isWorse := count > best || cmp.Or(cmp.Compare(positions[part], positions[worst]), cmp.Compare(part, worst)) > 0
		if isWorse {
			worst, best, found = part, count, true
		}
	}
	return worst, found
}

// mayBeOvertaken reports whether a later part of the same requests has only one crash
// less than a part, and at least two. Of an endpoint's last requests, a sound one may be
// reported before the one to blame, which then has as many.
func (t *Tracker) mayBeOvertaken(part Part, crashTimes map[Part][]time.Time) bool {
	count := countCrashes(crashTimes[part], crashSpacing(part))
	for _, c := range t.crashes {
		position := slices.Index(c.parts, part)
		if position < 0 {
			continue
		}
		for _, later := range c.parts[position+1:] {
			if other := countCrashes(crashTimes[later], crashSpacing(later)); other == count-1 && other > 1 {
				return true
			}
		}
	}
	return false
}

// crashSpacing returns the time within which crashes under a part count as one.
func crashSpacing(part Part) time.Duration {
	if part.IsRequest() {
		return minRequestCrashSpacing
	}
	return minCrashSpacing
}

// countCrashes counts crashes that are at least some time apart.
func countCrashes(times []time.Time, spacing time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	count, last := 0, time.Time{}
	for _, at := range times {
		if count == 0 || at.Sub(last) >= spacing {
			count, last = count+1, at
		}
	}
	return count
}

// unexplainedCrashes returns the crashes that no request with a quarantined part
// explains, and counts the late ones among the others as failed probes. The crashes of
// a quarantined request still count for the parts of its prompt: other requests may
// have the part that is to blame.
func (t *Tracker) unexplainedCrashes() []crash {
	explained := map[uint64][]time.Time{}
	isOwn := map[uint64]bool{}
	for _, c := range t.crashes {
		isOwn[c.id] = t.isQuarantinedRequestOnly(c)
		for _, part := range c.parts {
			known := t.quarantined[part]
			if known == nil {
				continue
			}
			explained[c.endpoint] = append(explained[c.endpoint], c.at)
			if c.at.After(known.lastCrash) {
				if c.at.Sub(known.lastCrash) >= probeDelay {
					known.failedProbes++
				}
				known.lastCrash = c.at
			}
		}
	}
	var unexplained []crash
	for _, c := range t.crashes {
		isExplained := slices.ContainsFunc(explained[c.endpoint], func(at time.Time) bool { return c.at.Sub(at).Abs() < sameCrash })
		if !isExplained || isOwn[c.id] {
			unexplained = append(unexplained, c)
		}
	}
	return unexplained
}

// isQuarantinedRequestOnly reports whether the whole request of a crash is quarantined
// and no part of its prompt is.
func (t *Tracker) isQuarantinedRequestOnly(c crash) bool {
	request := c.request()
	return request != 0 && t.quarantined[request] != nil && !slices.ContainsFunc(c.parts, func(part Part) bool {
		return !part.IsRequest() && t.quarantined[part] != nil
	})
}

// expire drops what is too old, and the crashes beyond the limit, first those
// whose parts have all succeeded since.
func (t *Tracker) expire(now time.Time) {
	t.crashes = slices.DeleteFunc(t.crashes, func(c crash) bool { return now.Sub(c.at) > crashMemory })
	if excess := len(t.crashes) - maxCrashes; excess > 0 {
		slices.SortStableFunc(t.crashes, func(a, b crash) int {
			if aCounts, bCounts := t.counts(a), t.counts(b); aCounts != bCounts {
				if aCounts {
					return 1
				}
				return -1
			}
			return a.at.Compare(b.at)
		})
		t.crashes = slices.Delete(t.crashes, 0, excess)
	}
	maps.DeleteFunc(t.quarantined, func(_ Part, c *quarantinedPart) bool { return now.Sub(c.lastCrash) > quarantineLifetime })
	for len(t.quarantined) > maxQuarantined {
		delete(t.quarantined, t.oldestQuarantined())
	}
}

// counts reports whether one of the parts has not succeeded since a crash.
func (t *Tracker) counts(c crash) bool {
	return slices.ContainsFunc(c.parts, func(part Part) bool { return c.at.After(t.successes.last(part)) })
}

func (t *Tracker) oldestQuarantined() Part {
	return slices.MinFunc(slices.Collect(maps.Keys(t.quarantined)), func(a, b Part) int {
		return t.quarantined[a].lastCrash.Compare(t.quarantined[b].lastCrash)
	})
}

// Quarantined returns the quarantined parts in ascending order.
func (t *Tracker) Quarantined() []Part {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.quarantined))
}
