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

// maxScanDepth is how many requests of one team are offered for one slot.
const maxScanDepth = 16

// Item is a request that waits.
type Item struct {
	Tier tier.Tier
	Team string
	// Cost is what the team is charged when the item is taken.
	Cost float64
	// Bytes is the memory that the item holds.
	Bytes int
	// EnqueuedAt is when the item began to wait.
	EnqueuedAt time.Time
	// Deadline is when the first token is due; zero means never.
	Deadline time.Time
	// Value is the owner's.
	Value any

	element  *list.Element
	subqueue *subqueue
}

// TeamConfig limits what a team may have waiting; zero fields mean no limit.
type TeamConfig struct {
	Weight      int
	MaxRequests int
	MaxBytes    int
}

// team is what one team has waiting.
type team struct {
	config    TeamConfig
	requests  int
	bytes     int
	subqueues [tier.Max]*subqueue
}

// subqueue is one team's part of one tier.
type subqueue struct {
	team  *team
	items list.List
	// startTag is the startTag time at which the lane's next item starts.
	startTag float64
	// lastScan is the number of the last lastScan that tried the lane.
	lastScan uint64
}

// Queue holds waiting requests. The zero value is not usable; see New.
type Queue struct {
	teams          map[string]*team
	defaultConfig  TeamConfig
	subqueues      [tier.Max][]*subqueue
	virtualTime    [tier.Max]float64
	counts         tier.Counts
	scans          uint64
	fairnessWindow float64
}

// New returns an empty queue. Teams without a bound of their own share other.
// A team may get ahead of others by the window, a cost for a weight of 1.
func New(defaultConfig TeamConfig, fairnessWindow float64) *Queue {
	return &Queue{teams: map[string]*team{}, defaultConfig: defaultConfig, fairnessWindow: fairnessWindow}
}

// SetTeamConfig sets a team's weight and limits. What waits already stays.
func (q *Queue) SetTeamConfig(name string, config TeamConfig) {
	q.teamFor(name).config = config
}

func (q *Queue) teamFor(name string) *team {
	t := q.teams[name]
	if t == nil {
		t = &team{config: q.defaultConfig}
		q.teams[name] = t
	}
	return t
}

// teamKey maps teams without a bound to one shared name.
func (q *Queue) teamKey(name string) string {
	if _, found := q.teams[name]; found {
		return name
	}
	return ""
}

// Push adds an item. If the team's limits leave no room, less urgent items of
// the same team make room, latest first; they are returned. Push fails with
// ErrTeamFull, and changes nothing, if that is not enough.
func (q *Queue) Push(item *Item) ([]*Item, error) {
	item.Team = q.teamKey(item.Team)
	t := q.teamFor(item.Team)
	evicted, fits := t.selectEvictions(item)
	if !fits {
		return nil, ErrTeamFull
	}
	for _, old := range evicted {
		q.Remove(old)
	}
	s := q.subqueueFor(t, item.Tier)
	if s.items.Len() == 0 {
		s.startTag = max(s.startTag, q.virtualTime[item.Tier])
	}
	item.subqueue = s
	item.element = s.items.PushBack(item)
	t.requests++
	t.bytes += item.Bytes
	q.counts[item.Tier]++
	return evicted, nil
}

// selectEvictions picks the items that must go for a new one to fit.
func (t *team) selectEvictions(item *Item) (evicted []*Item, fits bool) {
	requests, bytes := t.requests+1, t.bytes+item.Bytes
	for below := tier.Lowest; below > item.Tier; below-- {
		s := t.subqueues[below]
		if s == nil {
			continue
		}
		for e := s.items.Back(); e != nil; e = e.Prev() {
			if t.config.allows(requests, bytes) {
				return evicted, true
			}
			old := e.Value.(*Item)
			evicted = append(evicted, old)
			requests--
			bytes -= old.Bytes
		}
	}
	return evicted, t.config.allows(requests, bytes)
}

func (b TeamConfig) allows(requests, bytes int) bool {
	if b.MaxRequests > 0 && requests > b.MaxRequests {
		return false
	}
	return b.MaxBytes <= 0 || bytes <= b.MaxBytes
}

func (q *Queue) subqueueFor(t *team, at tier.Tier) *subqueue {
	if t.subqueues[at] == nil {
		t.subqueues[at] = &subqueue{team: t}
		q.subqueues[at] = append(q.subqueues[at], t.subqueues[at])
	}
	return t.subqueues[at]
}

// Remove takes an item out without charging its team. It returns false if the
// item does not wait.
func (q *Queue) Remove(item *Item) bool {
	if item.subqueue == nil {
		return false
	}
	item.subqueue.items.Remove(item.element)
	item.subqueue.team.requests--
	item.subqueue.team.bytes -= item.Bytes
	q.counts[item.Tier]--
	item.subqueue, item.element = nil, nil
	return true
}

// Serve removes an item that is served and charges its team.
func (q *Queue) Serve(item *Item) bool {
	s := item.subqueue
	if s == nil {
		return false
	}
	q.virtualTime[item.Tier] = max(q.virtualTime[item.Tier], s.startTag-q.fairnessWindow)
	s.startTag += item.Cost / float64(max(s.team.config.Weight, 1))
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
	for s := q.nextSubqueue(at); s != nil; s = q.nextSubqueue(at) {
		if best != nil && s.startTag > limit {
			break
		}
		s.lastScan = q.scans
		item, r := s.best(rate)
		if item == nil || best != nil && r <= bestRate {
			continue
		}
		if best == nil {
			limit = s.startTag + q.fairnessWindow
		}
		best, bestRate = item, r
	}
	return best
}

// nextSubqueue returns the lane with the least virtual time that has items and was
// not tried in this scan, or nil.
func (q *Queue) nextSubqueue(at tier.Tier) *subqueue {
	var next *subqueue
	for _, s := range q.subqueues[at] {
		if s.items.Len() == 0 || s.lastScan == q.scans {
			continue
		}
		if next == nil || s.startTag < next.startTag {
			next = s
		}
	}
	return next
}

func (s *subqueue) best(rate func(*Item) float64) (*Item, float64) {
	var best *Item
	bestRate := 0.0
	depth := 0
	for e := s.items.Front(); e != nil && depth < maxScanDepth; e = e.Next() {
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
	for _, s := range q.subqueues[at] {
		for e := s.items.Front(); e != nil; {
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
	for _, s := range q.subqueues[at] {
		front := s.items.Front()
		if front == nil {
			continue
		}
		since := front.Value.(*Item).EnqueuedAt
		if oldest.IsZero() || since.Before(oldest) {
			oldest = since
		}
	}
	return oldest
}
