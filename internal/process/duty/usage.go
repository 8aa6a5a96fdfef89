package duty

import (
	"maps"
	"sync"
	"time"
)

// WindowCounts are the requests of one window by team.
type WindowCounts struct {
	_      struct{} `cbor:",toarray"`
	Window int64
	Counts map[string]int64
}

// WindowOf returns the number of the window of a length that a time is in.
func WindowOf(t time.Time, length time.Duration) int64 { return t.UnixNano() / int64(length) }

// windowEnd returns the end of a window.
func windowEnd(window int64, length time.Duration) time.Time {
	return time.Unix(0, (window+1)*int64(length))
}

// keptWindows returns for how many windows counts are kept: longer than until the report of
// a window is due.
func keptWindows(length, lateness time.Duration) int64 { return int64(lateness/length) + 3 }

// Counter counts the requests that begin to run at this host. It is safe for concurrent
// use.
type Counter struct {
	length, lateness time.Duration
	now              func() time.Time

	mu      sync.Mutex
	windows map[int64]map[string]int64
}

// NewCounter returns a counter for windows of a length whose reports are due some time
// after their end. now returns the time that the hosts agree on.
func NewCounter(length, lateness time.Duration, now func() time.Time) *Counter {
	return &Counter{length: length, lateness: lateness, now: now, windows: map[int64]map[string]int64{}}
}

// Add counts a request of a team that begins to run now.
func (c *Counter) Add(team string) {
	window := WindowOf(c.now(), c.length)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.windows[window] == nil {
		c.windows[window] = map[string]int64{}
	}
	c.windows[window][team]++
	// Windows may lie ahead if the clock was set back.
	maps.DeleteFunc(c.windows, func(other int64, _ map[string]int64) bool {
		return other < window-keptWindows(c.length, c.lateness) || other > window+keptWindows(c.length, c.lateness)
	})
}

// Windows returns the counts of the windows from a number on.
func (c *Counter) Windows(from int64) []WindowCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	var windows []WindowCounts
	for window, counts := range c.windows {
		if window >= from {
			windows = append(windows, WindowCounts{Window: window, Counts: maps.Clone(counts)})
		}
	}
	return windows
}

// HasRecent reports whether there are counts of a window whose report may not be due yet.
func (c *Counter) HasRecent() bool {
	from := WindowOf(c.now(), c.length) - keptWindows(c.length, c.lateness)
	c.mu.Lock()
	defer c.mu.Unlock()
	for window := range c.windows {
		if window >= from {
			return true
		}
	}
	return false
}

// Process identifies a process of a host.
type Process struct {
	Address     string
	Incarnation int64
}

// Collection joins the counts of all hosts. Counts of a process only grow, so that the
// larger one of two is the newer one.
type Collection struct {
	length time.Duration
	// retention is how long windows are kept after their end, and processes after their
	// last answer.
	retention time.Duration
	windows   map[int64]map[Process]map[string]int64
	// seenUntil is the agreed time up to which a process's counts are known.
	seenUntil map[Process]time.Time
}

// NewCollection returns an empty collection of windows of a length whose reports are due
// some time after their end.
func NewCollection(length, lateness time.Duration) *Collection {
	return &Collection{length: length, retention: 2 * (length + lateness), windows: map[int64]map[Process]map[string]int64{}, seenUntil: map[Process]time.Time{}}
}

// Merge adds the counts of a process, which are complete up to a time.
func (c *Collection) Merge(process Process, windows []WindowCounts, until time.Time) {
	for _, reported := range windows {
		processes := c.windows[reported.Window]
		if processes == nil {
			processes = map[Process]map[string]int64{}
			c.windows[reported.Window] = processes
		}
		if processes[process] == nil {
			processes[process] = map[string]int64{}
		}
		for team, count := range reported.Counts {
			processes[process][team] = max(processes[process][team], count)
		}
	}
	if until.After(c.seenUntil[process]) {
		c.seenUntil[process] = until
	}
}

// Total returns the counts of all processes in a window by team.
func (c *Collection) Total(window int64) map[string]int64 {
	total := map[string]int64{}
	for _, counts := range c.windows[window] {
		for team, count := range counts {
			total[team] += count
		}
	}
	return total
}

// Expect makes the collection wait for the counts of a process.
func (c *Collection) Expect(process Process, now time.Time) {
	if _, isKnown := c.seenUntil[process]; !isKnown {
		c.seenUntil[process] = now.Add(-c.retention / 2)
	}
}

// Knows reports whether the process at an address has been merged or is expected.
func (c *Collection) Knows(process Process) bool {
	_, isKnown := c.seenUntil[process]
	return isKnown
}

// IsComplete reports whether the counts of all known processes are known up to a time. A
// process that was replaced by another one of its host has ended.
func (c *Collection) IsComplete(until time.Time) bool {
	newest := map[string]int64{}
	for process := range c.seenUntil {
		newest[process.Address] = max(newest[process.Address], process.Incarnation)
	}
	for process, seen := range c.seenUntil {
		if seen.Before(until) && process.Incarnation == newest[process.Address] {
			return false
		}
	}
	return len(c.seenUntil) > 0
}

// Expire drops windows and processes whose counts were last received longer ago than the
// retention.
func (c *Collection) Expire(now time.Time) {
	oldest := now.Add(-c.retention)
	maps.DeleteFunc(c.windows, func(window int64, _ map[Process]map[string]int64) bool {
		return windowEnd(window, c.length).Before(oldest)
	})
	maps.DeleteFunc(c.seenUntil, func(_ Process, seen time.Time) bool { return seen.Before(oldest) })
}
