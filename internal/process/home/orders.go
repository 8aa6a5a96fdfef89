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
	roundInterval   = 2 * time.Second
	readTimeout     = 2 * time.Second
	parallelReads   = 16
	minOrderTimeout = 100 * time.Millisecond
)

// Engines are the calls to endpoints that orders need; engine.Client has them.
type Engines interface {
	State(ctx context.Context, address string) (engine.State, error)
	Load(ctx context.Context, address string) (engine.Load, error)
	Order(ctx context.Context, address string, order engine.Order) (engine.State, error)
}

// OrdersOptions are what Orders needs.
type OrdersOptions struct {
	Manager *Manager
	Engines Engines
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
	given   metrics.Counter
	failed  metrics.Counter

	mu sync.Mutex
	// watched holds what was seen of endpoints between rounds.
	watched map[string]watch
}

// watch is what was seen of one endpoint.
type watch struct {
	unfitSince time.Time
	busySince  time.Time
	// hasStep tells that a step for the endpoint is under way.
	hasStep bool
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
		given:   metrics.GetOrRegisterCounter("orders.given", registry),
		failed:  metrics.GetOrRegisterCounter("orders.failed", registry),
		watched: map[string]watch{},
	}
}

// Run looks at the endpoints in rounds until the context ends.
func (o *Orders) Run(ctx context.Context) error {
	var group errgroup.Group
	group.SetLimit(parallelReads)
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-ticker.C:
			o.round(ctx, &group)
		}
	}
}

// round starts a step for every engine whose home this host is and for which
// none is under way.
func (o *Orders) round(ctx context.Context, group *errgroup.Group) {
	b := o.options.Bundle()
	if b == nil {
		return
	}
	for _, endpoint := range engines(b) {
		if !o.begin(endpoint.Name) {
			continue
		}
		started := group.TryGo(func() error {
			defer o.end(endpoint.Name)
			o.step(ctx, endpoint, b.WeightLoadsPerMinute)
			return nil
		})
		if !started {
			o.end(endpoint.Name)
		}
	}
}

// engines gives the endpoints that take orders.
func engines(b *bundle.Bundle) []bundle.Endpoint {
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

// begin notes a step and reports whether it may be taken. What was seen of an
// endpoint is forgotten when its home moves.
func (o *Orders) begin(endpoint string) bool {
	_, held := o.options.Manager.Lease(endpoint)
	o.mu.Lock()
	defer o.mu.Unlock()
	seen := o.watched[endpoint]
	if seen.hasStep {
		return false
	}
	if !held {
		delete(o.watched, endpoint)
		return false
	}
	seen.hasStep = true
	o.watched[endpoint] = seen
	return true
}

func (o *Orders) end(endpoint string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen := o.watched[endpoint]
	seen.hasStep = false
	o.watched[endpoint] = seen
}

// step reads an endpoint's state back and takes the step that follows.
func (o *Orders) step(ctx context.Context, endpoint bundle.Endpoint, perMinute float64) {
	observation, ok := o.observe(ctx, endpoint)
	if !ok {
		return
	}
	decision := Decide(observation)
	switch decision.Step {
	case StepNone:
		o.setUnfit(endpoint.Name, false)
	case StepWithdraw:
		o.setUnfit(endpoint.Name, true)
	case StepOrder:
		o.order(ctx, endpoint, decision.Order, perMinute)
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
	seen := o.note(endpoint.Name, state)
	return Observation{
		Endpoint:   endpoint,
		State:      state,
		Idle:       load.Running+load.Waiting == 0 && isFresh(load, seen.unfitSince),
		Lease:      lease,
		UnfitSince: seen.unfitSince,
		BusySince:  seen.busySince,
		Now:        time.Now(),
	}, true
}

// isFresh reports whether a load report was made after a time.
func isFresh(load engine.Load, since time.Time) bool {
	made := time.Now().Add(-time.Duration(load.AgeMillis) * time.Millisecond)
	return made.After(since)
}

// note notes since when an endpoint has not been ready.
func (o *Orders) note(endpoint string, state engine.State) watch {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen := o.watched[endpoint]
	if state.Ready {
		seen.busySince = time.Time{}
	} else if seen.busySince.IsZero() {
		seen.busySince = time.Now()
	}
	o.watched[endpoint] = seen
	return seen
}

// setUnfit tells all hosts whether an endpoint may get new requests.
func (o *Orders) setUnfit(endpoint string, unfit bool) {
	o.mu.Lock()
	seen := o.watched[endpoint]
	switch {
	case !unfit:
		seen.unfitSince = time.Time{}
	case seen.unfitSince.IsZero():
		seen.unfitSince = time.Now()
	}
	o.watched[endpoint] = seen
	o.mu.Unlock()
	o.options.Manager.SetUnfit(endpoint, unfit)
}

// order gives an order once it is this host's turn at the weight store and if
// it is still the endpoint's home then. Whatever comes of it, the next round
// reads the endpoint's state back.
func (o *Orders) order(ctx context.Context, endpoint bundle.Endpoint, order engine.Order, perMinute float64) {
	if usesWeights(order.Kind) {
		if err := o.options.Manager.Turn(ctx, perMinute); err != nil {
			return
		}
	}
	lease, held := o.options.Manager.Lease(endpoint.Name)
	if !held || lease.Fence != order.FencingToken || !o.isWanted(endpoint) {
		return
	}
	timeout := min(orderTimeout, time.Until(lease.Until))
	if timeout < minOrderTimeout {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := o.options.Engines.Order(ctx, endpoint.Address, order)
	o.given.Inc(1)
	if err != nil {
		o.failed.Inc(1)
	}
	o.options.Observe(OrderResult{Endpoint: endpoint.Name, Order: order, Err: err})
}

// isWanted reports whether the bundle in force still has the endpoint as it is.
func (o *Orders) isWanted(endpoint bundle.Endpoint) bool {
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
