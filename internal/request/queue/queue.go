// Package queue holds the requests that wait for a slot.
//
// Tiers are strictly ordered. Within a tier, teams share by weight: start-time
// fair queueing on the cost of what was taken. Within a team, requests go in
// the order of their arrival. What a team has waiting is bounded by count and
// bytes. The queue is a plain data structure: it is not safe for concurrent
// use and knows no clock.
package queue

import (
	"container/list"
	"time"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/request/tier"
)

// ErrTeamFull is returned when a team has too much waiting.
var ErrTeamFull = eris.New("team has too much waiting")

// scanDepth is how many requests of one team are offered for one slot.
const scanDepth = 16

// Item is a request that waits.
type Item struct {
	Tier tier.Tier
	Team string
	// Cost is what the team is charged when the item is taken.
	Cost float64
	// Bytes is the memory that the item holds.
	Bytes int
	// Since is when the item began to wait.
	Since time.Time
	// Deadline is when the first token is due; zero means never.
	Deadline time.Time
	// Value is the owner's.
	Value any

	element *list.Element
	lane    *lane
}

// Bound limits what a team may have waiting; zero fields mean no limit.
type Bound struct {
	Weight   int
	Requests int
	Bytes    int
}

// team is what one team has waiting.
type team struct {
	bound    Bound
	requests int
	bytes    int
	lanes    [tier.Max]*lane
}

// lane is one team's part of one tier.
type lane struct {
	team  *team
	items list.List
	// virtual is the virtual time at which the lane's next item starts.
	virtual float64
	// scan is the number of the last scan that tried the lane.
	scan uint64
}

// Queue holds waiting requests. The zero value is not usable; see New.
type Queue struct {
	teams  map[string]*team
	other  Bound
	lanes  [tier.Max][]*lane
	clock  [tier.Max]float64
	counts tier.Counts
	scans  uint64
	window float64
}

// New returns an empty queue. Teams without a bound of their own share other.
// A team may get ahead of others by the window, a cost for a weight of 1.
func New(other Bound, window float64) *Queue {
	return &Queue{teams: map[string]*team{}, other: other, window: window}
}

// SetBound sets a team's weight and limits. What waits already stays.
func (q *Queue) SetBound(name string, bound Bound) {
	q.team(name).bound = bound
}

func (q *Queue) team(name string) *team {
	t := q.teams[name]
	if t == nil {
		t = &team{bound: q.other}
		q.teams[name] = t
	}
	return t
}

// known maps teams without a bound to one shared name.
func (q *Queue) known(name string) string {
	if _, found := q.teams[name]; found {
		return name
	}
	return ""
}

// Push adds an item. If the team's limits leave no room, less urgent items of
// the same team make room, latest first; they are returned. Push fails with
// ErrTeamFull, and changes nothing, if that is not enough.
func (q *Queue) Push(item *Item) ([]*Item, error) {
	item.Team = q.known(item.Team)
	t := q.team(item.Team)
	evicted, fits := t.makeRoom(item)
	if !fits {
		return nil, ErrTeamFull
	}
	for _, old := range evicted {
		q.Remove(old)
	}
	l := q.lane(t, item.Tier)
	if l.items.Len() == 0 {
		l.virtual = max(l.virtual, q.clock[item.Tier])
	}
	item.lane = l
	item.element = l.items.PushBack(item)
	t.requests++
	t.bytes += item.Bytes
	q.counts[item.Tier]++
	return evicted, nil
}

// makeRoom picks the items that must go for a new one to fit.
func (t *team) makeRoom(item *Item) (evicted []*Item, fits bool) {
	requests, bytes := t.requests+1, t.bytes+item.Bytes
	for below := tier.Lowest; below > item.Tier; below-- {
		l := t.lanes[below]
		if l == nil {
			continue
		}
		for e := l.items.Back(); e != nil; e = e.Prev() {
			if t.bound.holds(requests, bytes) {
				return evicted, true
			}
			old := e.Value.(*Item)
			evicted = append(evicted, old)
			requests--
			bytes -= old.Bytes
		}
	}
	return evicted, t.bound.holds(requests, bytes)
}

