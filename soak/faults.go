package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"mustarddoor/platform/standin"
)

// linkDelay is the delay of each chunk on a slow connection.
const linkDelay = 50 * time.Millisecond

// linkKind selects the connections that a fault affects.
type linkKind int

const (
	frontendLink linkKind = iota + 1
	storeLink
	endpointLink
)

// linkFaults are the connection faults. A mode is in effect for the duration of the
// fault.
var linkFaults = map[FaultKind]struct {
	kind    linkKind
	mode    Mode
	isReset bool
}{
	FrontendDelay:  {kind: frontendLink, mode: Mode{Delay: linkDelay}},
	FrontendCutIn:  {kind: frontendLink, mode: Mode{HoldIn: true}},
	FrontendCutOut: {kind: frontendLink, mode: Mode{HoldOut: true}},
	FrontendReset:  {kind: frontendLink, isReset: true},
	StoreCutIn:     {kind: storeLink, mode: Mode{HoldIn: true}},
	StoreCutOut:    {kind: storeLink, mode: Mode{HoldOut: true}},
	StoreReset:     {kind: storeLink, isReset: true},
	EndpointDelay:  {kind: endpointLink, mode: Mode{Delay: linkDelay}},
	EndpointMute:   {kind: endpointLink, mode: Mode{HoldOut: true}},
	EndpointReset:  {kind: endpointLink, isReset: true},
	EndpointCrash:  {kind: endpointLink, mode: Mode{Refuse: true}, isReset: true},
}

// storeFaults are the faults of the store itself.
var storeFaults = map[FaultKind]standin.StoreFaults{
	LogRefuses:        {Status: http.StatusServiceUnavailable},
	LogSilent:         {Silent: true},
	LogLosesResponses: {DropReplies: true},
}

// inject injects one fault and returns when it is over.
func (f *fleet) inject(ctx context.Context, fault Fault) {
	h := f.hosts[fault.Target%len(f.hosts)]
	e := f.endpoints[fault.Target%len(f.endpoints)]
	switch fault.Kind {
	case HostKill, HostStop, HostReload:
		f.injectProcessFault(ctx, h, fault)
	case HostPause:
		defer f.record.BeginDisruption(Scope{ScopeHost, h.number}, false)()
		f.sendSignal(h, syscall.SIGSTOP)
		time.Sleep(fault.Duration)
		f.sendSignal(h, syscall.SIGCONT)
	case EndpointSlow:
		defer f.record.BeginDisruption(Scope{ScopeEndpoint, e.number}, false)()
		e.isSlow.Store(true)
		time.Sleep(fault.Duration)
		e.isSlow.Store(false)
	case LogRefuses, LogSilent, LogLosesResponses:
		defer f.record.BeginDisruption(Scope{Kind: ScopeStore}, false)()
		end := f.applyStoreFault(storeFaults[fault.Kind])
		time.Sleep(fault.Duration)
		end()
	case LogTrims:
		f.store.TrimAll()
	case LogRestored:
		f.restoreStore(e, fault)
	case CrashingPrompts:
		f.crashesPrompts.Store(true)
		time.Sleep(fault.Duration)
		f.crashesPrompts.Store(false)
	case HostLosesEndpoints:
		f.cutOffHost(h, fault.Duration)
	case EndpointRejects:
		defer f.record.BeginDisruption(Scope{ScopeEndpoint, e.number}, false)()
		e.isRejecting.Store(true)
		time.Sleep(fault.Duration)
		e.isRejecting.Store(false)
	case EndpointLimit:
		defer f.record.BeginLimit(e.number, endpointLimit)()
		e.isLimited.Store(true)
		time.Sleep(fault.Duration)
		e.isLimited.Store(false)
	case EndpointSilent:
		e.silences.Add(1)
		time.Sleep(fault.Duration)
		e.silences.Add(-1)
	case HostHalt:
		f.halt(h, fault.Duration)
	case HostsStop:
		f.stopInSeries(ctx, fault)
	case ConfigStorm:
		f.storm(fault)
	case ReadersLoseStore:
		f.cutReaders(ctx, fault)
	case EndpointDrain, EndpointGone, Configure, Evacuate:
		f.injectOrder(e, fault)
	default:
		f.injectLinkFault(h, e, fault)
	}
}

// cutOffHost cuts a host off from all endpoints for a time.
func (f *fleet) cutOffHost(h *host, duration time.Duration) {
	defer f.record.BeginDisruption(Scope{ScopeHost, h.number}, false)()
	isHost := func(accepted net.Conn) bool {
		found, err := hasClientSocket(h.pid(), accepted)
		if err != nil {
			f.record.AddProcessFailure(fmt.Sprintf("sockets of host %d: %v", h.number, err))
		}
		return found
	}
	for _, e := range f.endpoints {
		defer e.proxy.CutOff(isHost)()
	}
	time.Sleep(duration)
}

