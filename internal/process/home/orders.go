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

// Times and bounds of the rounds in which endpoints are looked at.
const (
	roundInterval    = 2 * time.Second
	readTimeout      = 2 * time.Second
	maxParallelSteps = 16
	minOrderTimeout  = 100 * time.Millisecond
)

// EngineClient are the calls to endpoints that orders need; engine.Client has them.
type EngineClient interface {
	State(ctx context.Context, address string) (engine.State, error)
	Load(ctx context.Context, address string) (engine.Load, error)
	Order(ctx context.Context, address string, order engine.Order) (engine.State, error)
}

// OrdersOptions are what Orders needs.
type OrdersOptions struct {
	Manager *Manager
	Engines EngineClient
	// Bundle gives the bundle in force, or nil before the first.
	Bundle  func() *bundle.Bundle
	Metrics metrics.Registry
	// Observe is told of every order sent; nil for no observer.
	Observe func(OrderResult)
}

// OrderResult is an order that was sent to an endpoint.
type OrderResult struct {
	Endpoint string
	Order    engine.Order
	// Err is nil if the endpoint acknowledged it. Otherwise the endpoint's
	// state is read back before anything else is done.
	Err error
}

// Orders brings the engines whose home this host is to what the bundle wants.
type Orders struct {
	options OrdersOptions
	sent    metrics.Counter
	failed  metrics.Counter

	mu sync.Mutex
	// tracked holds what was seen of endpoints between rounds.
	tracked map[string]trackedEndpoint
}

// trackedEndpoint is what was seen of one endpoint.
type trackedEndpoint struct {
	excludedSince time.Time
	notReadySince time.Time
	// stepRunning tells that a step for the endpoint is under way.
	stepRunning bool
}

// NewOrders gives the orders of a host.
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

// Run looks at the endpoints in rounds until the context ends.
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

// startSteps starts a step for every engine whose home this host is and for which
// none is under way.
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

// engineEndpoints gives the endpoints that take orders.
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

// beginStep notes a step and reports whether it may be taken. What was seen of an
// endpoint is forgotten when its home moves.
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

// runStep reads an endpoint's state back and takes the runStep that follows.
func (o *Orders) runStep(ctx context.Context, endpoint bundle.Endpoint, perMinute float64) {
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
		o.sendOrder(ctx, endpoint, decision.Order, perMinute)
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

// isNewerThan reports whether a load report was made after a time.
func isNewerThan(load engine.Load, since time.Time) bool {
	made := time.Now().Add(-time.Duration(load.AgeMillis) * time.Millisecond)
	return made.After(since)
}

// recordReadiness notes since when an endpoint has not been ready.
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

// setExcluded tells all hosts whether an endpoint may get new requests.
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

// sendOrder gives an sendOrder once it is this host's turn at the weight store and if
// it is still the endpoint's home then. Whatever comes of it, the next round
// reads the endpoint's state back.
func (o *Orders) sendOrder(ctx context.Context, endpoint bundle.Endpoint, order engine.Order, perMinute float64) {
	if readsWeightStore(order.Kind) {
		if err := o.options.Manager.WaitForLoad(ctx, perMinute); err != nil {
			return
		}
	}
	lease, held := o.options.Manager.Lease(endpoint.Name)
	if !held || lease.Fence != order.Fence || !o.isCurrent(endpoint) {
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

// isCurrent reports whether the bundle in force still has the endpoint as it is.
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
