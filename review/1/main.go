//go:build review

// Command case-1 kills all hosts and restores the store from an older copy, shortly after
// a service has moved to a new version.
package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"mustarddoor/platform/standin"
	"mustarddoor/review/rig"
)

const (
	service = "svc"
	// workers is the number of workers of each version.
	workers   = 3
	length    = 30 * time.Millisecond
	orderTime = 10 // seconds
	// copyAt is the age of the move at which the store is copied.
	copyAt = 5 * time.Second
	// faultAfter is the time from the end of the move to the fault, away how long the
	// store and the hosts are away, rewriteAfter when the operator and the workers have
	// written again what the store lost.
	faultAfter   = time.Second
	away         = time.Second
	rewriteAfter = time.Second
	// silentWorker is the silence after which the platform removes a worker's entry.
	silentWorker = 3600 * time.Millisecond
	// recovery is recoveryS, measured how long is measured after it.
	recovery = 12 * time.Second
	measured = 6 * time.Second
	callers  = 10
	pace     = 100 * time.Millisecond
	deadline = 1500 * time.Millisecond
)

// answers counts the requests by when they were sent.
type answers struct {
	mu     sync.Mutex
	sentAt []time.Time
	served []bool
}

// share returns how many of the requests sent in an interval were served.
func (a *answers) share(from, to time.Time) (served, sent int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, at := range a.sentAt {
		if at.Before(from) || at.After(to) {
			continue
		}
		sent++
		if a.served[i] {
			served++
		}
	}
	return served, sent
}

// call sends requests to the hosts in turn.
func (a *answers) call(ctx context.Context, r *rig.Rig, caller int) {
	for n := 0; ctx.Err() == nil; n++ {
		client := standin.NewClient(r.Hosts[(caller+n)%len(r.Hosts)].Frontend())
		id, sentAt := fmt.Sprintf("%08x%08x", caller, n), time.Now()
		response := client.Do(context.Background(), standin.Request{Route: "safe", ID: id, Body: "read", Deadline: deadline})
		client.Close()
		isServed := response.Err == nil && response.Status == 200 && response.Sealed
		r.Log("client gets status %d to %s", response.Status, id)
		a.mu.Lock()
		a.sentAt, a.served = append(a.sentAt, sentAt), append(a.served, isServed)
		a.mu.Unlock()
		time.Sleep(pace)
	}
}

func run(r *rig.Rig) (bool, error) {
	r.Store.Configure(standin.Config(service), 1)
	olds, stopBeats := startWorkers(r, "v1")
	r.StartHosts(3)
	time.Sleep(time.Second)
	counted, wait := &answers{}, sync.WaitGroup{}
	ctx, stop := context.WithCancel(context.Background())
	startedAt := time.Now()
	for n := range callers {
		wait.Go(func() { counted.call(ctx, r, n) })
	}
	time.Sleep(time.Second)
	r.Log("the operator orders a move to v2 within %d s", orderTime)
	r.Store.Put("keyed.op", "rollout/"+service, map[string]any{"serviceName": service, "target": "v2", "durationS": orderTime})
	startWorkers(r, "v2")
	time.Sleep(copyAt)
	saved := r.Store.Copy()
	r.Log("a copy of the store is made")
	if err := awaitCompleted(r); err != nil {
		stop()
		wait.Wait()
		return false, err
	}
	r.Log("the move is completed: the old workers stop")
	for n, worker := range olds {
		stopBeats[n]()
		worker.End()
	}
	time.Sleep(faultAfter)
	served, sent := counted.share(startedAt, time.Now())
	r.Log("before the fault, %d of %d requests were served", served, sent)
	wasServed := 4*served >= sent
	if r.Trouble {
		fail(r, saved)
	}
	backAt := time.Now()
	time.Sleep(silentWorker)
	for _, worker := range olds {
		r.Store.RemoveEntry(worker.ID)
	}
	time.Sleep(recovery + measured - silentWorker)
	served, sent = counted.share(backAt.Add(recovery), time.Now().Add(-deadline))
	stop()
	wait.Wait()
	status, _ := r.Store.Get("keyed.status", 0, "rollout/"+service)
	r.Log("from %v after the hosts were back, %d of %d requests were served; the status is %s", recovery, served, sent, status)
	return wasServed && 4*served < sent, nil
}

// startWorkers starts the workers of a version.
func startWorkers(r *rig.Rig, version string) (all []*standin.Worker, stopBeats []func()) {
	for n := range workers {
		name := fmt.Sprintf("worker-%s-%d", version, n)
		worker := standin.NewWorker(r, name, func(run *standin.Run) bool {
			r.Log("%s runs %s", name, run.ID())
			time.Sleep(length)
			return standin.Respond(200, "answer to "+run.ID())(run)
		})
		all, stopBeats = append(all, worker), append(stopBeats, r.Register(worker, service, version))
	}
	return all, stopBeats
}

// awaitCompleted waits until the operator reads that the move is completed.
func awaitCompleted(r *rig.Rig) error {
	for until := time.Now().Add(orderTime * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if status, _ := r.Store.Get("keyed.status", 0, "rollout/"+service); strings.Contains(string(status), "completed") {
			return nil
		}
	}
	return errors.New("the move is not completed")
}

// fail kills all hosts, and meanwhile the store comes back from a copy.
func fail(r *rig.Rig, saved standin.StoreCopy) {
	r.IsStoreAway.Store(true)
	r.Store.SetFaults(standin.StoreFaults{Status: 503})
	for _, h := range r.Hosts {
		h.Signal(syscall.SIGKILL)
	}
	for _, h := range r.Hosts {
		h.WaitEnd(time.Second)
	}
	r.Store.Restore(saved)
	time.Sleep(away)
	r.Store.SetFaults(standin.StoreFaults{})
	r.IsStoreAway.Store(false)
	r.Log("the store is back from its copy")
	for _, h := range r.Hosts {
		h.Start()
	}
	time.Sleep(rewriteAfter)
	r.Store.Rewrite()
	r.Log("the operator and the workers have written again what the store lost")
	for _, h := range r.Hosts {
		h.WaitReady()
	}
}

func main() { rig.Main(run) }
