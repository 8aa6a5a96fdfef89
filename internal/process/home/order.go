package home

import (
	"slices"
	"strconv"
	"time"

	"mustarddoor/internal/connection/engine"
	"mustarddoor/internal/version/bundle"
)

// Times of orders.
const (
	// orderTimeout bounds the call that gives an order.
	orderTimeout = 5 * time.Second
	// loadPatience is how long an endpoint that is not ready is taken to carry
	// an order out.
	loadPatience = 10 * time.Minute
	// drainMin is how long an endpoint stands out of service, for all hosts to
	// hear of it, before it gets an order.
	drainMin = 3 * time.Second
)

// Observation is what is known of an endpoint when the next step is decided.
type Observation struct {
	Endpoint bundle.Endpoint
	State    engine.State
	// Idle tells that the endpoint runs no request, by its own report.
	Idle  bool
	Lease Lease
	// UnfitSince is since when all hosts were told to leave the endpoint alone;
	// zero if they were not.
	UnfitSince time.Time
	// BusySince is since when the endpoint has not been ready; zero if it is.
	BusySince time.Time
	Now       time.Time
}

// Step is what to do about an endpoint next.
type Step int

// The steps.
const (
	// StepNone: the endpoint runs what the bundle wants.
	StepNone Step = iota
	// StepWithdraw: take the endpoint out of service.
	StepWithdraw
	// StepWait: an order, a request or an old lease may still be at work.
	StepWait
	// StepOrder: give the order.
	StepOrder
)

// Decision is a step and, for StepOrder, the order.
type Decision struct {
	Step  Step
	Order engine.Order
}

// Decide decides the next step for an endpoint from its state as just read
// back.
func Decide(o Observation) Decision {
	kind, value, needed := wanted(o.Endpoint, o.State)
	switch {
	case !needed:
		return Decision{Step: StepNone}
	case o.UnfitSince.IsZero():
		return Decision{Step: StepWithdraw}
	case !o.BusySince.IsZero() && o.Now.Sub(o.BusySince) < loadPatience:
		return Decision{Step: StepWait}
	case o.Now.Sub(o.UnfitSince) < drainMin || !o.Idle:
		return Decision{Step: StepWait}
	case !o.Endpoint.ChecksFencing && o.Now.Sub(o.Lease.Since) < orderTimeout:
		return Decision{Step: StepWait}
	}
	return Decision{Step: StepOrder, Order: engine.Order{
		ID:           orderID(o.Lease.Fence, kind, value),
		Kind:         kind,
		Value:        value,
		FencingToken: o.Lease.Fence,
	}}
}

// orderID names an order; a retry under the same lease has the same name.
func orderID(fence uint64, kind engine.OrderKind, value string) string {
	return strconv.FormatUint(fence, 10) + "-" + string(kind) + "-" + value
}

// wanted gives the first order that brings the endpoint to what the bundle
// wants, or false if it runs that.
func wanted(endpoint bundle.Endpoint, state engine.State) (engine.OrderKind, string, bool) {
	switch {
	case endpoint.Model != "" && endpoint.Model != state.Model:
		return engine.OrderLoadModel, endpoint.Model, true
	case endpoint.Version != state.Version:
		return engine.OrderLoadVersion, endpoint.Version, true
	case endpoint.Role != "" && endpoint.Role != state.Role:
		return engine.OrderChangeRole, endpoint.Role, true
	}
	for _, adapter := range endpoint.Adapters {
		if !slices.Contains(state.Adapters, adapter) {
			return engine.OrderLoadAdapter, adapter, true
		}
	}
	return "", "", false
}

// usesWeights reports whether an order reads from the weight store.
func usesWeights(kind engine.OrderKind) bool { return kind != engine.OrderChangeRole }
