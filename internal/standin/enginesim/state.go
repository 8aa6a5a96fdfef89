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

// errFence is returned for an order with an old fencing number, errOrder for
// one that asks for nothing known, and errWeights when no weights were loaded.
var (
	errFence   = eris.New("fencing number is old")
	errOrder   = eris.New("unknown order")
	errWeights = eris.New("no weights")
)

// weightsTimeout bounds a load from the weight store.
const weightsTimeout = time.Minute

// coldTurn starts a cold period under a new incarnation. The caller holds mu.
func (e *Engine) coldTurn() {
	e.starts++
	e.state.Incarnation = strconv.FormatInt(e.started.UnixNano(), 36) + "-" + strconv.Itoa(e.starts)
	e.coldUntil = time.Now().Add(milliseconds(e.options.ColdMillis))
	e.cache.clear()
}

// overruns reports, and counts, that a cold engine runs more than it bears.
func (e *Engine) overruns(running int) bool {
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
	e.orders.Lock()
	defer e.orders.Unlock()
	if err := e.admit(order); err != nil {
		return err
	}
	defer e.setReady(true)
	if loads(order.Kind) {
		e.setReady(false)
		if err := e.load(order.Value); err != nil {
			return err
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.LastOrder = order.ID
	switch order.Kind {
	case engine.OrderLoadModel:
		e.state.Model = order.Value
		e.coldTurn()
	case engine.OrderLoadVersion:
		e.state.Version = order.Value
		e.coldTurn()
	case engine.OrderLoadAdapter:
		if !slices.Contains(e.state.Adapters, order.Value) {
			e.state.Adapters = append(e.state.Adapters, order.Value)
		}
	case engine.OrderChangeRole:
		e.state.Role = order.Value
	}
	return nil
}

// admit checks an order and raises the fencing number.
func (e *Engine) admit(order engine.Order) error {
	if !loads(order.Kind) && order.Kind != engine.OrderChangeRole {
		return errOrder
	}
	ignores := e.faults.Get().IgnoreFencing
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.FencingToken < e.state.FencingToken && !ignores {
		return errFence
	}
	e.state.FencingToken = max(e.state.FencingToken, order.FencingToken)
	return nil
}

// setReady tells whether the engine takes requests.
func (e *Engine) setReady(ready bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Ready = ready
}

// loads reports whether an order reads weights.
func loads(kind engine.OrderKind) bool {
	switch kind {
	case engine.OrderLoadModel, engine.OrderLoadAdapter, engine.OrderLoadVersion:
		return true
	}
	return false
}

// load reads weights from the store, if there is one, and takes the time of a
// load.
func (e *Engine) load(name string) error {
	if e.options.Weights != "" {
		if err := fetchWeights(e.options.Weights, name); err != nil {
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
		return eris.Wrap(errWeights, err.Error())
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrap(errWeights, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return eris.Wrap(errWeights, err.Error())
	}
	if response.StatusCode != http.StatusOK {
		return eris.Wrap(errWeights, response.Status)
	}
	return nil
}
