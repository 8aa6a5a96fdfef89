package quarantine

import (
	"slices"
	"time"
)

// Evidence is what a host tells the others. Times are ages, since hosts' clocks
// differ.
type Evidence struct {
	_           struct{} `cbor:",toarray"`
	Crashes     []CrashReport
	Quarantined []PartReport
	Successes   []SuccessReport
}

// CrashReport describes a request that an endpoint was beginning to respond to
// when it ended.
type CrashReport struct {
	_ struct{} `cbor:",toarray"`
	// ID identifies the observation, Endpoint the endpoint's incarnation.
	ID, Endpoint uint64
	AgeMillis    int64
	Parts        []Part
}

// PartReport describes a quarantined part. AgeMillis is the age of its last
// crash.
type PartReport struct {
	_            struct{} `cbor:",toarray"`
	Part         Part
	AgeMillis    int64
	FailedProbes int
}

// SuccessReport is the age of a part's last success.
type SuccessReport struct {
	_         struct{} `cbor:",toarray"`
	Part      Part
	AgeMillis int64
}

const (
	// maxReports bounds the reports of each type in a message.
	maxReports = 24
	// newsDuration is how long news is repeated in every message.
	newsDuration = 2 * time.Second
	// maxReportDelay is how long before a crash a success still clears a part: hosts learn of it
	// late, and by then crashes seem later than they were. A part that crashes each
	// endpoint has none.
	maxReportDelay = time.Second
	// newsMargin is how long before that a crash may lie that has just become known.
	newsMargin = 2 * time.Second
)

// HasNews reports whether something was learned lately that others may not know.
func (t *Tracker) HasNews(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.changedAt) < newsDuration
}

// Evidence returns what this host has recorded, or nil if there was no crash. Unless
// isFull is set, it omits crashes that are not recent. If there is more than fits a
// message, the newest crashes are included.
func (t *Tracker) Evidence(now time.Time, isFull bool) *Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.crashes) == 0 && len(t.quarantined) == 0 && len(t.released) == 0 {
		return nil
	}
	e := &Evidence{Quarantined: t.partReports(now)}
	if excess := len(e.Quarantined) - maxReports; excess > 0 {
		e.Quarantined = e.Quarantined[excess:]
	}
	parts := slices.Clone(t.released)
	for _, c := range slices.Backward(t.crashes) {
		if len(e.Crashes) == maxReports {
			break
		}
		if !isFull && now.Sub(c.at) > newsDuration+newsMargin {
			continue
		}
		parts = append(parts, c.parts...)
		if t.counts(c) {
			e.Crashes = append(e.Crashes, CrashReport{ID: c.id, Endpoint: c.endpoint, AgeMillis: age(c.at, now), Parts: c.parts})
		}
	}
	slices.Sort(parts)
	for _, part := range slices.Compact(parts) {
		if at := t.successes.last(part); !at.IsZero() && len(e.Successes) < maxReports {
			e.Successes = append(e.Successes, SuccessReport{Part: part, AgeMillis: age(at, now)})
		}
	}
	return e
}

// Reports returns all quarantined parts, those with the oldest crashes first.
func (t *Tracker) Reports(now time.Time) []PartReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.partReports(now)
}

func (t *Tracker) partReports(now time.Time) []PartReport {
	var reports []PartReport
	for part, c := range t.quarantined {
		reports = append(reports, PartReport{Part: part, AgeMillis: age(c.lastCrash, now), FailedProbes: c.failedProbes})
	}
	slices.SortFunc(reports, func(a, b PartReport) int { return int(b.AgeMillis - a.AgeMillis) })
	return reports
}

func age(at, now time.Time) int64 { return now.Sub(at).Milliseconds() }

// timeOf returns the time of a reported age.
func timeOf(ageMillis int64, now time.Time) time.Time {
	return now.Add(-time.Duration(max(ageMillis, 0)) * time.Millisecond)
}

// Merge adds another host's evidence. It returns the parts that are quarantined
// or released by it.
func (t *Tracker) Merge(e *Evidence, now time.Time) (newlyQuarantined, released []Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, report := range e.Successes {
		at := timeOf(report.AgeMillis, now)
		t.successes.record(report.Part, at)
		if c := t.quarantined[report.Part]; c != nil && at.Add(maxReportDelay).After(c.lastCrash) {
			t.release(report.Part)
			released = append(released, report.Part)
		}
	}
	for _, report := range e.Quarantined {
		lastCrash := timeOf(report.AgeMillis, now)
		known := t.quarantined[report.Part]
		switch {
		case t.successes.last(report.Part).Add(maxReportDelay).After(lastCrash):
		case known == nil:
			t.quarantined[report.Part] = &quarantinedPart{lastCrash: lastCrash, failedProbes: report.FailedProbes}
			newlyQuarantined = append(newlyQuarantined, report.Part)
			t.changedAt = now
		default:
			known.failedProbes = max(known.failedProbes, report.FailedProbes)
			if lastCrash.After(known.lastCrash) {
				known.lastCrash = lastCrash
			}
		}
	}
	isNew := false
	for _, report := range e.Crashes {
		if len(report.Parts) > 0 && len(report.Parts) <= maxCrashParts {
			isNew = t.add(crash{id: report.ID, endpoint: report.Endpoint, at: timeOf(report.AgeMillis, now), parts: report.Parts}) || isNew
		}
	}
	if isNew {
		newlyQuarantined = append(newlyQuarantined, t.evaluate(now)...)
	}
	return newlyQuarantined, released
}

// maxCrashParts bounds the parts of a reported request.
const maxCrashParts = 64
