package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is the kind of a fault.
type FaultKind string

// Kinds of faults.
const (
	// HostKill kills a host's process and starts the host again.
	HostKill FaultKind = "host-kill"
	// HostStop asks a host to stop and starts it again once its process has exited.
	HostStop FaultKind = "host-stop"
	// HostReload asks a host to reload its settings.
	HostReload FaultKind = "host-reload"
	// HostPause suspends a host's process.
	HostPause FaultKind = "host-pause"

	// The frontend kinds affect the connections from callers to a host, the store
	// kinds those from a host to the store, and the endpoint kinds those from all
	// hosts to an endpoint. CutIn holds the bytes towards the target of a
	// connection, CutOut and Mute those from it.
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
	// EndpointCrash resets all connections to an endpoint and refuses new ones.
	EndpointCrash FaultKind = "endpoint-crash"
	// EndpointSlow makes an endpoint take longer for each request.
	EndpointSlow FaultKind = "endpoint-slow"
	// EndpointDrain lists an endpoint as leaving and later lists it normally again.
	EndpointDrain FaultKind = "endpoint-drain"

	// The log kinds affect the store itself.
	LogRefuses        FaultKind = "log-refuses"
	LogSilent         FaultKind = "log-silent"
	LogLosesResponses FaultKind = "log-loses-answers"
	LogTrims          FaultKind = "log-trims"
	// LogRestored restores the store from a copy that was taken at the start of the
	// fault.
	LogRestored FaultKind = "log-restored"

	// Configure publishes a version without one route and later one with it again.
	Configure FaultKind = "configure"
	// Evacuate orders that the endpoints of a failure domain get no new requests.
	Evacuate FaultKind = "evacuate"

	// CrashingPrompts makes some callers send prompts that crash endpoints.
	CrashingPrompts FaultKind = "crashing-prompts"
	// HostLosesEndpoints cuts a host off from all endpoints.
	HostLosesEndpoints FaultKind = "host-loses-endpoints"
	// EndpointRejects makes an endpoint reject requests and ask for a pause.
	EndpointRejects FaultKind = "endpoint-rejects"
	// EndpointLimit makes an endpoint name a limit in its responses.
	EndpointLimit FaultKind = "endpoint-limit"
	// EndpointSilent makes a sound endpoint pause all responses for a moment. It is no
	// disruption.
	EndpointSilent FaultKind = "endpoint-silent"

	// HostHalt suspends a host's process for a second or two, as a machine with too few
	// processors does. It is no disruption.
	HostHalt FaultKind = "host-halt"
	// HostsStop stops several hosts one after another.
	HostsStop FaultKind = "hosts-stop"
	// ConfigStorm publishes several versions a second.
	ConfigStorm FaultKind = "config-storm"
	// EndpointGone removes the entry of an endpoint that goes on serving, and writes it
	// again later.
	EndpointGone FaultKind = "endpoint-gone"
	// ReadersLoseStore cuts hosts off from the store, first those that read it for others,
	// while versions are published.
	ReadersLoseStore FaultKind = "readers-lose-store"
)

// faultKinds lists all kinds with the maximum duration of each.
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
	// Start is relative to the start of the traffic.
	Start, Duration time.Duration
	// Target selects the host or the endpoint, modulo their number.
	Target int
}

func (f Fault) String() string {
	return fmt.Sprintf("%s %d at %v for %v", f.Kind, f.Target, f.Start, f.Duration)
}

// Size is the size of a run.
type Size struct {
	Hosts, Endpoints, Callers int
	// Traffic is the period in which faults may start.
	Traffic time.Duration
	// Faults is the number of faults.
	Faults int
	// Routes is the number of routes in the configuration that get no requests.
	Routes int
	// Changes is the number of versions that are published one after another, in place of
	// faults. If it is above 0, the memory of the hosts is checked.
	Changes int
	// MemoryMB is the memory of a host in MB; 0 means that of the stand-in's settings.
	MemoryMB int
}

// warmup is the time without faults at the start of the traffic.
const warmup = time.Second

// timeResolution is the resolution of the times in a plan.
const timeResolution = 10 * time.Millisecond

// newRequestFaults returns the faults of a seed in requests, responses and the paths to
// endpoints, in addition to those of its plan.
func newRequestFaults(seed uint64, size Size) []Fault {
	rng := rand.New(rand.NewPCG(seed, requestFaultStream))
	var faults []Fault
	for _, kind := range []FaultKind{CrashingPrompts, EndpointLimit} {
		start := warmup + time.Duration(rng.Int64N(int64(size.Traffic/2))).Round(timeResolution)
		faults = append(faults, Fault{Kind: kind, Start: start, Duration: size.Traffic - start, Target: rng.IntN(size.Endpoints)})
	}
	for _, kind := range []FaultKind{HostLosesEndpoints, HostLosesEndpoints, EndpointRejects} {
		start := warmup + time.Duration(rng.Int64N(int64(size.Traffic-warmup))).Round(timeResolution)
		faults = append(faults, Fault{
			Kind: kind, Start: start, Duration: time.Duration(rng.Int64N(int64(maxRejectDuration))).Round(timeResolution),
			Target: rng.IntN(size.Hosts * size.Endpoints),
		})
	}
	for range max(size.Traffic/silenceInterval, 1) {
		faults = append(faults, Fault{
			Kind:     EndpointSilent,
			Start:    warmup + time.Duration(rng.Int64N(int64(size.Traffic-warmup))).Round(timeResolution),
			Duration: minSilence + time.Duration(rng.Int64N(int64(maxSilence-minSilence))).Round(timeResolution),
			Target:   rng.IntN(size.Endpoints),
		})
	}
	return faults
}

// silenceInterval is the mean time between two silences of endpoints, which last between
// minSilence and maxSilence: "a second or so".
const (
	silenceInterval = 3 * time.Second
	minSilence      = 600 * time.Millisecond
	maxSilence      = 1600 * time.Millisecond
)

// maxRejectDuration bounds the faults in which a host loses the endpoints, or an endpoint
// rejects requests.
const maxRejectDuration = 12 * time.Second

// storeReturns is the number of times that a run restores the store, and maxCopyAge
// bounds the age of the copies.
const (
	storeReturns = 2
	maxCopyAge   = 6 * time.Second
)

// newStoreReturns returns the faults of a seed that restore the store, in addition to
// those of its plan.
func newStoreReturns(seed uint64, size Size) []Fault {
	rng := rand.New(rand.NewPCG(seed, storeReturnStream))
	var faults []Fault
	for range storeReturns {
		faults = append(faults, Fault{
			Kind:     LogRestored,
			Start:    warmup + time.Duration(rng.Int64N(int64(size.Traffic-warmup))).Round(timeResolution),
			Duration: time.Duration(rng.Int64N(int64(maxCopyAge))).Round(timeResolution),
		})
	}
	return faults
}

// storeReturnStream selects random numbers apart from those of the plan.
const storeReturnStream = 0x73746f7265626163

// requestFaultStream selects random numbers apart from those of the plan, so that
// the plans of known seeds stay what they are.
const requestFaultStream = 0x7265717565737473

// NewPlan returns the plan of a seed, ordered by start time. Half of the draws
// yield a series of up to three faults of the same kind and target. Faults may
// overlap.
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
