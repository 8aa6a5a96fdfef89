package soak

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"mustarddoor/platform/standin"
)

// linkDelay is the delay of each piece on a slow connection.
const linkDelay = 50 * time.Millisecond

// linkPart is whose connections a fault concerns.
type linkPart int

const (
	partFront linkPart = iota + 1
	partStore
	partEndpoint
)

// linkFaults are the faults of connections: those with a mode last for a time.
var linkFaults = map[Kind]struct {
	part    linkPart
	mode    Mode
	isReset bool
}{
	FrontDelay:    {part: partFront, mode: Mode{Delay: linkDelay}},
	FrontCutIn:    {part: partFront, mode: Mode{HoldIn: true}},
	FrontCutOut:   {part: partFront, mode: Mode{HoldOut: true}},
	FrontReset:    {part: partFront, isReset: true},
	StoreCutIn:    {part: partStore, mode: Mode{HoldIn: true}},
	StoreCutOut:   {part: partStore, mode: Mode{HoldOut: true}},
	StoreReset:    {part: partStore, isReset: true},
	EndpointDelay: {part: partEndpoint, mode: Mode{Delay: linkDelay}},
	EndpointMute:  {part: partEndpoint, mode: Mode{HoldOut: true}},
	EndpointReset: {part: partEndpoint, isReset: true},
	EndpointCrash: {part: partEndpoint, mode: Mode{Refuse: true}, isReset: true},
}

// storeFaults are the faults of the store itself.
var storeFaults = map[Kind]standin.StoreFaults{
	LogRefuses: {Status: http.StatusServiceUnavailable},
	LogSilent:  {Silent: true},
	LogLoses:   {DropReplies: true},
}

// inject carries out one fault and returns when it is over.
func (f *fleet) inject(ctx context.Context, fault Fault) {
	h := f.hosts[fault.Target%len(f.hosts)]
	e := f.endpoints[fault.Target%len(f.endpoints)]
	switch fault.Kind {
	case HostKill, HostStop, HostReload:
		f.injectLife(ctx, h, fault)
	case HostPause:
		defer f.record.Disturb(Scope{ScopeHost, h.number}, false)()
		f.signal(h, syscall.SIGSTOP)
		time.Sleep(fault.For)
		f.signal(h, syscall.SIGCONT)
	case EndpointSlow:
		defer f.record.Disturb(Scope{ScopeEndpoint, e.number}, false)()
		e.isSlow.Store(true)
		time.Sleep(fault.For)
		e.isSlow.Store(false)
	case LogRefuses, LogSilent, LogLoses:
		defer f.record.Disturb(Scope{Kind: ScopeStore}, false)()
		end := f.applyStore(storeFaults[fault.Kind])
		time.Sleep(fault.For)
		end()
	case LogTrims:
		f.store.TrimAll()
	case EndpointDrain, Configure, Evacuate:
		f.injectOrder(e, fault)
	default:
		f.injectLink(h, e, fault)
	}
}

// injectLink harms connections.
func (f *fleet) injectLink(h *host, e *endpoint, fault Fault) {
	link := linkFaults[fault.Kind]
	proxy, scope := h.front, Scope{ScopeHost, h.number}
	switch link.part {
	case partStore:
		proxy = h.store
	case partEndpoint:
		proxy, scope = e.proxy, Scope{ScopeEndpoint, e.number}
	}
	defer f.record.Disturb(scope, false)()
	end := proxy.Apply(link.mode)
	if link.isReset {
		proxy.Reset()
	}
	time.Sleep(fault.For)
	end()
}

// injectLife ends a host's process, or makes it read its settings again. The
// host is disturbed until it is ready.
func (f *fleet) injectLife(ctx context.Context, h *host, fault Fault) {
	h.life.Lock()
	defer h.life.Unlock()
	defer f.record.Disturb(Scope{ScopeHost, h.number}, fault.Kind != HostKill)()
	switch fault.Kind {
	case HostReload:
		f.signal(h, syscall.SIGHUP)
		return
	case HostStop:
		f.record.Stopped(h.stop())
	default:
		if err := h.kill(); err != nil {
			f.record.EndedByItself(fmt.Sprintf("host %d cannot be killed: %v", h.number, err))
		}
	}
	time.Sleep(fault.For)
	if err := h.start(f.settings(h)); err != nil {
		f.record.EndedByItself(fmt.Sprintf("host %d does not start: %v", h.number, err))
		return
	}
	// Without the store it may take longer; the end of the run asks again.
	_ = h.waitReady(ctx)
}

// signal sends a signal to a host.
func (f *fleet) signal(h *host, signal syscall.Signal) {
	if err := h.signal(signal); err != nil {
		f.record.EndedByItself(fmt.Sprintf("host %d does not take %v: %v", h.number, signal, err))
	}
}

// injectOrder gives an order and takes it back later. Its bound begins once
// the store has it.
func (f *fleet) injectOrder(e *endpoint, fault Fault) {
	name := string(fault.Kind)
	if fault.Kind == EndpointDrain {
		name += e.id()
	}
	order := f.order(name)
	order.Lock()
	defer order.Unlock()
	var ends []func()
	switch fault.Kind {
	case EndpointDrain:
		f.list(e, true)
		ends = append(ends, f.record.Bar(Barred{Endpoint: e.number, Bound: drainBound}))
		defer f.list(e, false)
	case Evacuate:
		f.store.Evacuate(e.zone)
		for _, other := range f.endpoints {
			if other.zone == e.zone {
				ends = append(ends, f.record.Bar(Barred{Endpoint: other.number, Bound: evacuationBound}))
			}
		}
		defer f.store.CancelEvacuation(e.zone)
	default:
		f.configure(f.withoutToggled())
		ends = append(ends, f.record.Bar(Barred{Route: routeToggled, Bound: configBound}))
		defer f.configure(f.routes)
	}
	time.Sleep(fault.For)
	for _, end := range ends {
		end()
	}
}
