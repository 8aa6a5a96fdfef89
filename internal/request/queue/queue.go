// Package queue holds the requests that wait for a slot.
//
// Tiers have strict priority. Within a tier, teams share by weight, using
// start-time fair queueing on the cost of the served items. Within a team,
// requests are served in order of arrival. The count and the bytes of a team's
// waiting requests are bounded. The queue is a plain data structure: it is not
// safe for concurrent use and reads no clock.
package queue

import (
	"container/list"
	"time"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/request/tier"
)

// ErrTeamFull is returned by Push if an item exceeds the limits of its team.
var ErrTeamFull = eris.New("team queue limits exceeded")

// maxScanDepth is the maximum number of requests of one team that are
// considered for one slot.
const maxScanDepth = 16

// Item is a waiting request.
type Item struct {
	Tier tier.Tier
	Team string
	// Cost is what the team is charged when the item is served.
	Cost float64
	// Bytes is the memory that the item uses.
	Bytes int
	// EnqueuedAt is when the item began to wait.
	EnqueuedAt time.Time
	// Deadline is the latest time for the first token; zero means none.
	Deadline time.Time
	// Value is for use by the caller; the queue ignores it.
	Value any

	element  *list.Element
	subqueue *subqueue
}

// TeamConfig holds the weight of a team and the limits on its waiting requests.
// A limit of zero means unlimited.
type TeamConfig struct {
	Weight      int
	MaxRequests int
	MaxBytes    int
}

// team is the state of one team.
type team struct {
	config    TeamConfig
	requests  int
	bytes     int
	subqueues [tier.Max]*subqueue
}

// subqueue holds the waiting items of one team in one tier.
type subqueue struct {
	team  *team
	items list.List
	// startTag is the virtual time at which service of the next item starts.
	startTag float64
	// lastScan is the number of the last scan that visited the subqueue.
	lastScan uint64
}

// Queue holds waiting requests. Use New to create one.
type Queue struct {
	teams         map[string]*team
	defaultConfig TeamConfig
	subqueues     [tier.Max][]*subqueue
	// virtualTime is, by tier, the highest start tag served so far less the
	// fairness window.
	virtualTime    [tier.Max]float64
	counts         tier.Counts
	scans          uint64
	fairnessWindow float64
}

// New returns an empty queue. Teams without a configuration of their own count
// as one team with defaultConfig. A team may be served ahead of others by at
// most fairnessWindow, given as cost for a weight of 1.
func New(defaultConfig TeamConfig, fairnessWindow float64) *Queue {
	return &Queue{teams: map[string]*team{}, defaultConfig: defaultConfig, fairnessWindow: fairnessWindow}
}

// SetTeamConfig sets a team's weight and limits. Items that already wait stay
// in the queue.
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

// teamKey maps teams without a configuration to one shared name.
func (q *Queue) teamKey(name string) string {
	if _, found := q.teams[name]; found {
		return name
	}
	return ""
}

// Push adds an item. If it exceeds the team's limits, lower-tier items of the
// same team are evicted and returned, lowest tier and latest arrival first. If
// that is not enough, Push fails with ErrTeamFull and evicts nothing.
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

// selectEvictions selects the items to evict for a new one to fit.
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

func (c TeamConfig) allows(requests, bytes int) bool {
	if c.MaxRequests > 0 && requests > c.MaxRequests {
		return false
	}
	return c.MaxBytes <= 0 || bytes <= c.MaxBytes
}

func (q *Queue) subqueueFor(t *team, at tier.Tier) *subqueue {
	if t.subqueues[at] == nil {
		t.subqueues[at] = &subqueue{team: t}
		q.subqueues[at] = append(q.subqueues[at], t.subqueues[at])
	}
	return t.subqueues[at]
}

// Remove removes an item without charging its team. It returns false if the
// item is not in the queue.
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

// Serve removes an item that is dispatched and charges its team. It returns
// false if the item is not in the queue.
func (q *Queue) Serve(item *Item) bool {
	s := item.subqueue
	if s == nil {
		return false
	}
	q.virtualTime[item.Tier] = max(q.virtualTime[item.Tier], s.startTag-q.fairnessWindow)
	s.startTag += item.Cost / float64(max(s.team.config.Weight, 1))
	return q.Remove(item)
}

// Best rates the waiting items of one tier with rate and returns the one with
// the highest rating, the first of equals. Items with a negative rating are
// skipped. Teams are visited in fair order: a team that is ahead by more than
// the fairness window is considered only if no item of the others can be
// dispatched. Only the first maxScanDepth items of each team are considered.
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

// nextSubqueue returns the non-empty subqueue with the smallest start tag that
// this scan has not visited, or nil.
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

// Counts returns the number of waiting items by tier.
func (q *Queue) Counts() tier.Counts { return q.counts }

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.counts.Sum() }

// Oldest returns when the longest-waiting item of a tier was enqueued, or zero.
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
