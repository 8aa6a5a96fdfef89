package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	// HostKill ends a host at once and starts it again.
	HostKill FaultKind = "host-kill"
	// HostStop asks a host to stop and starts it again once it has ended.
	HostStop FaultKind = "host-stop"
	// HostReload asks a host to read its settings again.
	HostReload FaultKind = "host-reload"
	// HostPause suspends a host's process.
	HostPause FaultKind = "host-pause"

	// The front kinds concern the connections from callers to a host, the
	// store kinds those from a host to the store, and the endpoint kinds
	// those from all hosts to an endpoint.
	FrontendDelay  FaultKind = "front-delay"
	FrontendReset  FaultKind = "front-reset"
	FrontendCutIn  FaultKind = "front-cut-in"
	FrontendCutOut FaultKind = "front-cut-out"
	StoreCutIn     FaultKind = "store-cut-in"
	StoreCutOut    FaultKind = "store-cut-out"
	StoreReset     FaultKind = "store-reset"
	EndpointReset  FaultKind = "endpoint-reset"
	EndpointDelay  FaultKind = "endpoint-delay"
	EndpointMute   FaultKind = "endpoint-mute"
	// EndpointCrash refuses and resets all connections of an endpoint.
	EndpointCrash FaultKind = "endpoint-crash"
	// EndpointSlow makes an endpoint take longer for each request.
	EndpointSlow FaultKind = "endpoint-slow"
	// EndpointDrain lists an endpoint as leaving and takes that back later.
	EndpointDrain FaultKind = "endpoint-drain"

	// The log kinds concern the store itself.
	LogRefuses        FaultKind = "log-refuses"
	LogSilent         FaultKind = "log-silent"
	LogLosesResponses FaultKind = "log-loses-answers"
	LogTrims          FaultKind = "log-trims"

	// Configure writes a version without a route and then one with it.
	Configure FaultKind = "configure"
	// Evacuate orders that a failure domain's endpoints get nothing.
	Evacuate FaultKind = "evacuate"
)

// faultKinds lists all faultKinds with the longest time that each may last.
var faultKinds = []struct {
	kind        FaultKind
	maxDuration time.Duration
}{
	{HostKill, 3 * time.Second}, {HostStop, time.Second}, {HostReload, 0}, {HostPause, 5 * time.Second},
	{FrontendDelay, 4 * time.Second}, {FrontendReset, 0}, {FrontendCutIn, 4 * time.Second}, {FrontendCutOut, 4 * time.Second},
	{StoreCutIn, 6 * time.Second}, {StoreCutOut, 6 * time.Second}, {StoreReset, 0},
	{EndpointReset, 0}, {EndpointDelay, 4 * time.Second}, {EndpointMute, 5 * time.Second}, {EndpointCrash, 5 * time.Second},
	{EndpointSlow, 5 * time.Second}, {EndpointDrain, 8 * time.Second},
	{LogRefuses, 5 * time.Second}, {LogSilent, 5 * time.Second}, {LogLosesResponses, 5 * time.Second}, {LogTrims, 0},
	{Configure, 6 * time.Second}, {Evacuate, 8 * time.Second},
}

// Fault is one fault of a plan.
type Fault struct {
	Kind FaultKind
	// Start is when it begins after the start of traffic, Duration how long it lasts.
	Start, Duration time.Duration
	// Target is the host's or the endpoint's number.
	Target int
}

func (f Fault) String() string {
	return fmt.Sprintf("%s %d at %v for %v", f.Kind, f.Target, f.Start, f.Duration)
}

// Size is how large a run is.
type Size struct {
	Hosts, Endpoints, Callers int
	// Traffic is how long faults may begin.
	Traffic time.Duration
	// Faults is how many there are.
	Faults int
}

// warmup is the time before the first fault, in which the fleet starts.
const warmup = time.Second

// timeResolution rounds the times of a plan.
const timeResolution = 10 * time.Millisecond

// NewPlan is the plan of a seed, ordered by time. Half of the faults come in
// series of the same kind and target, and they may overlap.
func NewPlan(seed uint64, size Size) []Fault {
	rng := rand.New(rand.NewPCG(seed, uint64(size.Faults)))
	drawDuration := func(maxDuration time.Duration) time.Duration {
		return time.Duration(rng.Int64N(int64(maxDuration) + 1)).Round(timeResolution)
	}
	var plan []Fault
	for len(plan) < size.Faults {
		drawn := faultKinds[rng.IntN(len(faultKinds))]
		fault := Fault{Kind: drawn.kind, Start: warmup + drawDuration(size.Traffic-warmup), Duration: drawDuration(drawn.maxDuration), Target: rng.IntN(size.Hosts * size.Endpoints)}
		for remaining := 1 + 2*rng.IntN(2); remaining > 0 && len(plan) < size.Faults; remaining-- {
			plan = append(plan, fault)
			fault.Start += fault.Duration + drawDuration(time.Second)
			if fault.Start > size.Traffic {
				break
			}
		}
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.Start - b.Start) })
	return plan
}
