package enginesim

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/connection/engine"
	"mustarddoor/internal/connection/platform"
)

// Errors of orders: errStaleFence for a fencing token below the highest one
// seen, errUnknownOrder for an unknown kind, and errWeightsUnavailable if the
// weight store did not deliver the weights.
var (
	errStaleFence         = eris.New("fencing token is stale")
	errUnknownOrder       = eris.New("unknown order")
	errWeightsUnavailable = eris.New("weights could not be loaded")
)

// weightsTimeout bounds one read from the weight store.
const weightsTimeout = time.Minute

// startColdPeriod starts a cold period under a new incarnation, with an empty
// cache. The caller holds mu.
func (e *Engine) startColdPeriod() {
	e.incarnations++
	e.state.Incarnation = strconv.FormatInt(e.started.UnixNano(), 36) + "-" + strconv.Itoa(e.incarnations)
	e.coldUntil = time.Now().Add(milliseconds(e.options.ColdMillis))
	e.cache.clear()
}

// exceedsColdSlots reports whether a cold engine runs more requests than its
// cold slots. It updates Stats.
func (e *Engine) exceedsColdSlots(running int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.MaxRunning = max(e.stats.MaxRunning, running)
	if e.options.ColdSlots == 0 || running <= e.options.ColdSlots || time.Now().After(e.coldUntil) {
		return false
	}
	e.stats.ColdOverruns++
	return true
}

// version returns the version that the engine serves.
func (e *Engine) version() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.Version
}

// snapshot returns a copy of the state.
func (e *Engine) snapshot() engine.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.state
	state.Adapters = slices.Clone(state.Adapters)
	return state
}

// execute carries out an order. It fails with errStaleFence, errUnknownOrder or
// errWeightsUnavailable; the order is then not applied.
func (e *Engine) execute(order engine.Order) error {
	e.orderMu.Lock()
	defer e.orderMu.Unlock()
	if err := e.acceptOrder(order); err != nil {
		return err
	}
	defer e.setReady(true)
	if readsWeights(order.Kind) {
		e.setReady(false)
		if err := e.loadWeights(order.Value); err != nil {
			return err
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.LastOrder = order.ID
	switch order.Kind {
	case engine.OrderLoadModel:
		e.state.Model = order.Value
		e.startColdPeriod()
	case engine.OrderLoadVersion:
		e.state.Version = order.Value
		e.startColdPeriod()
	case engine.OrderLoadAdapter:
		if !slices.Contains(e.state.Adapters, order.Value) {
			e.state.Adapters = append(e.state.Adapters, order.Value)
		}
	case engine.OrderChangeRole:
		e.state.Role = order.Value
	}
	return nil
}

// acceptOrder checks the kind and the fencing token of an order and raises the
// highest token seen.
func (e *Engine) acceptOrder(order engine.Order) error {
	if !readsWeights(order.Kind) && order.Kind != engine.OrderChangeRole {
		return errUnknownOrder
	}
	ignores := e.faults.Get().IgnoreFencing
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.FencingToken < e.state.FencingToken && !ignores {
		return errStaleFence
	}
	e.state.FencingToken = max(e.state.FencingToken, order.FencingToken)
	return nil
}

// setReady sets whether the engine accepts requests.
func (e *Engine) setReady(ready bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Ready = ready
}

// readsWeights reports whether an order of this kind loads weights.
func readsWeights(kind engine.OrderKind) bool {
	switch kind {
	case engine.OrderLoadModel, engine.OrderLoadAdapter, engine.OrderLoadVersion:
		return true
	}
	return false
}

// loadWeights fetches weights if a weight store is configured, and then waits
// for the configured load time.
func (e *Engine) loadWeights(name string) error {
	if e.options.WeightStore != "" {
		if err := fetchWeights(e.options.WeightStore, name); err != nil {
			return err
		}
	}
	time.Sleep(milliseconds(e.options.LoadMillis))
	return nil
}

// fetchWeights reads the weights of one model and discards them.
func fetchWeights(store, name string) error {
	ctx, cancel := context.WithTimeout(context.Background(), weightsTimeout)
	defer cancel()
	url := "http://" + store + fmt.Sprintf(platform.PathWeights, name)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return eris.Wrap(errWeightsUnavailable, err.Error())
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrap(errWeightsUnavailable, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return eris.Wrap(errWeightsUnavailable, err.Error())
	}
	if response.StatusCode != http.StatusOK {
		return eris.Wrap(errWeightsUnavailable, response.Status)
	}
	return nil
}
