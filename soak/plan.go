package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	// HostKill ends a host at once and starts it again.
	HostKill Kind = "host-kill"
	// HostStop asks a host to stop and starts it again once it has ended.
	HostStop Kind = "host-stop"
	// HostReload asks a host to read its settings again.
	HostReload Kind = "host-reload"
	// HostPause suspends a host's process.
	HostPause Kind = "host-pause"

	// The front kinds concern the connections from callers to a host, the
	// store kinds those from a host to the store, and the endpoint kinds
	// those from all hosts to an endpoint.
	FrontDelay    Kind = "front-delay"
	FrontReset    Kind = "front-reset"
	FrontCutIn    Kind = "front-cut-in"
	FrontCutOut   Kind = "front-cut-out"
	StoreCutIn    Kind = "store-cut-in"
	StoreCutOut   Kind = "store-cut-out"
	StoreReset    Kind = "store-reset"
	EndpointReset Kind = "endpoint-reset"
	EndpointDelay Kind = "endpoint-delay"
	EndpointMute  Kind = "endpoint-mute"
	// EndpointCrash refuses and resets all connections of an endpoint.
	EndpointCrash Kind = "endpoint-crash"
	// EndpointSlow makes an endpoint take longer for each request.
	EndpointSlow Kind = "endpoint-slow"
	// EndpointDrain lists an endpoint as leaving and takes that back later.
	EndpointDrain Kind = "endpoint-drain"

	// The log kinds concern the store itself.
	LogRefuses Kind = "log-refuses"
	LogSilent  Kind = "log-silent"
	LogLoses   Kind = "log-loses-answers"
	LogTrims   Kind = "log-trims"

	// Configure writes a version without a route and then one with it.
	Configure Kind = "configure"
	// Evacuate orders that a failure domain's endpoints get nothing.
	Evacuate Kind = "evacuate"
)

// kinds lists all kinds with the longest time that each may last.
var kinds = []struct {
	kind Kind
	most time.Duration
}{
	{HostKill, 3 * time.Second}, {HostStop, time.Second}, {HostReload, 0}, {HostPause, 5 * time.Second},
	{FrontDelay, 4 * time.Second}, {FrontReset, 0}, {FrontCutIn, 4 * time.Second}, {FrontCutOut, 4 * time.Second},
	{StoreCutIn, 6 * time.Second}, {StoreCutOut, 6 * time.Second}, {StoreReset, 0},
	{EndpointReset, 0}, {EndpointDelay, 4 * time.Second}, {EndpointMute, 5 * time.Second}, {EndpointCrash, 5 * time.Second},
	{EndpointSlow, 5 * time.Second}, {EndpointDrain, 8 * time.Second},
	{LogRefuses, 5 * time.Second}, {LogSilent, 5 * time.Second}, {LogLoses, 5 * time.Second}, {LogTrims, 0},
	{Configure, 6 * time.Second}, {Evacuate, 8 * time.Second},
}

// Fault is one fault of a plan.
type Fault struct {
	Kind Kind
	// At is when it begins after the start of traffic, For how long it lasts.
	At, For time.Duration
	// Target is the host's or the endpoint's number.
	Target int
}

func (f Fault) String() string {
	return fmt.Sprintf("%s %d at %v for %v", f.Kind, f.Target, f.At, f.For)
}

// Size is how large a run is.
type Size struct {
	Hosts, Endpoints, Callers int
	// Traffic is how long faults may begin.
	Traffic time.Duration
	// Faults is how many there are.
	Faults int
}

// quiet is the time before the first fault, in which the fleet starts.
const quiet = time.Second

// grain rounds the times of a plan.
const grain = 10 * time.Millisecond

// NewPlan is the plan of a seed, ordered by time. Half of the faults come in
// series of the same kind and target, and they may overlap.
func NewPlan(seed uint64, size Size) []Fault {
	random := rand.New(rand.NewPCG(seed, uint64(size.Faults)))
	span := func(most time.Duration) time.Duration {
		return time.Duration(random.Int64N(int64(most) + 1)).Round(grain)
	}
	var plan []Fault
	for len(plan) < size.Faults {
		pick := kinds[random.IntN(len(kinds))]
		fault := Fault{Kind: pick.kind, At: quiet + span(size.Traffic-quiet), For: span(pick.most), Target: random.IntN(size.Hosts * size.Endpoints)}
		for again := 1 + 2*random.IntN(2); again > 0 && len(plan) < size.Faults; again-- {
			plan = append(plan, fault)
			fault.At += fault.For + span(time.Second)
			if fault.At > size.Traffic {
				break
			}
		}
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.At - b.At) })
	return plan
}
