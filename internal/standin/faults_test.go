package standin_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/engine"
	"mustarddoor/internal/connection/platform"
)

// slowTimeout is the client timeout against a simulator with a large delay.
const slowTimeout = 20 * time.Millisecond

func TestCommonFaults(t *testing.T) {
	simulators := []struct {
		name, path string
		client     func(*testing.T) client
	}{
		{"log", "/v1/streams/config/records", func(t *testing.T) client { return newLog(t, nil) }},
		{"hosts", platform.PathHosts, func(t *testing.T) client { return newHosts(t, 0) }},
		{"weights", "/v1/weights/m", newWeights},
		{"engine", engine.PathState, func(t *testing.T) client { return newEngine(t, nil) }},
		{"plain", "/roster", newPlain},
	}
	cases := []struct {
		name, on, off string
		check         func(*testing.T, readResponse)
	}{
		{"down", `{"down":true}`, `{"down":false}`, func(t *testing.T, r readResponse) {
			assert.NilError(t, r.err)
			assert.Equal(t, r.status, http.StatusServiceUnavailable)
		}},
		{"cut", `{"cut":true}`, `{"cut":false}`, func(t *testing.T, r readResponse) {
			assert.ErrorIs(t, r.err, io.EOF)
		}},
		{"slow", `{"slow_ms":60000}`, `{"slow_ms":0}`, func(t *testing.T, r readResponse) {
			assert.ErrorIs(t, r.err, context.DeadlineExceeded)
		}},
		{"garbage", `{"garbage":true}`, `{"garbage":false}`, func(t *testing.T, r readResponse) {
			assert.NilError(t, r.err)
			assert.Assert(t, !json.Valid(r.body))
		}},
		{"truncated", `{"truncate_bytes":5}`, `{"truncate_bytes":0}`, func(t *testing.T, r readResponse) {
			assert.Assert(t, errors.Is(r.err, io.ErrUnexpectedEOF), "%v", r.err)
			assert.Equal(t, len(r.body), 5)
		}},
	}
	for _, simulator := range simulators {
		for _, test := range cases {
			t.Run(simulator.name+"/"+test.name, func(t *testing.T) {
				c := simulator.client(t)
				c.setFaults(test.on)
				timeout := time.Minute
				if test.name == "slow" {
					timeout = slowTimeout
				}
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				test.check(t, c.do(ctx, http.MethodGet, simulator.path, "", nil))
				c.setFaults(test.off)
				after := c.get(simulator.path)
				assert.NilError(t, after.err)
				known := after.status == http.StatusOK || after.status == http.StatusTooManyRequests
				assert.Assert(t, known, "status %d", after.status)
			})
		}
	}
}

func TestUnknownFaultSwitchRefused(t *testing.T) {
	c := newPlain(t)
	assert.Equal(t, c.post("/faults", "", `{"dwon":true}`).status, http.StatusBadRequest)
	assert.Equal(t, c.get("/roster").status, http.StatusOK)
}
