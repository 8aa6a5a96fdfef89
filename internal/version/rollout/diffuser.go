package rollout

import "sync/atomic"

// diffuser picks a fraction of events by error diffusion: after n events at a
// constant fraction it has picked within one of n times the fraction. It is
// lock-free.
type diffuser struct {
	// sum is the sum of the fractions of all events so far; its part above
	// fractionUnit counts the events picked.
	sum atomic.Uint64
}

// newDiffuser returns a diffuser whose first pick comes after a part of the
// usual distance. Different phases keep diffusers from picking in step.
func newDiffuser(phase Fraction) *diffuser {
	d := &diffuser{}
	d.sum.Store(uint64(phase % fractionUnit))
	return d
}

// pick reports whether the next event is one of the fraction.
func (d *diffuser) pick(fraction Fraction) bool {
	after := d.sum.Add(uint64(fraction))
	before := after - uint64(fraction)
	return after/uint64(fractionUnit) != before/uint64(fractionUnit)
}
