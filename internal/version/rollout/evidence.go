package rollout

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/process/identity"
)

// ErrFull is returned for a report that would exceed the bounds of the
// evidence.
var ErrFull = eris.New("evidence is full")

// Bounds of the evidence of one move.
const (
	// recentWindows is the number of windows for which separate counts are
	// kept.
	recentWindows = 32
	maxHosts      = 64
	maxRoutes     = 64
)

// Arm identifies one version of a move on one route.
type Arm struct {
	// New distinguishes the new version from the old one.
	New   bool   `cbor:"1,keyasint"`
	Route string `cbor:"2,keyasint"`
}

// Report holds a host's readings of its counters of one arm. The counters
// start at zero with the host incarnation and never decrease.
type Report struct {
	Host identity.Incarnation `cbor:"1,keyasint"`
	Arm  Arm                  `cbor:"2,keyasint"`
	// Window is the number of the window in which the counters were read.
	Window uint64 `cbor:"3,keyasint"`
	Counts Counts `cbor:"4,keyasint"`
	// FirstToken and PerToken hold the slowdowns. They are nil if they were
	// not sent.
	FirstToken *Histogram `cbor:"5,keyasint,omitempty"`
	PerToken   *Histogram `cbor:"6,keyasint,omitempty"`
}

// reading holds the last counter values read in a window.
type reading struct {
	window uint64
	counts Counts
}

// counterSeries holds the known readings of one host's counters of one arm.
type counterSeries struct {
	// readings holds the newest readings by ascending window, one per window.
	readings             []reading
	firstToken, perToken Histogram
}

// Evidence holds the observations of one move from all hosts. Merging reports
// is commutative, associative and idempotent as long as the evidence is not
// full. It is not safe for concurrent use.
type Evidence struct {
	series map[Arm]map[identity.Incarnation]*counterSeries
	hosts  map[identity.Incarnation]bool
	routes []string
}

// NewEvidence returns empty evidence.
func NewEvidence() *Evidence {
	return &Evidence{
		series: map[Arm]map[identity.Incarnation]*counterSeries{},
		hosts:  map[identity.Incarnation]bool{},
	}
}

// Merge adds a report to the evidence. It returns ErrFull if the report would
// exceed the bounds.
func (e *Evidence) Merge(report Report) error {
	series := e.series[report.Arm][report.Host]
	if series == nil {
		if err := e.addSeries(report); err != nil {
			return err
		}
		series = e.series[report.Arm][report.Host]
	}
	series.merge(reading{window: report.Window, counts: report.Counts})
	if report.FirstToken != nil {
		series.firstToken.merge(report.FirstToken)
	}
	if report.PerToken != nil {
		series.perToken.merge(report.PerToken)
	}
	return nil
}

// addSeries adds an empty series for the host and arm of a report.
func (e *Evidence) addSeries(report Report) error {
	index, found := slices.BinarySearch(e.routes, report.Arm.Route)
	if !found && len(e.routes) >= maxRoutes {
		return eris.Wrapf(ErrFull, "route %q", report.Arm.Route)
	}
	if !e.hosts[report.Host] && len(e.hosts) >= maxHosts {
		return eris.Wrapf(ErrFull, "host %v", report.Host)
	}
	if !found {
		e.routes = slices.Insert(e.routes, index, strings.Clone(report.Arm.Route))
	}
	e.hosts[report.Host] = true
	if e.series[report.Arm] == nil {
		e.series[report.Arm] = map[identity.Incarnation]*counterSeries{}
	}
	e.series[report.Arm][report.Host] = &counterSeries{}
	return nil
}

// Routes returns the observed routes in ascending order.
func (e *Evidence) Routes() []string { return e.routes }

// Total returns the counts of an arm over the whole move, summed over all
// hosts.
func (e *Evidence) Total(arm Arm) Counts {
	sum := Counts{}
	for _, series := range e.series[arm] {
		sum = sum.plus(series.latest())
	}
	return sum
}

// CountsAfter returns the counts of an arm after the end of a window, summed
// over all hosts. Counts from windows that are no longer kept are left out.
func (e *Evidence) CountsAfter(arm Arm, window uint64) Counts {
	sum := Counts{}
	for _, series := range e.series[arm] {
		sum = sum.plus(series.latest().minus(series.countsAt(window)))
	}
	return sum
}

// latest returns the newest reading of one host's counters of an arm.
func (e *Evidence) latest(arm Arm, host identity.Incarnation) Counts {
	if series := e.series[arm][host]; series != nil {
		return series.latest()
	}
	return Counts{}
}

// FirstToken returns the histogram of an arm's slowdowns of the first token.
func (e *Evidence) FirstToken(arm Arm) *Histogram {
	return e.histogram(arm, func(s *counterSeries) *Histogram { return &s.firstToken })
}

// PerToken returns the histogram of an arm's slowdowns per token after the
// first.
func (e *Evidence) PerToken(arm Arm) *Histogram {
	return e.histogram(arm, func(s *counterSeries) *Histogram { return &s.perToken })
}

func (e *Evidence) histogram(arm Arm, field func(*counterSeries) *Histogram) *Histogram {
	sum := &Histogram{}
	for _, series := range e.series[arm] {
		sum.add(field(series))
	}
	return sum
}

// merge adds a reading and drops the oldest one if there are too many.
func (s *counterSeries) merge(added reading) {
	index, found := slices.BinarySearchFunc(s.readings, added.window, func(r reading, window uint64) int {
		return compareWindows(r.window, window)
	})
	if found {
		s.readings[index].counts = s.readings[index].counts.merge(added.counts)
		return
	}
	s.readings = slices.Insert(s.readings, index, added)
	if len(s.readings) > recentWindows+1 {
		s.readings = slices.Delete(s.readings, 0, 1)
	}
}

// latest returns the counts of the newest reading.
func (s *counterSeries) latest() Counts {
	if len(s.readings) == 0 {
		return Counts{}
	}
	return s.readings[len(s.readings)-1].counts
}

// countsAt returns the counts at the end of a window, or the oldest ones if
// earlier readings were dropped.
func (s *counterSeries) countsAt(window uint64) Counts {
	for index := len(s.readings) - 1; index >= 0; index-- {
		if s.readings[index].window <= window {
			return s.readings[index].counts
		}
	}
	if len(s.readings) > recentWindows {
		return s.readings[0].counts
	}
	return Counts{}
}

func compareWindows(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
