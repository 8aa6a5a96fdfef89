package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"mustarddoor/platform/standin"
)

// domains are the failure domains, assigned to the endpoints in rotation.
var domains = []string{"z1", "z2"}

// fleet holds the hosts, the endpoints and the store of a run.
type fleet struct {
	lifetime  *lifetime
	record    *Recorder
	store     *standin.Store
	duties    *standin.Duties
	hosts     []*host
	endpoints []*endpoint
	// memoryMB is Size.MemoryMB.
	memoryMB int
	// crashesPrompts is set while some callers send prompts that crash endpoints.
	crashesPrompts atomic.Bool
	// followers counts the series of stops in which callers go on to the next host.
	followers atomic.Int32

	// mu guards the configuration in force and the fields below.
	mu      sync.Mutex
	config  map[string]any
	routes  []any
	version int
	// storeFaults are the active faults of the store.
	storeFaults map[*standin.StoreFaults]struct{}
	// orderLocks serializes the orders of the same name: an order waits until the
	// previous one is over.
	orderLocks map[string]*sync.Mutex
}

// lifetime cleans up the stand-ins at the end of a run. It implements
// standin.Lifetime.
type lifetime struct {
	cleanups []func()
}

func (*lifetime) Helper() {}

// Fatal panics. The stand-ins call it only if loopback is not usable.
func (*lifetime) Fatal(args ...any) { panic(fmt.Sprint(args...)) }

func (l *lifetime) Cleanup(cleanup func()) { l.cleanups = append(l.cleanups, cleanup) }

func (l *lifetime) runCleanups() {
	for _, cleanup := range slices.Backward(l.cleanups) {
		cleanup()
	}
}

// newFleet starts the stand-ins and the hosts, and waits until the hosts are ready.
func newFleet(ctx context.Context, options Options) (*fleet, error) {
	f := &fleet{memoryMB: options.Size.MemoryMB, lifetime: &lifetime{}, record: NewRecorder(), storeFaults: map[*standin.StoreFaults]struct{}{}, orderLocks: map[string]*sync.Mutex{}}
	f.store = standin.NewStore(f.lifetime)
	f.duties = standin.NewDuties(f.lifetime, dutyOptions)
	f.config = newConfig(options.Size.Routes)
	f.routes = f.config["routes"].([]any)
	f.configure(f.routes)
	for n := range options.Size.Endpoints {
		e, err := f.addEndpoint(n, service)
		if err != nil {
			return f, err
		}
		f.endpoints = append(f.endpoints, e)
	}
	if _, err := f.addEndpoint(options.Size.Endpoints, otherService); err != nil {
		return f, err
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

// newProxy starts a proxy that is closed at the end of the run.
func (f *fleet) newProxy(target string) (*Proxy, error) {
	proxy, err := NewProxy(target)
	if err != nil {
		return nil, eris.Wrapf(err, "proxy of %s", target)
	}
	f.lifetime.Cleanup(proxy.Close)
	return proxy, nil
}

func (f *fleet) addEndpoint(n int, service string) (*endpoint, error) {
	e := &endpoint{number: n, service: service, domain: domains[n%len(domains)], record: f.record}
	e.worker = standin.NewWorker(f.lifetime, e.id(), e.serve)
	var err error
	if e.proxy, err = f.newProxy(e.worker.Address); err != nil {
		return nil, err
	}
	f.putEndpoint(e, false)
	return e, nil
}

// putEndpoint writes an endpoint's entry to the store.
func (f *fleet) putEndpoint(e *endpoint, isDraining bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.store.PutEntry(e.id(), standin.WorkerEntry{
		Service: e.service, Address: e.proxy.Address, Zone: e.domain, Sequence: f.version, Draining: isDraining,
	})
}

// applyStoreFault adds a fault to the store until the returned function is called.
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
		combined.DropReplies = combined.DropReplies || fault.DropReplies
	}
	f.store.SetFaults(combined)
	f.duties.SetFaults(dutyFaults(combined))
}

// orderLock returns the lock that a fault holds while its order of the given name
// is in effect.
func (f *fleet) orderLock(name string) *sync.Mutex {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.orderLocks[name] == nil {
		f.orderLocks[name] = &sync.Mutex{}
	}
	return f.orderLocks[name]
}

// configure publishes a new version with the given routes.
func (f *fleet) configure(routes []any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.config["routes"] = routes
	f.publish()
}

// publishAgain publishes the routes in force as a new version.
func (f *fleet) publishAgain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publish()
}

// routesWithoutToggled returns the routes without the one that Configure removes.
func (f *fleet) routesWithoutToggled() []any {
	return slices.DeleteFunc(slices.Clone(f.routes), func(route any) bool {
		return route.(map[string]any)["name"] == routeToggled
	})
}

func (f *fleet) addHost(n int, options Options) error {
	h := &host{number: n, ip: newLoopbackAddress(), programs: options.Programs, dir: options.Dir, record: f.record}
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
	settings := standin.HostSettings(h.ip, seedAddresses(f.hosts), h.store.Address)
	if f.memoryMB > 0 {
		settings += fmt.Sprintf("limits.memoryMb=%d\n", f.memoryMB)
	}
	return standin.WithDuties(settings, f.duties.Address, dutyOptions)
}

// variantStream selects random numbers apart from those of the callers' other draws.
const variantStream = 0x76617269616e7473

// newCallers returns the callers of a run.
func (f *fleet) newCallers(options Options) []*caller {
	var frontends, direct []string
	for _, h := range f.hosts {
		frontends = append(frontends, h.frontend.Address)
		direct = append(direct, h.ip+":"+standin.FrontendPort)
	}
	var callers []*caller
	for n := range options.Size.Callers {
		rng := rand.New(rand.NewPCG(options.Seed, uint64(n)))
		callers = append(callers, &caller{
			number: n, frontends: frontends, direct: direct, random: rng, record: f.record, crashesPrompts: &f.crashesPrompts, followsNext: &f.followers,
			load: options.Load, variants: rand.New(rand.NewPCG(options.Seed^variantStream, uint64(n))),
		})
	}
	return callers
}

// close kills the remaining processes and cleans up the stand-ins.
func (f *fleet) close() {
	for _, h := range f.hosts {
		if h.startCount > 0 {
			_ = h.kill() // the process may have exited before
		}
	}
	f.lifetime.runCleanups()
}
