package enginesim

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"mustarddoor/internal/connection/engine"
	"mustarddoor/internal/standin/executions"
	"mustarddoor/internal/standin/fault"
	"mustarddoor/internal/standin/server"
)

// PathStats serves Stats on GET.
const PathStats = "/stats"

// Stats reports the load of the engine since the process started.
type Stats struct {
	// MaxRunning is the highest number of concurrent requests.
	MaxRunning int `json:"max_running"`
	// ColdOverruns counts the requests that ran on a cold engine while more
	// requests than its cold slots were running.
	ColdOverruns int `json:"cold_overruns"`
}

// Engine is a simulated model engine.
type Engine struct {
	options    Options
	started    time.Time
	faults     *fault.Set[Faults]
	counter    executions.Counter
	batch      *batch
	cache      *cache
	streams    *streamStore
	lastReport atomic.Pointer[loadReport]

	// orderMu serializes orders.
	orderMu sync.Mutex

	mu           sync.Mutex
	state        engine.State
	incarnations int
	coldUntil    time.Time
	stats        Stats
}

// loadReport is a load report and the time at which it was created.
type loadReport struct {
	engine.Load
	createdAt time.Time
}

// New returns an engine at the start of its cold period. Its load reports are
// refreshed until the context ends.
func New(ctx context.Context, options Options) *Engine {
	e := &Engine{
		options: options,
		started: time.Now(),
		batch:   newBatch(options.MaxConcurrent),
		cache:   newCache(options),
		streams: &streamStore{retention: milliseconds(options.RetainMillis), byKey: map[string]*stream{}},
	}
	e.state = engine.State{
		Version:  options.Version,
		Model:    options.Model,
		Role:     options.Role,
		Adapters: []string{},
		Ready:    true,
	}
	e.startColdPeriod()
	common := func(f *Faults) *fault.Common { return &f.Common }
	e.faults = fault.NewSet(options.Faults, common, e.apply)
	e.lastReport.Store(e.newReport())
	go e.refreshReports(ctx)
	return e
}

// Handler serves the protocol of package engine, the statistics, the execution
// counts and the fault switches.
func (e *Engine) Handler() http.Handler {
	router := server.NewEcho()
	e.faults.Register(router)
	e.counter.Register(router)
	router.GET(PathStats, e.getStats)
	router.POST(engine.PathChat, e.complete, e.faults.Middleware)
	router.POST(engine.PathCompletions, e.complete, e.faults.Middleware)
	router.GET(fmt.Sprintf(engine.PathStream, ":key"), e.resume, e.faults.Middleware)
	router.POST(fmt.Sprintf(engine.PathCancel, ":key"), e.cancel, e.faults.Middleware)
	router.GET(engine.PathLoad, e.getLoad, e.faults.Middleware)
	router.GET(engine.PathState, e.getState, e.faults.Middleware)
	router.POST(engine.PathOrders, e.postOrder, e.faults.Middleware)
	router.GET(engine.PathCacheEvents, e.getEvents, e.faults.Middleware)
	router.GET(engine.PathCacheBlocks, e.exportBlocks, e.faults.Middleware)
	router.POST(engine.PathCacheBlocks, e.importBlocks, e.faults.Middleware)
	return router
}

// apply starts a cold period if the switch for it is set, and resets the
// switch.
func (e *Engine) apply(faults *Faults) {
	if !faults.TurnCold {
		return
	}
	faults.TurnCold = false
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startColdPeriod()
}

// refreshReports replaces the load report once per lag interval, until the
// context ends. Without a lag, getLoad creates each report itself.
func (e *Engine) refreshReports(ctx context.Context) {
	if e.options.LoadLagMillis <= 0 {
		return
	}
	ticker := time.NewTicker(milliseconds(e.options.LoadLagMillis))
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.lastReport.Store(e.newReport())
		case <-ctx.Done():
			return
		}
	}
}

// newReport returns a report of the current load.
func (e *Engine) newReport() *loadReport {
	return &loadReport{
		Load: engine.Load{
			Incarnation:  e.snapshot().Incarnation,
			Running:      int(e.batch.running.Load()),
			Waiting:      int(e.batch.waiting.Load()),
			CachedTokens: e.cache.tokens(),
		},
		createdAt: time.Now(),
	}
}

// getLoad responds with the last load report.
func (e *Engine) getLoad(c echo.Context) error {
	last := e.lastReport.Load()
	if e.options.LoadLagMillis <= 0 {
		last = e.newReport()
	}
	load := last.Load
	load.AgeMillis = time.Since(last.createdAt).Milliseconds()
	return c.JSON(http.StatusOK, load)
}

// getState responds with the engine state.
func (e *Engine) getState(c echo.Context) error { return c.JSON(http.StatusOK, e.snapshot()) }

// getStats responds with Stats.
func (e *Engine) getStats(c echo.Context) error {
	e.mu.Lock()
	stats := e.stats
	e.mu.Unlock()
	return c.JSON(http.StatusOK, stats)
}
