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
	// PathMetrics serves GET and returns a list of telemetry.Value.
	PathMetrics = "/metrics"
	// PathReady serves GET and returns Readiness.
	PathReady = "/readyz"
	// PathGate serves POST of a mesh.CutOrder. It exists only if the settings
	// enable test_gate.
	PathGate = "/test/gate"
	// pathProfile is the prefix of the net/http/pprof profiles.
	pathProfile = "/debug/pprof/"
)

// Readiness is the response of PathReady.
type Readiness struct {
	Ready bool `json:"ready"`
	// Reason says why the host is not ready; it is empty if Ready is set.
	Reason string `json:"reason,omitempty"`
}

// adminHandler returns the handler of the admin address.
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
	reason := h.notReadyReason()
	status := http.StatusOK
	if reason != "" {
		status = http.StatusServiceUnavailable
	}
	return c.JSON(status, Readiness{Ready: reason == "", Reason: reason})
}

func (h *host) timelineCollector() *timeline.Collector {
	return &timeline.Collector{Ring: h.ring, Caller: h.meshCaller, Peers: h.otherHosts}
}
