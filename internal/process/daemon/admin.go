package daemon

import (
	"net/http"
	"net/http/pprof"

	"github.com/labstack/echo/v4"

	"mustarddoor/internal/process/telemetry"
	"mustarddoor/internal/process/timeline"
)

// Paths of the admin address.
const (
	// PathMetrics takes a GET and answers a list of telemetry.Value.
	PathMetrics = "/metrics"
	// PathReady takes a GET and answers Readiness.
	PathReady = "/readyz"
	// PathGate takes a POST of mesh.CutOrder, if the settings have test_gate.
	PathGate = "/test/gate"
	// pathProfile serves the profiles of net/http/pprof.
	pathProfile = "/debug/pprof/"
)

// Readiness is the answer of /readyz.
type Readiness struct {
	Ready bool `json:"ready"`
	// Reason tells why the host takes no requests.
	Reason string `json:"reason,omitempty"`
}

// adminHandler gives the handler of the admin address.
func (h *host) adminHandler() http.Handler {
	router := echo.New()
	router.GET(PathMetrics, h.serveMetrics)
	router.GET(PathReady, h.serveReady)
	router.GET(timeline.Path, echo.WrapHandler(h.timelineCollector()))
	router.GET(pathProfile+"*", echo.WrapHandler(http.HandlerFunc(pprof.Index)))
	router.GET(pathProfile+"profile", echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
	h.addOperatorRoutes(router)
	if h.settings.TestGate {
		router.POST(PathGate, echo.WrapHandler(h.gate))
	}
	return router
}

func (h *host) serveMetrics(c echo.Context) error {
	return c.JSON(http.StatusOK, telemetry.Values(h.metrics))
}

func (h *host) serveReady(c echo.Context) error {
	reason := h.notReady()
	status := http.StatusOK
	if reason != "" {
		status = http.StatusServiceUnavailable
	}
	return c.JSON(status, Readiness{Ready: reason == "", Reason: reason})
}

func (h *host) timelineCollector() *timeline.Collector {
	return &timeline.Collector{Ring: h.ring, Caller: h.caller, Peers: h.otherHosts}
}
