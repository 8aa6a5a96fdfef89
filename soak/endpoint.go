package soak

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"mustarddoor/platform/standin"
)

// The routes of the stand-in's configuration.
const (
	routeSafe   = "safe"
	routeUnsafe = "unsafe"
	routeStream = "stream"
	routeOnce   = "once"
	// routeToggled is the one that Configure takes away.
	routeToggled = "open"
)

const (
	service = "svc"
	// endpointSlots and endpointQueue are how many requests an endpoint takes
	// before it refuses; the stand-in's entry names the slots.
	endpointSlots = 4
	endpointQueue = 2
	// workTime is how long a request takes, streamEvents and eventGap how a
	// stream is made: about what a small engine does.
	workTime     = 30 * time.Millisecond
	streamEvents = 8
	eventGap     = 15 * time.Millisecond
	// slowFactor is how much longer a slow endpoint takes.
	slowFactor = 8
)

// endpoint is a worker's stand-in behind a proxy.
type endpoint struct {
	number  int
	worker  *standin.Worker
	proxy   *Proxy
	zone    string
	record  *Record
	running atomic.Int32
	isSlow  atomic.Bool
}

// id is the endpoint's name in the store.
func (e *endpoint) id() string { return fmt.Sprintf("worker-%d", e.number) }

// serve is the endpoint's behavior.
func (e *endpoint) serve(run *standin.Run) bool {
	defer e.running.Add(-1)
	isFull := e.running.Add(1) > endpointSlots+endpointQueue
	path := run.Target
	route := strings.Split(path+"/", "/")[1]
	e.record.Ran(Run{ID: run.ID(), Route: route, Path: path, Body: run.Body, Endpoint: e.number, At: run.At, Refused: isFull})
	if isFull {
		return standin.RejectNotExecuted(run)
	}
	if route == routeStream || route == routeOnce {
		return e.stream(run)
	}
	if !e.take(run, workTime) {
		return false
	}
	return standin.Respond(http.StatusOK, answerOf(route, run.ID()))(run)
}

// stream sends the events that the caller does not have yet.
func (e *endpoint) stream(run *standin.Run) bool {
	run.WriteHead(http.StatusOK, -1)
	for n := run.LastEventID() + 1; n <= streamEvents; n++ {
		if !e.take(run, eventGap) {
			return false
		}
		run.WriteChunk(event(run.ID(), n))
	}
	run.Write("0\r\n\r\n")
	return true
}

// take works for a time and reports whether the connection is still there.
func (e *endpoint) take(run *standin.Run, lasts time.Duration) bool {
	if e.isSlow.Load() {
		lasts *= slowFactor
	}
	select {
	case <-run.Closed:
		return false
	case <-time.After(lasts):
		return true
	}
}

// event is one event of the stream that answers a request.
func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

// answerOf is the whole answer to a request.
func answerOf(route, id string) string {
	if route != routeStream && route != routeOnce {
		return route + " " + id + " " + strconv.Itoa(len(id))
	}
	var all strings.Builder
	for n := 1; n <= streamEvents; n++ {
		all.WriteString(event(id, n))
	}
	return all.String()
}
