package soak

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/platform/standin"
)

// A stopping host that did not run for a moment, until after it could have ended, took
// itself for unused: it closed the connections whose requests it had not read yet.
func TestRequestsWaitUnreadAsHostStops(t *testing.T) {
	t.Parallel()
	program, err := os.Executable()
	assert.NilError(t, err)
	dir := t.TempDir()
	f, err := newFleet(t.Context(), Options{
		Dir: dir, Programs: []Program{{Path: program, Env: []string{hostEnv + "=1", "GORACE=atexit_sleep_ms=0"}}},
		Size: Size{Hosts: 2, Endpoints: 4},
	})
	t.Cleanup(f.close)
	assert.NilError(t, err)
	h := f.hosts[0]

	// Half of the clients have a connection that is idle by then.
	clients, responses := make([]*standin.Client, 16), make([]standin.Response, 16)
	ask := func(i int) {
		id := fmt.Sprintf("%04x%012x", i, time.Now().UnixMilli())
		responses[i] = clients[i].Do(t.Context(), standin.Request{Route: routeSafe, ID: id, Body: "question " + id, Deadline: requestDeadline})
	}
	for i := range clients {
		clients[i] = standin.NewClient(h.ip + ":" + standin.FrontendPort)
		t.Cleanup(clients[i].Close)
		if i%2 == 0 {
			ask(i)
			assert.NilError(t, responses[i].Err)
		}
	}

	var stop, requests sync.WaitGroup
	stop.Go(func() { assert.Check(t, h.stop().Failure == "") })
	time.Sleep(2500 * time.Millisecond)
	assert.NilError(t, h.sendSignal(syscall.SIGSTOP))
	for i := range clients {
		requests.Go(func() { ask(i) })
	}
	time.Sleep(1300 * time.Millisecond)
	assert.NilError(t, h.sendSignal(syscall.SIGCONT))
	requests.Wait()
	stop.Wait()
	for i, response := range responses {
		assert.Check(t, response.Err, "client %d", i)
	}
	if t.Failed() {
		logHostLogs(t, dir)
	}
}
