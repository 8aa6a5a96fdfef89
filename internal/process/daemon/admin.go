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
	pathMetrics = "/metrics"
	pathReady   = "/readyz"
	pathGate    = "/test/gate"
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
	router.GET(pathMetrics, h.serveMetrics)
	router.GET(pathReady, h.serveReady)
	router.GET(timeline.Path, echo.WrapHandler(h.timelineService()))
	router.GET(pathProfile+"*", echo.WrapHandler(http.HandlerFunc(pprof.Index)))
	router.GET(pathProfile+"profile", echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
	h.addOperatorRoutes(router)
	if h.settings.TestGate {
		router.POST(pathGate, echo.WrapHandler(h.gate))
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

func (h *host) timelineService() *timeline.Service {
	return &timeline.Service{Ring: h.ring, Caller: h.caller, Peers: h.otherHosts}
}
