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

// Cell is a host's reading of its counters of one arm. Counters start at zero
// with the host incarnation and only grow.
type Cell struct {
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

// track is what is known of one host's counters of one arm.
type track struct {
	// readings are the newest ones, by ascending window, one a window.
	readings             []reading
	firstToken, perToken Histogram
}

// Evidence is what all hosts have observed of one move. It is a join: merging
// cells in any order, and more than once, gives the same evidence, as long as
// it is not full. It is not safe for concurrent use.
type Evidence struct {
	tracks map[Arm]map[identity.Incarnation]*track
	hosts  map[identity.Incarnation]bool
	routes []string
}

// NewEvidence returns empty evidence.
func NewEvidence() *Evidence {
	return &Evidence{
		tracks: map[Arm]map[identity.Incarnation]*track{},
		hosts:  map[identity.Incarnation]bool{},
	}
}

// Merge takes a cell in. It fails with ErrFull.
func (e *Evidence) Merge(cell Cell) error {
	known := e.tracks[cell.Arm][cell.Host]
	if known == nil {
		if err := e.admit(cell); err != nil {
			return err
		}
		known = e.tracks[cell.Arm][cell.Host]
	}
	known.merge(reading{window: cell.Window, counts: cell.Counts})
	if cell.FirstToken != nil {
		known.firstToken.merge(cell.FirstToken)
	}
	if cell.PerToken != nil {
		known.perToken.merge(cell.PerToken)
	}
	return nil
}

// admit adds the track of a cell.
func (e *Evidence) admit(cell Cell) error {
	index, known := slices.BinarySearch(e.routes, cell.Arm.Route)
	if !known && len(e.routes) >= maxRoutes {
		return eris.Wrapf(ErrFull, "route %q", cell.Arm.Route)
	}
	if !e.hosts[cell.Host] && len(e.hosts) >= maxHosts {
		return eris.Wrapf(ErrFull, "host %v", cell.Host)
	}
	if !known {
		e.routes = slices.Insert(e.routes, index, strings.Clone(cell.Arm.Route))
	}
	e.hosts[cell.Host] = true
	if e.tracks[cell.Arm] == nil {
		e.tracks[cell.Arm] = map[identity.Incarnation]*track{}
	}
	e.tracks[cell.Arm][cell.Host] = &track{}
	return nil
}

// Routes are the routes that were observed, in order.
func (e *Evidence) Routes() []string { return e.routes }

// Total is what all hosts counted of an arm.
func (e *Evidence) Total(arm Arm) Counts {
	sum := Counts{}
	for _, track := range e.tracks[arm] {
		sum = sum.plus(track.last())
	}
	return sum
}

// After is what all hosts counted of an arm after the end of a window. Windows
// further back than the evidence reaches are cut off.
func (e *Evidence) After(arm Arm, window uint64) Counts {
	sum := Counts{}
	for _, track := range e.tracks[arm] {
		sum = sum.plus(track.last().minus(track.at(window)))
	}
	return sum
}

// last is the newest reading of one host's counters of an arm.
func (e *Evidence) last(arm Arm, host identity.Incarnation) Counts {
	if known := e.tracks[arm][host]; known != nil {
		return known.last()
	}
	return Counts{}
}

// FirstToken is the histogram of an arm's paces to the first token.
func (e *Evidence) FirstToken(arm Arm) *Histogram {
	return e.histogram(arm, func(t *track) *Histogram { return &t.firstToken })
}

// PerToken is the histogram of an arm's paces for each token after the first.
func (e *Evidence) PerToken(arm Arm) *Histogram {
	return e.histogram(arm, func(t *track) *Histogram { return &t.perToken })
}

func (e *Evidence) histogram(arm Arm, of func(*track) *Histogram) *Histogram {
	sum := &Histogram{}
	for _, track := range e.tracks[arm] {
		sum.add(of(track))
	}
	return sum
}

// merge takes a reading in and keeps the newest ones.
func (t *track) merge(added reading) {
	index, found := slices.BinarySearchFunc(t.readings, added.window, func(r reading, window uint64) int {
		return compareWindows(r.window, window)
	})
	if found {
		t.readings[index].counts = t.readings[index].counts.merge(added.counts)
		return
	}
	t.readings = slices.Insert(t.readings, index, added)
	if len(t.readings) > recentWindows+1 {
		t.readings = slices.Delete(t.readings, 0, 1)
	}
}

// last is the newest reading.
func (t *track) last() Counts {
	if len(t.readings) == 0 {
		return Counts{}
	}
	return t.readings[len(t.readings)-1].counts
}

// at is the reading at the end of a window, or the oldest one if older ones
// were dropped.
func (t *track) at(window uint64) Counts {
	for index := len(t.readings) - 1; index >= 0; index-- {
		if t.readings[index].window <= window {
			return t.readings[index].counts
		}
	}
	if len(t.readings) > recentWindows {
		return t.readings[0].counts
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
