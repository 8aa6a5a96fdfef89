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

// inject carries out one fault and returns when it is over.
func (f *fleet) inject(ctx context.Context, fault Fault) {
	h := f.hosts[fault.Target%len(f.hosts)]
	e := f.endpoints[fault.Target%len(f.endpoints)]
	ofHost, ofEndpoint := Scope{ScopeHost, h.number}, Scope{ScopeEndpoint, e.number}
	switch fault.Kind {
	case HostKill, HostStop, HostReload:
		f.injectLife(ctx, h, fault)
	case HostPause:
		defer f.record.Disturb(ofHost, false)()
		f.signal(h, syscall.SIGSTOP)
		time.Sleep(fault.For)
		f.signal(h, syscall.SIGCONT)
	case FrontDelay:
		f.link(ofHost, h.front, Mode{Delay: linkDelay}, fault.For)
	case FrontCutIn:
		f.link(ofHost, h.front, Mode{HoldIn: true}, fault.For)
	case FrontCutOut:
		f.link(ofHost, h.front, Mode{HoldOut: true}, fault.For)
	case FrontReset:
		f.reset(ofHost, h.front)
	case StoreCutIn:
		f.link(ofHost, h.store, Mode{HoldIn: true}, fault.For)
	case StoreCutOut:
		f.link(ofHost, h.store, Mode{HoldOut: true}, fault.For)
	case StoreReset:
		f.reset(ofHost, h.store)
	case EndpointDelay:
		f.link(ofEndpoint, e.proxy, Mode{Delay: linkDelay}, fault.For)
	case EndpointMute:
		f.link(ofEndpoint, e.proxy, Mode{HoldOut: true}, fault.For)
	case EndpointReset:
		f.reset(ofEndpoint, e.proxy)
	case EndpointCrash:
		defer f.record.Disturb(ofEndpoint, false)()
		end := e.proxy.Apply(Mode{Refuse: true})
		e.proxy.Reset()
		time.Sleep(fault.For)
		end()
	case EndpointSlow:
		defer f.record.Disturb(ofEndpoint, false)()
		e.isSlow.Store(true)
		time.Sleep(fault.For)
		e.isSlow.Store(false)
	case LogRefuses:
		f.storeFault(standin.StoreFaults{Status: http.StatusServiceUnavailable}, fault.For)
	case LogSilent:
		f.storeFault(standin.StoreFaults{Silent: true}, fault.For)
	case LogLoses:
		f.storeFault(standin.StoreFaults{LoseAnswers: true}, fault.For)
	case LogTrims:
		f.store.Trim("keyed.op")
		f.store.Trim("keyed.servers")
	case EndpointDrain, Configure, Evacuate:
		f.injectOrder(e, fault)
	}
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

// link applies a mode for a time.
func (f *fleet) link(scope Scope, proxy *Proxy, mode Mode, lasts time.Duration) {
	defer f.record.Disturb(scope, false)()
	end := proxy.Apply(mode)
	time.Sleep(lasts)
	end()
}

func (f *fleet) reset(scope Scope, proxy *Proxy) {
	defer f.record.Disturb(scope, false)()
	proxy.Reset()
}

func (f *fleet) storeFault(fault standin.StoreFaults, lasts time.Duration) {
	defer f.record.Disturb(Scope{Kind: ScopeStore}, false)()
	end := f.applyStore(fault)
	time.Sleep(lasts)
	end()
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
		defer f.store.Return(e.zone)
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
