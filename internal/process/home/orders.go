package home

import (
	"context"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"mustarddoor/internal/connection/engine"
	"mustarddoor/internal/version/bundle"
)

// Times and bounds of the rounds in which Orders checks the endpoints.
const (
	roundInterval    = 2 * time.Second
	readTimeout      = 2 * time.Second
	maxParallelSteps = 16
	minOrderTimeout  = 100 * time.Millisecond
)

// EngineClient makes the calls to endpoints that Orders needs. engine.Client
// implements it.
type EngineClient interface {
	State(ctx context.Context, address string) (engine.State, error)
	Load(ctx context.Context, address string) (engine.Load, error)
	Order(ctx context.Context, address string, order engine.Order) (engine.State, error)
}

// OrdersOptions are the dependencies of Orders.
type OrdersOptions struct {
	Manager *Manager
	Engines EngineClient
	// Bundle returns the bundle in force, or nil before the first.
	Bundle  func() *bundle.Bundle
	Metrics metrics.Registry
	// Observe is called for every order sent; it may be nil.
	Observe func(OrderResult)
}

// OrderResult is the result of an order sent to an endpoint.
type OrderResult struct {
	Endpoint string
	Order    engine.Order
	// Err is nil if the endpoint acknowledged the order. Otherwise the outcome
	// is unknown, and the endpoint's state is read before the next step.
	Err error
}

// Orders sends orders to the engines whose home this host is, until they run
// what the bundle specifies.
type Orders struct {
	options OrdersOptions
	sent    metrics.Counter
	failed  metrics.Counter

	mu sync.Mutex
	// tracked holds the state that is kept for each endpoint between rounds.
	tracked map[string]trackedEndpoint
}

// trackedEndpoint is the state kept for one endpoint.
type trackedEndpoint struct {
	excludedSince time.Time
	notReadySince time.Time
	// stepRunning is set while a step for the endpoint is running.
	stepRunning bool
}

// NewOrders returns the Orders of a host.
func NewOrders(options OrdersOptions) *Orders {
	if options.Observe == nil {
		options.Observe = func(OrderResult) {}
	}
	registry := options.Metrics
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	return &Orders{
		options: options,
		sent:    metrics.GetOrRegisterCounter("orders.given", registry),
		failed:  metrics.GetOrRegisterCounter("orders.failed", registry),
		tracked: map[string]trackedEndpoint{},
	}
}

// Run checks the endpoints in rounds until the context ends.
func (o *Orders) Run(ctx context.Context) error {
	var group errgroup.Group
	group.SetLimit(maxParallelSteps)
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-ticker.C:
			o.startSteps(ctx, &group)
		}
	}
}

// startSteps starts a step for every engine whose home this host is and that
// has no step running.
func (o *Orders) startSteps(ctx context.Context, group *errgroup.Group) {
	b := o.options.Bundle()
	if b == nil {
		return
	}
	for _, endpoint := range engineEndpoints(b) {
		if !o.beginStep(endpoint.Name) {
			continue
		}
		started := group.TryGo(func() error {
			defer o.endStep(endpoint.Name)
			o.runStep(ctx, endpoint, b.WeightLoadsPerMinute)
			return nil
		})
		if !started {
			o.endStep(endpoint.Name)
		}
	}
}

// engineEndpoints returns the endpoints of engine services, which take orders.
func engineEndpoints(b *bundle.Bundle) []bundle.Endpoint {
	kinds := map[string]bundle.Kind{}
	for _, service := range b.Services {
		kinds[service.Name] = service.Kind
	}
	list := []bundle.Endpoint{}
	for _, endpoint := range b.Endpoints {
		if kinds[endpoint.Service] == bundle.KindEngine {
			list = append(list, endpoint)
		}
	}
	return list
}

// beginStep marks a step as running and reports whether it may run. The state
// kept for an endpoint is dropped once this host is no longer its home.
func (o *Orders) beginStep(endpoint string) bool {
	_, held := o.options.Manager.Lease(endpoint)
	o.mu.Lock()
	defer o.mu.Unlock()
	endpointState := o.tracked[endpoint]
	if endpointState.stepRunning {
		return false
	}
	if !held {
		delete(o.tracked, endpoint)
		return false
	}
	endpointState.stepRunning = true
	o.tracked[endpoint] = endpointState
	return true
}

func (o *Orders) endStep(endpoint string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	endpointState := o.tracked[endpoint]
	endpointState.stepRunning = false
	o.tracked[endpoint] = endpointState
}

