package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"mustarddoor/internal/connection/downstream"
	"mustarddoor/internal/connection/intake"
	"mustarddoor/internal/process/pause"
)

const (
	// peerWriteTime is how long another host may take to read the response to a small
	// request, otherWriteTime the clients of the further ports.
	peerWriteTime  = 30 * time.Second
	otherWriteTime = 5 * time.Second
	// maxSmallRequests is the number of small requests served on a connection, so that one
	// that sends them without a pause gives way to others.
	maxSmallRequests = 200
	// intakeLogInterval is the time between log lines about callers that were turned away.
	intakeLogInterval = 10 * time.Second
)

// machine returns what the process may use.
func (g *Gateway) machine() intake.Machine {
	return intake.Machine{MemoryBytes: g.settings.MemoryMB << 20, Descriptors: g.settings.FileDescriptors}
}

// serveSmall serves a request that has no body and a response of bounded size, which the
// client must read in time.
func serveSmall(handler http.Handler, w http.ResponseWriter, request *http.Request, writeTime time.Duration) {
	control := http.NewResponseController(w)
	conn := downstream.FromContext(request.Context())
	isLast := conn != nil && conn.CountRequest() >= maxSmallRequests
	if request.Body != http.NoBody {
		// The server would wait for the body. On an error, the connection is closed.
		_ = control.SetReadDeadline(time.Now())
		isLast = true
	}
	if isLast {
		w.Header().Set("Connection", "close")
	}
	_ = control.SetWriteDeadline(time.Now().Add(writeTime))
	handler.ServeHTTP(w, request)
}

// logIntake logs how many callers were turned away for want of room, until ctx is done.
func (g *Gateway) logIntake(ctx context.Context) error {
	var lastShed, lastRefused int64
	for pause.For(ctx, intakeLogInterval) {
		shed, refused := g.guard.Turned()
		if shed == lastShed && refused == lastRefused {
			continue
		}
		g.log.Entry().WithFields(logrus.Fields{"closed": shed - lastShed, "refused": refused - lastRefused}).Warn("callers turned away for want of room")
		lastShed, lastRefused = shed, refused
	}
	return nil
}
