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
	// orderTimeout is the timeout of the call that sends an order.
	orderTimeout = 5 * time.Second
	// orderExecutionTimeout is how long an endpoint that isn't ready is assumed
	// to be executing an order.
	orderExecutionTimeout = 10 * time.Minute
	// minDrainTime is the minimum time between the exclusion of an endpoint and
	// an order to it, so that all hosts learn of the exclusion first.
	minDrainTime = 3 * time.Second
)

// Observation is the input of Decide: what is known of an endpoint.
type Observation struct {
	Endpoint bundle.Endpoint
	State    engine.State
	// Idle is set if the endpoint reports no running or waiting requests.
	Idle  bool
	Lease Lease
	// ExcludedSince is when this host published the endpoint's exclusion; zero
	// if it is not excluded.
	ExcludedSince time.Time
	// NotReadySince is since when the endpoint has not been ready; zero if it
	// is ready.
	NotReadySince time.Time
	Now           time.Time
}

// Step is the next action for an endpoint.
type Step int

// Steps that Decide returns.
const (
	// StepNone: the endpoint runs what the bundle specifies.
	StepNone Step = iota
	// StepExclude: exclude the endpoint from new requests.
	StepExclude
	// StepWait: an order, a request or an order under an earlier lease may
	// still be running.
	StepWait
	// StepOrder: send the order.
	StepOrder
)

// Decision is a step and, for StepOrder, the order to send.
type Decision struct {
	Step  Step
	Order engine.Order
}

// Decide returns the next step for an endpoint from its state, which was just
// read.
func Decide(o Observation) Decision {
	kind, value, needed := requiredOrder(o.Endpoint, o.State)
	switch {
	case !needed:
		return Decision{Step: StepNone}
	case o.ExcludedSince.IsZero():
		return Decision{Step: StepExclude}
	case !o.NotReadySince.IsZero() && o.Now.Sub(o.NotReadySince) < orderExecutionTimeout:
		return Decision{Step: StepWait}
	case o.Now.Sub(o.ExcludedSince) < minDrainTime || !o.Idle:
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

// orderID identifies an order; a retry under the same lease has the same ID.
func orderID(fence uint64, kind engine.OrderKind, value string) string {
	return strconv.FormatUint(fence, 10) + "-" + string(kind) + "-" + value
}

// requiredOrder returns the first order that is needed for the endpoint to run
// what the bundle specifies, or false if it runs that already.
func requiredOrder(endpoint bundle.Endpoint, state engine.State) (engine.OrderKind, string, bool) {
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

// readsWeightStore reports whether an order makes the endpoint load from the
// weight store.
func readsWeightStore(kind engine.OrderKind) bool { return kind != engine.OrderChangeRole }