const (
	// restoreOutage is how long the store is out when it is restored, rewriteDelay the
	// time until the operator and the endpoints write again what it lost.
	restoreOutage = 500 * time.Millisecond
	rewriteDelay  = time.Second
	// lostVersions is the number of versions that the store loses, changeDuration how
	// long the change after that lasts, longer than rules ignore a host after a fault.
	lostVersions   = 3
	changeDuration = 8 * time.Second
)

// restoreStore restores the store from a copy that is as old as the fault is long, and
// changes the configuration once the hosts have had time to settle.
func (f *fleet) restoreStore(e *endpoint, fault Fault) {
	saved := f.store.Copy()
	for range lostVersions {
		time.Sleep(fault.Duration / lostVersions)
		f.publishAgain()
	}
	endDisruption := f.record.BeginDisruption(Scope{Kind: ScopeStore}, false)
	endOutage := f.applyStoreFault(standin.StoreFaults{Status: http.StatusServiceUnavailable})
	time.Sleep(restoreOutage)
	f.store.Restore(saved)
	endOutage()
	time.Sleep(rewriteDelay)
	f.store.Rewrite()
	endDisruption()
	f.injectOrder(e, Fault{Kind: Configure, Duration: changeDuration})
}

// injectLinkFault resets connections, changes the mode of their proxy, or both.
func (f *fleet) injectLinkFault(h *host, e *endpoint, fault Fault) {
	link := linkFaults[fault.Kind]
	proxy, scope := h.frontend, Scope{ScopeHost, h.number}
	switch link.kind {
	case storeLink:
		proxy = h.store
	case endpointLink:
		proxy, scope = e.proxy, Scope{ScopeEndpoint, e.number}
	}
	defer f.record.BeginDisruption(scope, false)()
	end := proxy.Apply(link.mode)
	if link.isReset {
		proxy.Reset()
	}
	time.Sleep(fault.Duration)
	end()
}

// injectProcessFault stops and restarts a host's process, or makes it reload its
// settings. The disruption lasts until the host is ready.
func (f *fleet) injectProcessFault(ctx context.Context, h *host, fault Fault) {
	h.lifecycleMu.Lock()
	defer h.lifecycleMu.Unlock()
	defer f.record.BeginDisruption(Scope{ScopeHost, h.number}, fault.Kind != HostKill)()
	switch fault.Kind {
	case HostReload:
		f.sendSignal(h, syscall.SIGHUP)
		return
	case HostStop:
		f.record.AddStop(h.stop())
	default:
		if err := h.kill(); err != nil {
			f.record.AddProcessFailure(fmt.Sprintf("host %d cannot be killed: %v", h.number, err))
		}
	}
	time.Sleep(fault.Duration)
	if err := h.start(f.settings(h)); err != nil {
		f.record.AddProcessFailure(fmt.Sprintf("host %d cannot be started: %v", h.number, err))
		return
	}
	// Without the store it may take longer; awaitRecovery checks again. A process that is
	// stopped as it starts, at the end of the run, would end by the signal.
	_ = h.waitReady(context.WithoutCancel(ctx))
}

// sendSignal sends a signal to a host and records a failure.
func (f *fleet) sendSignal(h *host, signal syscall.Signal) {
	if err := h.sendSignal(signal); err != nil {
		f.record.AddProcessFailure(fmt.Sprintf("host %d does not take %v: %v", h.number, signal, err))
	}
}

// injectOrder issues an order and revokes it later. MaxDelay of the exclusions
// counts from when the store has the order.
func (f *fleet) injectOrder(e *endpoint, fault Fault) {
	name := string(fault.Kind)
	if fault.Kind == EndpointDrain || fault.Kind == EndpointGone {
		name = "endpoint " + e.id()
	}
	lock := f.orderLock(name)
	lock.Lock()
	defer lock.Unlock()
	var endExclusions []func()
	switch fault.Kind {
	case EndpointDrain:
		f.putEndpoint(e, true)
		endExclusions = append(endExclusions, f.record.BeginExclusion(Exclusion{Endpoint: e.number, MaxDelay: maxDrainDelay}))
		defer f.putEndpoint(e, false)
	case EndpointGone:
		f.store.RemoveEntry(e.id())
		endExclusions = append(endExclusions, f.record.BeginExclusion(Exclusion{Endpoint: e.number, MaxDelay: maxDrainDelay}))
		defer f.putEndpoint(e, false)
	case Evacuate:
		f.store.Evacuate(e.domain)
		for _, other := range f.endpoints {
			if other.domain == e.domain {
				endExclusions = append(endExclusions, f.record.BeginExclusion(Exclusion{Endpoint: other.number, MaxDelay: maxEvacuationDelay}))
			}
		}
		defer f.store.CancelEvacuation(e.domain)
	default:
		f.configure(f.routesWithoutToggled())
		endExclusions = append(endExclusions, f.record.BeginExclusion(Exclusion{Route: routeToggled, MaxDelay: maxConfigDelay}))
		defer f.configure(f.routes)
	}
	time.Sleep(fault.Duration)
	for _, end := range endExclusions {
		end()
	}
}