// runStep reads an endpoint's state and executes the step that Decide returns.
func (o *Orders) runStep(ctx context.Context, endpoint bundle.Endpoint, loadsPerMinute float64) {
	observation, ok := o.observe(ctx, endpoint)
	if !ok {
		return
	}
	decision := Decide(observation)
	switch decision.Step {
	case StepNone:
		o.setExcluded(endpoint.Name, false)
	case StepExclude:
		o.setExcluded(endpoint.Name, true)
	case StepOrder:
		o.sendOrder(ctx, endpoint, decision.Order, loadsPerMinute)
	}
}

// observe reads an endpoint's state and load.
func (o *Orders) observe(ctx context.Context, endpoint bundle.Endpoint) (Observation, bool) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	state, err := o.options.Engines.State(ctx, endpoint.Address)
	if err != nil {
		return Observation{}, false
	}
	load, err := o.options.Engines.Load(ctx, endpoint.Address)
	if err != nil {
		return Observation{}, false
	}
	lease, held := o.options.Manager.Lease(endpoint.Name)
	if !held {
		return Observation{}, false
	}
	endpointState := o.recordReadiness(endpoint.Name, state)
	return Observation{
		Endpoint:      endpoint,
		State:         state,
		Idle:          load.Running+load.Waiting == 0 && isNewerThan(load, endpointState.excludedSince),
		Lease:         lease,
		ExcludedSince: endpointState.excludedSince,
		NotReadySince: endpointState.notReadySince,
		Now:           time.Now(),
	}, true
}

// isNewerThan reports whether a load report was made after the given time.
func isNewerThan(load engine.Load, since time.Time) bool {
	made := time.Now().Add(-time.Duration(load.AgeMillis) * time.Millisecond)
	return made.After(since)
}

// recordReadiness updates the time since which an endpoint has not been ready.
func (o *Orders) recordReadiness(endpoint string, state engine.State) trackedEndpoint {
	o.mu.Lock()
	defer o.mu.Unlock()
	endpointState := o.tracked[endpoint]
	if state.Ready {
		endpointState.notReadySince = time.Time{}
	} else if endpointState.notReadySince.IsZero() {
		endpointState.notReadySince = time.Now()
	}
	o.tracked[endpoint] = endpointState
	return endpointState
}

// setExcluded publishes to all hosts whether an endpoint is excluded from new
// requests.
func (o *Orders) setExcluded(endpoint string, excluded bool) {
	o.mu.Lock()
	endpointState := o.tracked[endpoint]
	switch {
	case !excluded:
		endpointState.excludedSince = time.Time{}
	case endpointState.excludedSince.IsZero():
		endpointState.excludedSince = time.Now()
	}
	o.tracked[endpoint] = endpointState
	o.mu.Unlock()
	o.options.Manager.SetExcluded(endpoint, excluded)
}

// sendOrder waits for the weight store's rate limit and sends an order if this
// host still holds the lease then. Whatever the outcome, the next round reads
// the endpoint's state again.
func (o *Orders) sendOrder(ctx context.Context, endpoint bundle.Endpoint, order engine.Order, loadsPerMinute float64) {
	if readsWeightStore(order.Kind) {
		if err := o.options.Manager.WaitForLoad(ctx, loadsPerMinute); err != nil {
			return
		}
	}
	lease, held := o.options.Manager.Lease(endpoint.Name)
	if !held || lease.Fence != order.FencingToken || !o.isCurrent(endpoint) {
		return
	}
	timeout := min(orderTimeout, time.Until(lease.Until))
	if timeout < minOrderTimeout {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := o.options.Engines.Order(ctx, endpoint.Address, order)
	o.sent.Inc(1)
	if err != nil {
		o.failed.Inc(1)
	}
	o.options.Observe(OrderResult{Endpoint: endpoint.Name, Order: order, Err: err})
}

// isCurrent reports whether the bundle in force still has the endpoint
// unchanged.
func (o *Orders) isCurrent(endpoint bundle.Endpoint) bool {
	b := o.options.Bundle()
	if b == nil {
		return false
	}
	for _, current := range b.Endpoints {
		if current.Name == endpoint.Name {
			return current.Version == endpoint.Version && current.Address == endpoint.Address &&
				current.Model == endpoint.Model && current.Role == endpoint.Role
		}
	}
	return false
}
