//go:build review

// Command case-4 sends resumable streams to a host that is stopped in an orderly way
// while a sound worker falls silent for a moment and goes on.
package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"mustarddoor/platform/standin"
	"mustarddoor/review/rig"
)

const (
	service = "svc"
	// slots is the number of requests that a worker runs at once, as its entry says.
	slots   = 4
	queue   = 2
	workers = 3
	// events and eventInterval are the length and pace of a stream.
	events        = 160
	eventInterval = 25 * time.Millisecond
	// silentAfter is the event after which the worker falls silent, silence for how
	// long: "a second or so".
	silentAfter = 40
	silence     = 1300 * time.Millisecond
	// stopAfter is the time from the first request to the orderly stop.
	stopAfter = 500 * time.Millisecond
	deadline  = 12 * time.Second
)

// worker is a sound worker: it runs up to slots requests, queues a few more and rejects the
// others.
type worker struct {
	rig      *rig.Rig
	name     string
	isSilent bool
	// admitted holds the requests that run or wait, running those that run.
	admitted, running chan struct{}
}

func (w *worker) serve(run *standin.Run) bool {
	select {
	case w.admitted <- struct{}{}:
	default:
		w.rig.Log("%s rejects %s", w.name, run.ID())
		return standin.RejectNotExecuted(run)
	}
	defer func() { <-w.admitted }()
	w.running <- struct{}{}
	defer func() { <-w.running }()
	w.rig.Log("%s runs %s after event %d", w.name, run.ID(), run.LastEventID())
	run.WriteHead(200, -1)
	for id := run.LastEventID() + 1; id <= events; id++ {
		pause := eventInterval
		if w.isSilent && id == silentAfter+1 {
			w.rig.Log("%s is silent on %s for %v", w.name, run.ID(), silence)
			pause = silence
		}
		select {
		case <-run.Closed:
			w.rig.Log("%s: the connection of %s was closed at event %d", w.name, run.ID(), id)
			return false
		case <-time.After(pause):
		}
		run.WriteEvent(id)
	}
	run.Write("0\r\n\r\n")
	w.rig.Log("%s has completed %s", w.name, run.ID())
	return true
}

// expected is the whole body of a stream.
func expected() string {
	var body strings.Builder
	for id := 1; id <= events; id++ {
		fmt.Fprintf(&body, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return body.String()
}

func run(r *rig.Rig) (bool, error) {
	config := standin.Config(service)
	for _, route := range config["routes"].([]any) {
		if fields := route.(map[string]any); fields["name"] == "stream" {
			fields["timeoutMs"] = deadline.Milliseconds()
		}
	}
	r.Store.Configure(config, 1)
	for n := range workers {
		w := &worker{rig: r, name: fmt.Sprintf("worker-%d", n), isSilent: n == 0 && r.Trouble, admitted: make(chan struct{}, slots+queue), running: make(chan struct{}, slots)}
		stand := standin.NewWorker(r, w.name, w.serve)
		r.Register(stand, service, "v1")
	}
	r.StartHosts(2)
	time.Sleep(2 * time.Second)
	host := r.Hosts[0]
	lost, wait := atomic.Int32{}, sync.WaitGroup{}
	for n := range workers * slots {
		wait.Go(func() {
			id := fmt.Sprintf("%016x", 1000+n)
			client := standin.NewClient(host.Frontend())
			defer client.Close()
			r.Log("client sends %s", id)
			response := client.Do(r.Context(), standin.Request{Route: "stream", ID: id, Body: "spec", Deadline: deadline})
			switch {
			case response.Err != nil:
				if host.IsCutByStop() {
					lost.Add(1)
				}
				r.Log("client: %s ends without a complete answer, status %d, %d bytes: %v", id, response.Status, len(response.Body), response.Err)
			case response.Status == 200 && response.Sealed && response.Body == expected():
				r.Log("client has the whole answer to %s", id)
			default:
				r.Log("client gets status %d to %s, %d bytes", response.Status, id, len(response.Body))
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(stopAfter)
	host.Signal(syscall.SIGTERM)
	wait.Wait()
	host.WaitEnd(10 * time.Second)
	for _, line := range host.LogLines("request cut") {
		r.Log("log: %s", line)
	}
	return lost.Load() > 0, nil
}

func main() { rig.Main(run) }
