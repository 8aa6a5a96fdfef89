package rollout

import "sync/atomic"

// splitter picks a fraction of events by error diffusion: after n events at a
// constant fraction it has picked within one of n times the fraction. It is
// lock-free.
type splitter struct {
	// sum is the sum of the fractions of all events so far; its part above
	// fractionUnit counts the events picked.
	sum atomic.Uint64
}

// newSplitter returns a diffuser whose first pick comes after a part of the
// usual distance. Different phases keep diffusers from picking in step.
func newSplitter(phase Fraction) *splitter {
	s := &splitter{}
	s.sum.Store(uint64(phase % fractionUnit))
	return s
}

// pick reports whether the next event is one of the fraction.
func (s *splitter) pick(fraction Fraction) bool {
	after := s.sum.Add(uint64(fraction))
	before := after - uint64(fraction)
	return after/uint64(fractionUnit) != before/uint64(fractionUnit)
}
