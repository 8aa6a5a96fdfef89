package slot

import (
	"slices"
	"time"

	"mustarddoor/internal/request/tier"
)

const (
	// MaxHolders bounds the holders of one endpoint.
	MaxHolders = 64
	// maxOutstanding bounds the grants that are remembered for each holder
	// until it acknowledges them.
	maxOutstanding = 8
	// sampleLife is how long a load report is of use; holders' reports look
	// back further.
	sampleLife = LeastWindow - time.Second
)

// outstanding is a grant that its holder may not have seen.
type outstanding struct {
	number uint64
	slots  int
	unused int
	idle   int
	floor  tier.Tier
}

// account is what a ledger knows of one holder.
type account struct {
	report Report
	// grants are those after the last acknowledged one, with it first.
	grants []outstanding
	lapse  time.Time
	// lapsed tells that the holder can start nothing any more. What it may
	// have started counts until the endpoint's load shows that it is gone.
	lapsed bool
	orphan int
}

// acknowledge forgets the grants before the one that the holder has applied.
func (a *account) acknowledge(number uint64) {
	a.grants = slices.DeleteFunc(a.grants, func(g outstanding) bool { return g.number < number })
}

// expire marks the holder as unable to start anything.
func (a *account) expire(now time.Time) {
	if a.lapsed {
		return
	}
	a.orphan = a.bound()
	a.lapsed = true
	a.lapse = now
}

// bound is the most slots that the holder may use now or later.
func (a *account) bound() int {
	if a.lapsed {
		return a.orphan
	}
	bound := a.report.Allowed
	for _, g := range a.grants {
		if g.number > a.report.Grant {
			bound = max(bound, g.slots)
		}
	}
	return bound
}

// idle is how many unused slots the holder may keep when requests end.
func (a *account) idle() int {
	idle := 0
	for _, g := range a.grants {
		idle = max(idle, g.idle)
	}
	return idle
}

// unused is the most slots that the holder may have unused, now or later.
func (a *account) unused() int {
	unused := max(a.report.Allowed-a.report.Used.Sum(), a.idle())
	for _, g := range a.grants {
		if g.number > a.report.Grant {
			unused = max(unused, g.unused)
		}
	}
	return unused
}

// mayStart tells whether the holder may start a request of a lower tier than t
// without a further grant.
func (a *account) mayStart(t tier.Tier) bool {
	if a.lapsed {
		return false
	}
	floor := tier.Tier(0)
	for _, g := range a.grants {
		floor = max(floor, g.floor)
	}
	return floor > t && (a.idle() > 0 || a.bound() > a.report.Used.Sum())
}

// changes tells whether a holder must hear of its standing.
func (a *account) changes(target int, floor tier.Tier) bool {
	if len(a.grants) == 0 {
		return true
	}
	last := a.grants[len(a.grants)-1]
	if target != a.bound() {
		return last.slots != target
	}
	return last.floor > floor && a.mayStart(floor)
}

// remember adds a grant; when there are too many, the oldest two become one
// that covers both.
func (a *account) remember(g outstanding) {
	a.grants = append(a.grants, g)
	if len(a.grants) <= maxOutstanding {
		return
	}
	a.grants[1].slots = max(a.grants[0].slots, a.grants[1].slots)
	a.grants[1].unused = max(a.grants[0].unused, a.grants[1].unused)
	a.grants[1].idle = max(a.grants[0].idle, a.grants[1].idle)
	a.grants[1].floor = max(a.grants[0].floor, a.grants[1].floor)
	a.grants = slices.Delete(a.grants, 0, 1)
}
