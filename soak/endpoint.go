package soak

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"mustarddoor/platform/standin"
)

// Routes of the stand-in's configuration.
const (
	routeSafe   = "safe"
	routeUnsafe = "unsafe"
	routeStream = "stream"
	routeOnce   = "once"
	// routeToggled is the one that Configure removes.
	routeToggled = "open"
)

const (
	service = "svc"
	// endpointSlots and endpointQueue are how many requests an endpoint accepts;
	// it refuses more. The stand-in's entry states the same number of slots.
	endpointSlots = 4
	endpointQueue = 2
	// processingTime is how long a plain request takes.
	processingTime = 30 * time.Millisecond
	// One in longRequests plain requests takes longProcessingTime.
	longRequests       = 50
	longProcessingTime = 1800 * time.Millisecond
	// slowFactor multiplies the times of a slow endpoint.
	slowFactor = 8
	// endpointLimit is the limit that an endpoint names, in requests a second.
	endpointLimit = 3.0
	// crashDuration is how long an endpoint is down after a prompt has crashed it.
	crashDuration = time.Second
)

// endpoint is a stand-in for a worker behind a proxy.
type endpoint struct {
	number  int
	service string
	worker  *standin.Worker
	proxy   *Proxy
	domain  string
	record  *Recorder
	running atomic.Int32
	isSlow  atomic.Bool
	// isRejecting is set while the endpoint rejects requests and asks for a pause.
	isRejecting atomic.Bool
	// isLimited is set while the endpoint names endpointLimit.
	isLimited atomic.Bool
	// silences counts the faults that make the endpoint silent at present.
	silences atomic.Int32
}

// silencePollInterval is the time between two checks whether a silence is over.
const silencePollInterval = 5 * time.Millisecond

// chunkEnd ends a chunk.
const chunkEnd = "\r\n"

// id is the endpoint's name in the store.
func (e *endpoint) id() string { return fmt.Sprintf("worker-%d", e.number) }

// serve handles one request and reports whether the connection can be kept.
func (e *endpoint) serve(run *standin.Run) bool {
	defer e.running.Add(-1)
	isFull, isRejecting := e.running.Add(1) > endpointSlots+endpointQueue, e.isRejecting.Load()
	path := run.Target
	route := routeOf(path)
	isCrashing := !isFull && !isRejecting && (strings.Contains(run.Header.Get("Prompt-Prefix"), crashingPart) || string(run.Body) == crashingBody)
	e.record.AddAttempt(Attempt{ID: run.ID(), Route: route, Path: path, Body: run.Body, Prompt: run.Header.Get("Prompt-Prefix"), Team: run.Header.Get("Tenant"), Endpoint: e.number, At: run.At, Refused: isFull || isRejecting, Crashed: isCrashing})
	if e.isLimited.Load() {
		run.SetLimit(strconv.FormatFloat(endpointLimit, 'f', -1, 64))
	}
	if isCrashing {
		if string(run.Body) == crashingBody {
			e.work(run, processingTime)
		} else {
			run.WriteHead(http.StatusOK, -1)
		}
		go e.crash()
		return false
	}
	if isRejecting {
		return standin.RejectFor("1")(run)
	}
	if isFull {
		return standin.RejectNotExecuted(run)
	}
	if isStream(route) {
		return e.stream(run)
	}
	if !e.work(run, plainProcessingTime(run.ID())) {
		return false
	}
	return standin.Respond(http.StatusOK, expectedBody(path, run.ID()))(run)
}

// plainProcessingTime returns how long a plain request takes.
func plainProcessingTime(id string) time.Duration {
	hash := fnv.New32a()
	hash.Write([]byte(id)) // never fails
	if hash.Sum32()%longRequests == 0 {
		return longProcessingTime
	}
	return processingTime
}

// crash makes the endpoint look like a process that ends and is started again.
func (e *endpoint) crash() {
	// The disruption begins before any request can end by it.
	defer e.record.BeginDisruption(Scope{ScopeEndpoint, e.number}, false)()
	restart := e.proxy.End()
	if restart == nil {
		return
	}
	time.Sleep(crashDuration)
	if err := restart(); err != nil {
		e.record.AddProcessFailure(fmt.Sprintf("endpoint %d cannot be started: %v", e.number, err))
	}
}

// stream sends the events that the caller does not have yet.
func (e *endpoint) stream(run *standin.Run) bool {
	run.WriteHead(http.StatusOK, -1)
	s := streamOf(run.Target)
	padding, end := strings.Repeat(paddingByte, s.padding), ""
	for n := run.LastEventID() + 1; n <= s.events; n++ {
		if !e.work(run, s.interval) {
			return false
		}
		event := formatEvent(run.ID(), n, padding)
		if s.endsLate {
			run.Write("%s%x\r\n%s", end, len(event), event)
			end = chunkEnd
		} else {
			run.WriteChunk(event)
		}
	}
	run.Write("%s0\r\n\r\n", end)
	return true
}

// work waits for a duration and reports whether the connection is still open.
func (e *endpoint) work(run *standin.Run, duration time.Duration) bool {
	if e.isSlow.Load() {
		duration *= slowFactor
	}
	for {
		select {
		case <-run.Closed:
			return false
		case <-time.After(duration):
		}
		if e.silences.Load() == 0 {
			return true
		}
		duration = silencePollInterval
	}
}
