package admission

import (
	"math"
	"time"
)

const (
	// shareWindow is the time in which the weight of a request in the served
	// shares falls to 1/e: some bursts long.
	shareWindow = 5 * time.Second
	// starvedShare is the share of the mean served share below which a kind of
	// request starves.
	starvedShare = 0.45
	// minShareRequests is the number of recent requests of a kind from which its
	// share says something.
	minShareRequests = 5
)

// Shares tracks, by kind of request, how many of the recent requests were
// served and what part of the slot time they took. The zero value is ready for
// use.
type Shares struct {
	kinds map[string]*share
	total share
}

// share counts requests with exponentially decaying weight.
type share struct {
	asked, served float64
	// work is the slot time of the served requests, in seconds; overShareWork is the
	// part of it that went to teams over their share.
	work, overShareWork float64
	updatedAt           time.Time
	// example is a waiter of this kind that is on time, overShareExample one of a
	// team over its share.
	example, overShareExample *Waiter
}

func (s *share) decay(now time.Time) {
	if elapsed := now.Sub(s.updatedAt); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / shareWindow.Seconds())
		s.asked, s.served, s.work, s.updatedAt = s.asked*factor, s.served*factor, s.work*factor, now
		s.overShareWork *= factor
	}
}

func (s *Shares) kind(name string, now time.Time) *share {
	if s.kinds == nil {
		s.kinds = map[string]*share{}
	}
	if s.kinds[name] == nil {
		s.kinds[name] = &share{}
	}
	s.kinds[name].decay(now)
	s.total.decay(now)
	return s.kinds[name]
}

// RecordAsked records a request that is no return after a refusal.
func (s *Shares) RecordAsked(kind string, rank int, meanSlotTime time.Duration, now time.Time) {
	k := s.kind(kind, now)
	k.asked++
	k.example = &Waiter{Urgent: rank == 0, Value: Value(rank, false, meanSlotTime)}
	k.overShareExample = &Waiter{Urgent: rank == 0, Value: k.example.Value, OverShare: true}
	s.total.asked++
}

// RecordServed records that a request got an endpoint.
func (s *Shares) RecordServed(kind string, slotTime time.Duration, now time.Time) {
	k := s.kind(kind, now)
	k.served++
	k.work += slotTime.Seconds()
	s.total.served++
	s.total.work += slotTime.Seconds()
}

// RecordOverShare records that a served request was of a team over its share.
func (s *Shares) RecordOverShare(kind string, slotTime time.Duration, now time.Time) {
	s.kind(kind, now).overShareWork += slotTime.Seconds()
}

// IsStarved reports whether a kind of request is served much less often than all
// requests of the service.
func (s *Shares) IsStarved(kind string) bool {
	k := s.kinds[kind]
	if k == nil || k.asked < minShareRequests || s.total.asked == 0 {
		return false
	}
	return k.served/k.asked < starvedShare*s.total.served/s.total.asked
}

// precedingWork returns the share of the recent slot time that went to waiters
// that precede the given one.
func (s *Shares) precedingWork(w *Waiter, now time.Time) float64 {
	s.total.decay(now)
	if s.total.work <= 0 {
		return 0
	}
	sum := 0.0
	for _, k := range s.kinds {
		k.decay(now)
		if k.example == nil {
			continue
		}
		if k.example.Precedes(w) {
			sum += k.work - k.overShareWork
		}
		if k.overShareExample.Precedes(w) {
			sum += k.overShareWork
		}
	}
	return min(sum/s.total.work, 1)
}
