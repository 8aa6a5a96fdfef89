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

// domains are the failure domains of the endpoints, in turn.
var domains = []string{"z1", "z2"}

// fleet is what a run consists of.
type fleet struct {
	lifetime  *lifetime
	record    *Recorder
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
	// orderLocks holds back an order for as long as an earlier one of the same
	// name goes on.
	orderLocks map[string]*sync.Mutex
}

// lifetime ends stand-ins with a run. It implements standin.Lifetime.
type lifetime struct {
	cleanups []func()
}

func (*lifetime) Helper() {}

// Fatal ends the run; the stand-ins call it only if loopback is not usable.
func (*lifetime) Fatal(args ...any) { panic(fmt.Sprint(args...)) }

func (l *lifetime) Cleanup(cleanup func()) { l.cleanups = append(l.cleanups, cleanup) }

func (l *lifetime) runCleanups() {
	for _, cleanup := range slices.Backward(l.cleanups) {
		cleanup()
	}
}

// newFleet starts the stand-ins and the hosts, and waits until these are ready.
func newFleet(ctx context.Context, options Options) (*fleet, error) {
	f := &fleet{lifetime: &lifetime{}, record: NewRecorder(), storeFaults: map[*standin.StoreFaults]struct{}{}, orderLocks: map[string]*sync.Mutex{}}
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

// newProxy starts a newProxy that ends with the run.
func (f *fleet) newProxy(target string) (*Proxy, error) {
	proxy, err := NewProxy(target)
	if err != nil {
		return nil, eris.Wrapf(err, "proxy of %s", target)
	}
	f.lifetime.Cleanup(proxy.Close)
	return proxy, nil
}

func (f *fleet) addEndpoint(n int) error {
	e := &endpoint{number: n, domain: domains[n%len(domains)], record: f.record}
	e.worker = standin.NewWorker(f.lifetime, e.id(), e.serve)
	var err error
	if e.proxy, err = f.newProxy(e.worker.Address); err != nil {
		return err
	}
	f.endpoints = append(f.endpoints, e)
	f.putEndpoint(e, false)
	return nil
}

// putEndpoint writes an endpoint's entry.
func (f *fleet) putEndpoint(e *endpoint, isDraining bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.store.PutEntry(e.id(), standin.WorkerEntry{
		Service: service, Address: e.proxy.Address, Zone: e.domain, Sequence: f.version, Draining: isDraining,
	})
}

// applyStoreFault adds a fault to those of the store, until the returned function is
// called.
func (f *fleet) applyStoreFault(fault standin.StoreFaults) (end func()) {
	f.updateStoreFaults(func() { f.storeFaults[&fault] = struct{}{} })
	return func() { f.updateStoreFaults(func() { delete(f.storeFaults, &fault) }) }
}

func (f *fleet) updateStoreFaults(update func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	update()
	combined := standin.StoreFaults{}
	for fault := range f.storeFaults {
		combined.Status = max(combined.Status, fault.Status)
		combined.Silent = combined.Silent || fault.Silent
		combined.DropResponses = combined.DropResponses || fault.DropResponses
	}
	f.store.SetFaults(combined)
}

// orderLock is what the faults of one name hold while they go on.
func (f *fleet) orderLock(name string) *sync.Mutex {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.orderLocks[name] == nil {
		f.orderLocks[name] = &sync.Mutex{}
	}
	return f.orderLocks[name]
}

// configure writes a new version with some routes.
func (f *fleet) configure(routes []any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.config["routes"] = routes
	f.store.Configure(f.config, f.version)
}

// routesWithoutToggled are the routes without the one that comes and goes.
func (f *fleet) routesWithoutToggled() []any {
	return slices.DeleteFunc(slices.Clone(f.routes), func(route any) bool {
		return route.(map[string]any)["name"] == routeToggled
	})
}

func (f *fleet) addHost(n int, options Options) error {
	h := &host{number: n, ip: newLoopbackAddress(), program: options.Program, dir: options.Dir, record: f.record}
	var err error
	if h.store, err = f.newProxy(f.store.Address); err != nil {
		return err
	}
	if h.frontend, err = f.newProxy(h.ip + ":" + standin.FrontendPort); err != nil {
		return err
	}
	f.hosts = append(f.hosts, h)
	return nil
}

func (f *fleet) settings(h *host) string {
	return standin.HostSettings(h.ip, seedAddresses(f.hosts), h.store.Address)
}

// newCallers are the newCallers of a run.
func (f *fleet) newCallers(options Options) []*caller {
	var frontends []string
	for _, h := range f.hosts {
		frontends = append(frontends, h.frontend.Address)
	}
	var callers []*caller
	for n := range options.Size.Callers {
		rng := rand.New(rand.NewPCG(options.Seed, uint64(n)))
		callers = append(callers, &caller{number: n, frontends: frontends, random: rng, record: f.record})
	}
	return callers
}

// close ends what is left of the fleet.
func (f *fleet) close() {
	for _, h := range f.hosts {
		if h.startCount > 0 {
			_ = h.kill() // a process that has ended is what is wanted
		}
	}
	f.lifetime.runCleanups()
}
