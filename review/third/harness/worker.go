//go:build review

package harness

import (
	"strings"
	"sync"
	"time"

	"mustarddoor/platform/standin"
)

// Worker is a worker that writes its entry as the users' page says: about every heartbeat,
// until it ends. The platform removes the entry of one that was silent for three heartbeats.
type Worker struct {
	*standin.Worker
	fleet   *Fleet
	service string
	zone    string
	slots   int
	born    int64

	// coldUntil is when the worker is warm.
	coldUntil time.Time

	mu       sync.Mutex
	lastBeat time.Time
	sequence int
	state    string
	isGone   bool
}

// StartWorker starts a worker that is warm, and writes its first entry.
func (f *Fleet) StartWorker(id, service, zone string, slots int, handler standin.Handler) *Worker {
	return f.StartColdWorker(id, service, zone, slots, 0, handler)
}

// StartColdWorker starts a worker that is cold for a time, and writes its first entry.
func (f *Fleet) StartColdWorker(id, service, zone string, slots int, cold time.Duration, handler standin.Handler) *Worker {
	now := time.Now()
	w := &Worker{
		Worker: standin.NewWorker(f, id, handler), fleet: f, service: service, zone: zone, slots: slots,
		born: now.UnixMilli(), coldUntil: now.Add(cold), state: "ready",
	}
	w.beat()
	stop := make(chan struct{})
	f.Cleanup(func() { close(stop) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(Heartbeat):
			}
			if !w.beat() {
				return
			}
		}
	}()
	return w
}

// beat writes the entry unless the worker is gone.
func (w *Worker) beat() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isGone {
		return false
	}
	w.sequence++
	w.lastBeat = time.Now()
	w.fleet.Store.Put("keyed.servers", w.ID, w.entry())
	return true
}

// Crash ends the worker: its connections are reset and its port refuses. Its entry goes three
// heartbeats after the last one.
func (w *Worker) Crash() {
	w.mu.Lock()
	w.isGone = true
	silentFor := time.Since(w.lastBeat)
	w.mu.Unlock()
	w.End()
	time.AfterFunc(3*Heartbeat-silentFor, func() { w.fleet.Store.RemoveEntry(w.ID) })
}

// HasPart reports whether a prompt holds a part that is not the last.
func HasPart(prompt, id string) bool {
	entries := strings.Split(prompt, ",")
	for _, entry := range entries[:len(entries)-1] {
		if part, _, _ := strings.Cut(strings.TrimSpace(entry), ":"); part == id {
			return true
		}
	}
	return false
}

// Hush makes the worker write no more entries, and returns the one that it would write next.
// It returns false if the worker is gone.
func (w *Worker) Hush() (entry map[string]any, isThere bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isGone {
		return nil, false
	}
	w.isGone = true
	w.sequence++
	return w.entry(), true
}

// entry returns the worker's entry. The caller holds mu.
func (w *Worker) entry() map[string]any {
	return map[string]any{
		"serviceName": w.service, "address": w.Address, "zone": w.zone, "version": "v1",
		"concurrencySlots": w.slots, "state": w.state,
		"coldRemainingMs": max(time.Until(w.coldUntil).Milliseconds(), 0),
		"sequence":        w.sequence, "born": w.born,
	}
}
