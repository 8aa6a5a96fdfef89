package rollout

import "sync/atomic"

// splitter picks a fraction of events by error diffusion: after n events at a
// constant fraction, the number of picks differs from n times the fraction by
// at most one. It is lock-free.
type splitter struct {
	// sum is the sum of the fractions of all events so far. Its part above
	// fractionUnit counts the events picked.
	sum atomic.Uint64
}

// newSplitter returns a splitter whose first pick is shifted by the phase.
// Different phases keep splitters from picking at the same time.
func newSplitter(phase Fraction) *splitter {
	s := &splitter{}
	s.sum.Store(uint64(phase % fractionUnit))
	return s
}

// pick reports whether the next event belongs to the fraction.
func (s *splitter) pick(fraction Fraction) bool {
	after := s.sum.Add(uint64(fraction))
	before := after - uint64(fraction)
	return after/uint64(fractionUnit) != before/uint64(fractionUnit)
}
