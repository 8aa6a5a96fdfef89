package soak

import (
	"math/rand/v2"
	"time"
)

const (
	// haltInterval is the mean time between two halts of the same host, which last
	// between minHalt and maxHalt.
	haltInterval = 9 * time.Second
	minHalt      = time.Second
	maxHalt      = 2 * time.Second
	// stormInterval, stopsInterval and goneInterval are the mean times between two
	// storms, two series of stops and two endpoints that are gone.
	stormInterval = 8 * time.Second
	stopsInterval = 20 * time.Second
	goneInterval  = 10 * time.Second
	maxStorm      = 4 * time.Second
	// maxStopDelay bounds the time between the stops of a series.
	maxStopDelay = 1500 * time.Millisecond
	maxGone      = 8 * time.Second
)

// newMachineFaults returns the faults of a seed that machines and operators of a size
// bring besides those of its plan.
func newMachineFaults(seed uint64, size Size) []Fault {
	rng := rand.New(rand.NewPCG(seed, machineFaultStream))
	var faults []Fault
	add := func(kind FaultKind, count int, minDuration, maxDuration time.Duration) {
		for range max(count, 1) {
			faults = append(faults, Fault{
				Kind:     kind,
				Start:    warmup + time.Duration(rng.Int64N(int64(size.Traffic-warmup))).Round(timeResolution),
				Duration: minDuration + time.Duration(rng.Int64N(int64(maxDuration-minDuration))).Round(timeResolution),
				Target:   rng.IntN(size.Hosts * size.Endpoints),
			})
		}
	}
	add(HostHalt, size.Hosts*int(size.Traffic/time.Second)/int(haltInterval/time.Second), minHalt, maxHalt)
	add(ConfigStorm, int(size.Traffic/stormInterval), maxStorm/4, maxStorm)
	add(HostsStop, int(size.Traffic/stopsInterval), 0, maxStopDelay)
	add(EndpointGone, int(size.Traffic/goneInterval), 0, maxGone)
	return faults
}

// machineFaultStream selects random numbers apart from those of the plan.
const machineFaultStream = 0x6d616368696e6573
