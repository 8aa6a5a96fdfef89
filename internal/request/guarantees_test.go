package request_test

import (
	"flag"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Sizes of the property test: the minimum number of steps of all runs together,
// and the maximum number of steps of one run.
const (
	minSteps = 10_000
	maxSteps = 600
)

func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": "20261204", "rapid.checks": "3000", "rapid.nofailfile": "true"}
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range fixed {
		if !given[name] {
			flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// weightedStep is a step of the model and its relative frequency.
type weightedStep struct {
	weight int
	step   func(*fleet)
}

var steps = []weightedStep{
	{140, (*fleet).deliver},
	{80, (*fleet).stepOwner},
	{60, (*fleet).stepRetry},
	{30, (*fleet).generate},
	{40, (*fleet).submit},
	{8, (*fleet).journal},
	{6, (*fleet).toggleSuspended},
	{4, (*fleet).advance},
	{4, (*fleet).toggleLink},
	{4, (*fleet).toggleLog},
	{2, (*fleet).drop},
	{6, (*fleet).sweep},
	{2, (*fleet).restart},
	{1, (*fleet).restartEndpoint},
}

// TestGuarantees runs owners, witnesses and retries while messages are lost,
// delayed and reordered, and while hosts are suspended and restarted between any
// two steps. No request may run twice, a request reported as not run must never
// run, and all complete responses to a request must be identical.
func TestGuarantees(t *testing.T) {
	var all []func(*fleet)
	for _, s := range steps {
		for range s.weight {
			all = append(all, s.step)
		}
	}
	counts := &coverage{}
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, counts)
		for range rapid.IntRange(maxSteps/2, maxSteps).Draw(t, "steps") {
			counts.steps++
			all[f.randomIndex(len(all))](f)
			f.check()
		}
	})
	t.Logf("met: %+v", *counts)
	assert.Assert(t, counts.steps >= minSteps)
	assert.Assert(t, counts.complete > 0 && counts.resumed > 0 && counts.notRun > 0 && counts.unknown > 0 && counts.replaced > 0)
}
