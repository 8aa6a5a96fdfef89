//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the sheet's engines and applications.
const (
	prefillPerMs = 61.2
	firstTime    = 6 * time.Millisecond
	stepTime     = 3370 * time.Microsecond
	plainTime    = 30 * time.Millisecond
)

// worker is a sound worker of a service. It runs plain requests and streams.
type worker struct {
	id, service, zone string
	address           string
	slots             int
	record            *record
	server            *http.Server
	isEngine          bool

	mu   sync.Mutex
	runs map[string]int
}

func newWorker(r *record, id, service, zone string, slots int, isEngine bool) (*worker, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, service: service, zone: zone, address: listener.Addr().String(), slots: slots, isEngine: isEngine, record: r, runs: map[string]int{}}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(listener) }()
	return w, nil
}

func (w *worker) entry(sequence int) map[string]any {
	return map[string]any{
		"serviceName": w.service, "address": w.address, "zone": w.zone, "version": "v1", "concurrencySlots": w.slots,
		"state": "ready", "coldRemainingMs": 0, "sequence": sequence, "born": 1750000000000,
	}
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	rw.Header().Set("Request-Id", id)
	if r.Header.Get("Expected-Instance") != w.id {
		rw.Header().Set("Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	w.runs[id]++
	w.mu.Unlock()
	w.record.add("run %s at %s", id, w.id)
	rw.Header().Set("Response-Seal", "seal."+id)
	if w.isEngine {
		w.stream(rw, r)
		return
	}
	if !sleep(r, plainTime) {
		return
	}
	body := fmt.Sprintf("answer to %s", id)
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = rw.Write([]byte(body))
}

// stream sends the events after Last-Event-Id at the pace of an engine.
func (w *worker) stream(rw http.ResponseWriter, r *http.Request) {
	in, out, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	prompt, _ := strconv.Atoi(in)
	tokens, _ := strconv.Atoi(out)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if !sleep(r, firstTime+time.Duration(float64(prompt)/prefillPerMs*float64(time.Millisecond))) {
		return
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	for event := last + 1; event <= tokens/tokensPerEvent; event++ {
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", event, strings.Repeat("p", 60))
		if http.NewResponseController(rw).Flush() != nil || !sleep(r, tokensPerEvent*stepTime) {
			return
		}
	}
}

// sleep reports whether the caller waited.
func sleep(r *http.Request, length time.Duration) bool {
	select {
	case <-time.After(length):
		return true
	case <-r.Context().Done():
		return false
	}
}

func (w *worker) runCount(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}
