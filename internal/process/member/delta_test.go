package member_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/member"
)

// maxSource is a Source in which the greatest value of each key wins.
type maxSource map[string]byte

func (m maxSource) Topic() member.Topic { return "marks" }

func (m maxSource) Merge(delta member.Delta) bool {
	if len(delta.Body) != 1 || m[delta.Key] >= delta.Body[0] {
		return false
	}
	m[delta.Key] = delta.Body[0]
	return true
}

func (m maxSource) Digest() uint64 {
	var sum uint64
	for key, value := range m {
		sum += uint64(value) * uint64(len(key)*1000+int(key[0]))
	}
	return sum
}

func (m maxSource) Deltas() []member.Delta {
	var all []member.Delta
	for _, key := range slices.Sorted(maps.Keys(m)) {
		all = append(all, member.Delta{Topic: "marks", Key: key, Body: []byte{m[key]}})
	}
	return all
}

// TestDeltasReachAll checks that all hosts receive all deltas, including those
// broadcast while one host was cut off.
func TestDeltasReachAll(t *testing.T) {
	w := newNetwork(12)
	var states []maxSource
	w.startHosts(9, func() member.Source {
		states = append(states, maxSource{})
		return states[len(states)-1]
	})
	w.mustConverge(t, settle)
	broadcast := func(host int, key string, value byte) {
		delta := member.Delta{Topic: "marks", Key: key, Body: []byte{value}}
		states[host].Merge(delta)
		w.apply(w.nodes[address(host)], w.nodes[address(host)].core.Broadcast(delta))
	}
	for i := range 9 {
		w.setCut(w.nodes[address(i)], w.nodes[address(8)], true)
	}
	broadcast(0, "a", 1)
	broadcast(1, "a", 2)
	broadcast(8, "b", 7)
	w.run(30 * time.Second)
	clear(w.cuts)
	equal := func() bool {
		for _, state := range states {
			if !maps.Equal(state, maxSource{"a": 2, "b": 7}) {
				return false
			}
		}
		return true
	}
	assert.Assert(t, w.runUntil(convergenceLimit, equal), "%v", states)
}