func (b Bound) holds(requests, bytes int) bool {
	if b.Requests > 0 && requests > b.Requests {
		return false
	}
	return b.Bytes <= 0 || bytes <= b.Bytes
}

func (q *Queue) lane(t *team, at tier.Tier) *lane {
	if t.lanes[at] == nil {
		t.lanes[at] = &lane{team: t}
		q.lanes[at] = append(q.lanes[at], t.lanes[at])
	}
	return t.lanes[at]
}

// Remove takes an item out without charging its team. It returns false if the
// item does not wait.
func (q *Queue) Remove(item *Item) bool {
	if item.lane == nil {
		return false
	}
	item.lane.items.Remove(item.element)
	item.lane.team.requests--
	item.lane.team.bytes -= item.Bytes
	q.counts[item.Tier]--
	item.lane, item.element = nil, nil
	return true
}

// Take removes an item that is served and charges its team.
func (q *Queue) Take(item *Item) bool {
	l := item.lane
	if l == nil {
		return false
	}
	q.clock[item.Tier] = max(q.clock[item.Tier], l.virtual-q.window)
	l.virtual += item.Cost / float64(max(l.team.bound.Weight, 1))
	return q.Remove(item)
}

// Best offers the waiting items of one tier to rate and returns the one with the
// highest rating, the first of equals. Items with a rating below zero are
// passed over. Teams come in fair order: one that is more than the window ahead
// is offered only if nothing of the others can be taken. Only the first few
// items of each team are offered.
func (q *Queue) Best(at tier.Tier, rate func(*Item) float64) *Item {
	q.scans++
	var best *Item
	bestRate, limit := 0.0, 0.0
	for l := q.nextLane(at); l != nil; l = q.nextLane(at) {
		if best != nil && l.virtual > limit {
			break
		}
		l.scan = q.scans
		item, r := l.best(rate)
		if item == nil || best != nil && r <= bestRate {
			continue
		}
		if best == nil {
			limit = l.virtual + q.window
		}
		best, bestRate = item, r
	}
	return best
}

// nextLane returns the lane with the least virtual time that has items and was
// not tried in this scan, or nil.
func (q *Queue) nextLane(at tier.Tier) *lane {
	var next *lane
	for _, l := range q.lanes[at] {
		if l.items.Len() == 0 || l.scan == q.scans {
			continue
		}
		if next == nil || l.virtual < next.virtual {
			next = l
		}
	}
	return next
}

func (l *lane) best(rate func(*Item) float64) (*Item, float64) {
	var best *Item
	bestRate := 0.0
	depth := 0
	for e := l.items.Front(); e != nil && depth < scanDepth; e = e.Next() {
		depth++
		item := e.Value.(*Item)
		r := rate(item)
		if r < 0 || best != nil && r <= bestRate {
			continue
		}
		best, bestRate = item, r
	}
	return best, bestRate
}

// Each calls visit for every waiting item of a tier until it returns false.
// visit may remove the item that it is given.
func (q *Queue) Each(at tier.Tier, visit func(*Item) bool) {
	for _, l := range q.lanes[at] {
		for e := l.items.Front(); e != nil; {
			next := e.Next()
			if !visit(e.Value.(*Item)) {
				return
			}
			e = next
		}
	}
}

// Counts is how many items wait, by tier.
func (q *Queue) Counts() tier.Counts { return q.counts }

// Len is how many items wait.
func (q *Queue) Len() int { return q.counts.Sum() }

// Oldest is when the item of a tier that waits longest began to wait, or zero.
func (q *Queue) Oldest(at tier.Tier) time.Time {
	var oldest time.Time
	for _, l := range q.lanes[at] {
		front := l.items.Front()
		if front == nil {
			continue
		}
		since := front.Value.(*Item).Since
		if oldest.IsZero() || since.Before(oldest) {
			oldest = since
		}
	}
	return oldest
}
