//go:build review

// Command case-5 stops a host in an orderly way while callers that still know its address
// send orders that take a while.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"mustarddoor/platform/standin"
	"mustarddoor/review/rig"
)

const (
	service = "svc"
	workers = 5
	// length is how long an order takes at its worker, routeTimeout its route's timeoutMs
	// and deadline how long callers wait.
	length       = 1900 * time.Millisecond
	routeTimeout = 2 * time.Second
	deadline     = 4 * time.Second
	// pace is the time between two orders.
	pace = 120 * time.Millisecond
	// keepTime is how long callers use an address of an answer of the directory: three
	// times its ttlS.
	keepTime = 6 * time.Second
	before   = 2 * time.Second
	// promised is the time after the stop up to which a request that runs until the last
	// sixth of the grace period may be cut.
	promised = 3 * time.Second
)

func run(r *rig.Rig) (bool, error) {
	config := standin.Config(service)
	for _, route := range config["routes"].([]any) {
		if fields := route.(map[string]any); fields["name"] == "unsafe" {
			fields["timeoutMs"] = routeTimeout.Milliseconds()
			fields["maxAttempts"] = 1
		}
	}
	r.Store.Configure(config, 1)
	for n := range workers {
		name := fmt.Sprintf("worker-%d", n)
		worker := standin.NewWorker(r, name, func(run *standin.Run) bool {
			r.Log("%s runs order %s", name, run.ID())
			select {
			case <-run.Closed:
				r.Log("%s: the connection of %s was closed while it ran", name, run.ID())
				return false
			case <-time.After(length):
			}
			r.Log("%s has recorded order %s", name, run.ID())
			return standin.Respond(200, "order "+run.ID())(run)
		})
		r.Register(worker, service, "v1")
	}
	r.StartHosts(2)
	time.Sleep(2 * time.Second)
	host := r.Hosts[0]
	addresses, err := standin.FrontendAddresses(context.Background(), host.IP)
	if err != nil {
		return false, err
	}
	knownUntil := time.Now().Add(before + keepTime)
	r.Log("the directory names %v, which callers keep for %v", addresses, keepTime)
	wait, lost := sync.WaitGroup{}, atomic.Int32{}
	stoppedAt := time.Now().Add(before)
	if r.Trouble {
		wait.Go(func() {
			time.Sleep(time.Until(stoppedAt))
			stoppedAt = time.Now()
			host.Signal(syscall.SIGTERM)
			host.WaitEnd(10 * time.Second)
		})
	}
	for n := 0; time.Now().Before(knownUntil); n++ {
		wait.Go(func() {
			id, sentAt := fmt.Sprintf("%016x", 100+n), time.Now()
			client := standin.NewClient(host.Frontend())
			defer client.Close()
			response := client.Do(context.Background(), standin.Request{Route: "unsafe", ID: id, Body: "order", Deadline: deadline})
			after := sentAt.Sub(stoppedAt).Round(time.Millisecond)
			switch {
			case isRefused(response.Err):
				r.Log("client: the host refuses the connection of %s", id)
			case response.Err != nil:
				r.Log("client: order %s, sent %v after the stop, ends without an answer: %v", id, after, response.Err)
				if after > promised {
					lost.Add(1)
				}
			default:
				r.Log("client gets status %d to order %s, sent %v after the stop", response.Status, id, after)
			}
		})
		time.Sleep(pace)
	}
	wait.Wait()
	r.Log("%d orders were read and passed on, and got no answer", lost.Load())
	return lost.Load() > 0, nil
}

// isRefused reports whether no connection could be opened.
func isRefused(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}

func main() { rig.Main(run) }
