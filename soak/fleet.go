package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"mustarddoor/platform/standin"
)

// zones are the failure domains of the endpoints, in turn.
var zones = []string{"z1", "z2"}

// fleet is what a run consists of.
type fleet struct {
	lifetime  *lifetime
	record    *Record
	store     *standin.Store
	hosts     []*host
	endpoints []*endpoint

	// mu guards the configuration that is in force.
	mu      sync.Mutex
	config  map[string]any
	routes  []any
	version int
	// storeFaults are the faults of the store that hold.
	storeFaults map[*standin.StoreFaults]struct{}
	// orders holds back an order for as long as an earlier one of the same
	// name goes on.
	orders map[string]*sync.Mutex
}

// lifetime ends stand-ins with a run. It implements standin.Lifetime.
type lifetime struct {
	calls []func()
}

func (*lifetime) Helper() {}

// Fatal ends the run; the stand-ins call it only if loopback is not usable.
func (*lifetime) Fatal(args ...any) { panic(fmt.Sprint(args...)) }

func (l *lifetime) Cleanup(call func()) { l.calls = append(l.calls, call) }

func (l *lifetime) end() {
	for _, call := range slices.Backward(l.calls) {
		call()
	}
}

// newFleet starts the stand-ins and the hosts, and waits until these are ready.
func newFleet(ctx context.Context, options Options) (*fleet, error) {
	f := &fleet{lifetime: &lifetime{}, record: NewRecord(), storeFaults: map[*standin.StoreFaults]struct{}{}, orders: map[string]*sync.Mutex{}}
	f.store = standin.NewStore(f.lifetime)
	f.config = standin.Config(service)
	f.routes = f.config["routes"].([]any)
	f.configure(f.routes)
	for n := range options.Size.Endpoints {
		if err := f.addEndpoint(n); err != nil {
			return f, err
		}
	}
	for n := range options.Size.Hosts {
		if err := f.addHost(n, options); err != nil {
			return f, err
		}
	}
	for _, h := range f.hosts {
		if err := h.start(f.settings(h)); err != nil {
			return f, err
		}
	}
	for _, h := range f.hosts {
		if err := h.waitReady(ctx); err != nil {
			return f, err
		}
	}
	return f, nil
}

// proxy starts a proxy that ends with the run.
func (f *fleet) proxy(target string) (*Proxy, error) {
	proxy, err := NewProxy(target)
	if err != nil {
		return nil, eris.Wrapf(err, "proxy of %s", target)
	}
	f.lifetime.Cleanup(proxy.Close)
	return proxy, nil
}

func (f *fleet) addEndpoint(n int) error {
	e := &endpoint{number: n, zone: zones[n%len(zones)], record: f.record}
	e.worker = standin.NewWorker(f.lifetime, e.id(), e.serve)
	var err error
	if e.proxy, err = f.proxy(e.worker.Address); err != nil {
		return err
	}
	f.endpoints = append(f.endpoints, e)
	f.list(e, false)
	return nil
}

// list writes an endpoint's entry.
func (f *fleet) list(e *endpoint, isDraining bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.store.PutEntry(e.id(), standin.WorkerEntry{
		Service: service, Address: e.proxy.Address, Zone: e.zone, Sequence: f.version, Draining: isDraining,
	})
}

// applyStore adds a fault to those of the store, until the returned function is
// called.
func (f *fleet) applyStore(fault standin.StoreFaults) (end func()) {
	f.changeStore(func() { f.storeFaults[&fault] = struct{}{} })
	return func() { f.changeStore(func() { delete(f.storeFaults, &fault) }) }
}

func (f *fleet) changeStore(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	all := standin.StoreFaults{}
	for fault := range f.storeFaults {
		all.Status = max(all.Status, fault.Status)
		all.Silent = all.Silent || fault.Silent
		all.DropReplies = all.DropReplies || fault.DropReplies
	}
	f.store.SetFaults(all)
}

// order is what the faults of one name hold while they go on.
func (f *fleet) order(name string) *sync.Mutex {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.orders[name] == nil {
		f.orders[name] = &sync.Mutex{}
	}
	return f.orders[name]
}

// configure writes a new version with some routes.
func (f *fleet) configure(routes []any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.config["routes"] = routes
	f.store.Configure(f.config, f.version)
}

// withoutToggled are the routes without the one that comes and goes.
func (f *fleet) withoutToggled() []any {
	return slices.DeleteFunc(slices.Clone(f.routes), func(route any) bool {
		return route.(map[string]any)["name"] == routeToggled
	})
}

func (f *fleet) addHost(n int, options Options) error {
	h := &host{number: n, ip: newAddress(), program: options.Program, dir: options.Dir, record: f.record}
	var err error
	if h.store, err = f.proxy(f.store.Address); err != nil {
		return err
	}
	if h.front, err = f.proxy(h.ip + ":" + standin.FrontendPort); err != nil {
		return err
	}
	f.hosts = append(f.hosts, h)
	return nil
}

func (f *fleet) settings(h *host) string {
	return standin.HostSettings(h.ip, seedsOf(f.hosts), h.store.Address)
}

// callers are the callers of a run.
func (f *fleet) callers(options Options) []*caller {
	var fronts []string
	for _, h := range f.hosts {
		fronts = append(fronts, h.front.Address)
	}
	var callers []*caller
	for n := range options.Size.Callers {
		random := rand.New(rand.NewPCG(options.Seed, uint64(n)))
		callers = append(callers, &caller{number: n, fronts: fronts, random: random, record: f.record})
	}
	return callers
}

// close ends what is left of the fleet.
func (f *fleet) close() {
	for _, h := range f.hosts {
		if h.starts > 0 {
			_ = h.kill() // a process that has ended is what is wanted
		}
	}
	f.lifetime.end()
}
