package config

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/version/bundle"
)

// fleetSize is the size of a current or future fleet.
type fleetSize struct {
	teams, endpoints int
}

var fleetSizes = []fleetSize{{5, 23}, {50, 100}, {300, 400}, {1100, 1400}}

func (s fleetSize) String() string { return fmt.Sprintf("teams=%d/endpoints=%d", s.teams, s.endpoints) }

// BenchmarkConfigChange measures the cost of a configuration change for a host: a
// publish, an approval and a roll.
func BenchmarkConfigChange(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(size.String(), func(b *testing.B) {
			c := newFixture(b)
			entries := c.publishAndRoll(0, sizedBundle("first", size.teams, size.endpoints))
			bytes := 0
			for _, entry := range entries {
				bytes += len(entry.Data)
			}
			b.ReportAllocs()
			for b.Loop() {
				state := applyAll(State{}, c.keys, entries...)
				assert.Assert(b, state.InForce != nil)
			}
			b.ReportMetric(float64(bytes), "log-bytes/change")
		})
	}
}

// BenchmarkSnapshot measures the size of a snapshot and the cost to encode and
// decode it.
func BenchmarkSnapshot(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(size.String(), func(b *testing.B) {
			c := newFixture(b)
			state := applyAll(State{}, c.keys, c.publishAndRoll(0, sizedBundle("first", size.teams, size.endpoints))...)
			var record Record
			for b.Loop() {
				record = state.encodeSnapshot(c.host, 1)
				_, _, ok := decodeSnapshot(record)
				assert.Assert(b, ok)
			}
			b.ReportMetric(float64(len(record.Raw)), "bytes/snapshot")
		})
	}
}

// BenchmarkApplySmall measures the application of a small record, a domain mark,
// to a state of the largest size.
func BenchmarkApplySmall(b *testing.B) {
	c := newFixture(b)
	last := fleetSizes[len(fleetSizes)-1]
	state := applyAll(State{}, c.keys, c.publishAndRoll(0, sizedBundle("first", last.teams, last.endpoints))...)
	mark := c.logEntry(c.alma.Mark("a", true, "frost", Stamp{Millis: 1}, 1))
	b.ReportAllocs()
	for b.Loop() {
		state.Apply(mark, c.keys)
	}
	b.ReportMetric(float64(len(mark.Data)), "log-bytes/mark")
}

// BenchmarkPullCalm measures a pull from a peer that has nothing new.
func BenchmarkPullCalm(b *testing.B) {
	c := newFixture(b)
	f := newTestFollower("host-1", c, newMemoryLog(), newNetwork())
	f.applyEntries(c.publishAndRoll(0, testBundle("first", true)))
	request := mustEncode(f.currentState().pullRequest(false))
	var reply any
	for b.Loop() {
		var err error
		reply, err = f.handlePull(b.Context(), identity.Incarnation{}, request)
		assert.NilError(b, err)
	}
	bytes := len(request) + len(mustEncode(reply))
	b.ReportMetric(float64(bytes), "bytes/pull")
	b.ReportMetric(float64(bytes)/idlePullInterval.Seconds(), "bytes/s")
}

// BenchmarkCurrent measures the read of the configuration that each request does.
func BenchmarkCurrent(b *testing.B) {
	c := newFixture(b)
	f := newTestFollower("host-1", c, newMemoryLog(), newNetwork())
	f.applyEntries(c.publishAndRoll(0, testBundle("first", true)))
	b.RunParallel(func(p *testing.PB) {
		var current *bundle.Bundle
		for p.Next() {
			current = f.Current().Bundle
		}
		_ = current
	})
}
