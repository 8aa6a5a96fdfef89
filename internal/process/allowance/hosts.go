package allowance

import "time"

// Hosts tracks the other hosts that share the limits and when they last reported their
// usage. All TeamLimits of a process have the same one.
type Hosts struct {
	startedAt time.Time
	sharers   []*sharer
	byName    map[string]*sharer
}

// Sharer is how another host exchanges its usage with this one.
type Sharer struct {
	// MaxSilence is the time without a report after which the two hosts count as cut
	// off from each other; 0 if the other one is unreachable.
	MaxSilence time.Duration
	// IsRelayed is set if the reports go through relays, so that a report is no sign of
	// the path between the two hosts.
	IsRelayed bool
}

// sharer is another host that shares the limits.
type sharer struct {
	Sharer
	name string
	// heardAt is when its last message arrived, reportedAt when the last one with its
	// usage did. Relays leave the usage out of most messages.
	heardAt, reportedAt time.Time
}

// NewHosts returns the view of a host that started at a time and knows no other.
func NewHosts(startedAt time.Time) *Hosts {
	return &Hosts{startedAt: startedAt, byName: map[string]*sharer{}}
}

// Set sets the other hosts that share the limits.
func (h *Hosts) Set(others map[string]Sharer) {
	h.sharers = h.sharers[:0]
	for name := range h.byName {
		if _, found := others[name]; !found {
			delete(h.byName, name)
		}
	}
	for name, other := range others {
		s := h.sharer(name)
		s.Sharer = other
		h.sharers = append(h.sharers, s)
	}
}

func (h *Hosts) sharer(name string) *sharer {
	s := h.byName[name]
	if s == nil {
		s = &sharer{name: name}
		h.byName[name] = s
	}
	return s
}

// firstReportGrace is the time after a host's start in which it expects the first
// reports of the others.
const firstReportGrace = 5 * time.Second

// RecordReport records that a host reported its usage. includesEarlier is set if the
// report may include usage from before this host's start, which this host assumes
// already.
func (h *Hosts) RecordReport(host string, now time.Time) (includesEarlier bool) {
	s := h.sharer(host)
	includesEarlier = s.reportedAt.IsZero() && (s.IsRelayed || now.Sub(h.startedAt) < firstReportGrace)
	s.heardAt, s.reportedAt = now, now
	return includesEarlier
}

// RecordMessage records that a message without usage arrived from a host.
func (h *Hosts) RecordMessage(host string, now time.Time) { h.sharer(host).heardAt = now }

// count returns the number of hosts that share the limits, this one included.
func (h *Hosts) count() int { return len(h.sharers) + 1 }

// pathDelay is how long a report may take on a path that works.
const pathDelay = 20 * time.Millisecond

// exchange returns among how many hosts the remainder of a limit is divided until they
// know each other's usage, this one included, and up to when this host's reports have
// reached those that it exchanges them with directly: paths between hosts fail in both
// directions. Hosts that report through relays serve few callers and count as one.
func (h *Hosts) exchange(now time.Time) (parts int, confirmedUpTo time.Time) {
	direct, relayed := 0, 0
	confirmedUpTo = now
	for _, s := range h.sharers {
		switch {
		case s.isCutOff(now):
		case s.IsRelayed:
			relayed++
		default:
			direct++
			if upTo := s.heardAt.Add(-pathDelay); upTo.Before(confirmedUpTo) {
				confirmedUpTo = upTo
			}
		}
	}
	if direct > 0 {
		relayed = min(relayed, 1)
	}
	return 1 + direct + relayed, confirmedUpTo
}

// isCutOff reports whether a host may not receive this host's reports.
func (s *sharer) isCutOff(now time.Time) bool {
	return s.MaxSilence == 0 || s.heardAt.IsZero() || now.Sub(s.heardAt) > s.MaxSilence
}
