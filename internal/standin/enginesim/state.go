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

// errStaleFence is returned for an order with an old fencing number, errUnknownOrder for
// one that asks for nothing known, and errWeightsUnavailable when no weights were loaded.
var (
	errStaleFence         = eris.New("fencing number is old")
	errUnknownOrder       = eris.New("unknown order")
	errWeightsUnavailable = eris.New("no weights")
)

// weightsTimeout bounds a load from the weight store.
const weightsTimeout = time.Minute

// startColdPeriod starts a cold period under a new incarnation. The caller holds mu.
func (e *Engine) startColdPeriod() {
	e.incarnations++
	e.state.Incarnation = strconv.FormatInt(e.started.UnixNano(), 36) + "-" + strconv.Itoa(e.incarnations)
	e.coldUntil = time.Now().Add(milliseconds(e.options.ColdMillis))
	e.cache.clear()
}

// exceedsColdSlots reports, and counts, that a cold engine runs more than it bears.
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

// version is the version that runs.
func (e *Engine) version() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.Version
}

// snapshot returns the state.
func (e *Engine) snapshot() engine.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.state
	state.Adapters = slices.Clone(state.Adapters)
	return state
}

// execute carries an order out. It fails with errFence, errOrder or
// errWeights; then the order had no effect.
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

// acceptOrder checks an order and raises the fencing number.
func (e *Engine) acceptOrder(order engine.Order) error {
	if !readsWeights(order.Kind) && order.Kind != engine.OrderChangeRole {
		return errUnknownOrder
	}
	ignores := e.faults.Get().IgnoreFencing
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Fence < e.state.Fence && !ignores {
		return errStaleFence
	}
	e.state.Fence = max(e.state.Fence, order.Fence)
	return nil
}

// setReady tells whether the engine takes requests.
func (e *Engine) setReady(ready bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Ready = ready
}

// readsWeights reports whether an order reads weights.
func readsWeights(kind engine.OrderKind) bool {
	switch kind {
	case engine.OrderLoadModel, engine.OrderLoadAdapter, engine.OrderLoadVersion:
		return true
	}
	return false
}

// loadWeights reads weights from the store, if there is one, and takes the time of a
// loadWeights.
func (e *Engine) loadWeights(name string) error {
	if e.options.WeightStore != "" {
		if err := fetchWeights(e.options.WeightStore, name); err != nil {
			return err
		}
	}
	time.Sleep(milliseconds(e.options.LoadMillis))
	return nil
}

// fetchWeights reads and drops one model's weights.
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
