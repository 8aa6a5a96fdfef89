package admission

import (
	"math"
	"time"
)

const (
	// shareWindow is the time over which the served shares are measured: some
	// bursts long.
	shareWindow = 5 * time.Second
	// starvedShare is the share of the mean served share below which a kind of
	// request starves.
	starvedShare = 0.45
	// minShareRequests is the number of recent requests of a kind from which its
	// share says something.
	minShareRequests = 5
)

// Shares tracks, by kind of request, how many of the recent requests were
// served. The zero value is ready for use.
type Shares struct {
	kinds map[string]*share
	total share
}

// share counts requests with exponentially decaying weight.
type share struct {
	asked, served float64
	updatedAt     time.Time
}

func (s *share) add(asked, served float64, now time.Time) {
	if elapsed := now.Sub(s.updatedAt); elapsed > 0 {
		decay := math.Exp(-elapsed.Seconds() / shareWindow.Seconds())
		s.asked, s.served, s.updatedAt = s.asked*decay, s.served*decay, now
	}
	s.asked += asked
	s.served += served
}

func (s *Shares) add(kind string, asked, served float64, now time.Time) {
	if s.kinds == nil {
		s.kinds = map[string]*share{}
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = &share{}
	}
	s.kinds[kind].add(asked, served, now)
	s.total.add(asked, served, now)
}

// RecordAsked records a request that is no return after a refusal.
func (s *Shares) RecordAsked(kind string, now time.Time) { s.add(kind, 1, 0, now) }

// RecordServed records that a request got an endpoint.
func (s *Shares) RecordServed(kind string, now time.Time) { s.add(kind, 0, 1, now) }

// IsStarved reports whether a kind of request is served much less often than all
// requests of the service.
func (s *Shares) IsStarved(kind string) bool {
	k := s.kinds[kind]
	if k == nil || k.asked < minShareRequests || s.total.asked == 0 {
		return false
	}
	return k.served/k.asked < starvedShare*s.total.served/s.total.asked
}
