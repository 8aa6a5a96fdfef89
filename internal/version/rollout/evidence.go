package rollout

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/process/identity"
)

// ErrFull is returned for a cell that would exceed the bounds of the evidence.
var ErrFull = eris.New("evidence is full")

// Bounds of the evidence of one move.
const (
	// recentWindows is how many windows back counts can be told apart.
	recentWindows = 32
	maxHosts      = 64
	maxRoutes     = 64
)

// Arm is one side of a move on one route.
type Arm struct {
	// New tells the new version from the old one.
	New   bool   `cbor:"1,keyasint"`
	Route string `cbor:"2,keyasint"`
}

// Report is a host's reading of its counters of one arm. Counters start at zero
// with the host incarnation and only grow.
type Report struct {
	Host identity.Incarnation `cbor:"1,keyasint"`
	Arm  Arm                  `cbor:"2,keyasint"`
	// Window is the number of the window in which the counters were read.
	Window uint64 `cbor:"3,keyasint"`
	Counts Counts `cbor:"4,keyasint"`
	// FirstToken and PerToken hold the paces; nil if they were not sent.
	FirstToken *Histogram `cbor:"5,keyasint,omitempty"`
	PerToken   *Histogram `cbor:"6,keyasint,omitempty"`
}

// reading is the counters at the last reading in a window.
type reading struct {
	window uint64
	counts Counts
}

// counterSeries is what is known of one host's counters of one arm.
type counterSeries struct {
	// readings are the newest ones, by ascending window, one a window.
	readings             []reading
	firstToken, perToken Histogram
}

// Evidence is what all hosts have observed of one move. It is a join: merging
// cells in any order, and more than once, gives the same evidence, as long as
// it is not full. It is not safe for concurrent use.
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

// Merge takes a cell in. It fails with ErrFull.
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

// addSeries adds the track of a cell.
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

// Routes are the routes that were observed, in order.
func (e *Evidence) Routes() []string { return e.routes }

// Total is what all hosts counted of an arm.
func (e *Evidence) Total(arm Arm) Counts {
	sum := Counts{}
	for _, series := range e.series[arm] {
		sum = sum.plus(series.latest())
	}
	return sum
}

// CountsAfter is what all hosts counted of an arm after the end of a window. Windows
// further back than the evidence reaches are cut off.
func (e *Evidence) CountsAfter(arm Arm, window uint64) Counts {
	sum := Counts{}
	for _, series := range e.series[arm] {
		sum = sum.plus(series.latest().minus(series.countsAt(window)))
	}
	return sum
}

// latest is the newest reading of one host's counters of an arm.
func (e *Evidence) latest(arm Arm, host identity.Incarnation) Counts {
	if series := e.series[arm][host]; series != nil {
		return series.latest()
	}
	return Counts{}
}

// FirstToken is the histogram of an arm's paces to the first token.
func (e *Evidence) FirstToken(arm Arm) *Histogram {
	return e.histogram(arm, func(s *counterSeries) *Histogram { return &s.firstToken })
}

// PerToken is the histogram of an arm's paces for each token after the first.
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

// merge takes a reading in and keeps the newest ones.
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

// latest is the newest reading.
func (s *counterSeries) latest() Counts {
	if len(s.readings) == 0 {
		return Counts{}
	}
	return s.readings[len(s.readings)-1].counts
}

// countsAt is the reading countsAt the end of a window, or the oldest one if older ones
// were dropped.
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
