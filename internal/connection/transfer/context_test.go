package transfer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// slowReader returns one byte after each delay.
type slowReader struct {
	ctx    context.Context
	delay  time.Duration
	chunks int
}

func (r *slowReader) Read(data []byte) (int, error) {
	if r.chunks--; r.chunks < 0 {
		return 0, io.EOF
	}
	select {
	case <-time.After(r.delay):
		return copy(data, "x"), nil
	case <-r.ctx.Done():
		return 0, r.ctx.Err()
	}
}

func TestDeadlineMovesWithProgress(t *testing.T) {
	const (
		wait    = 100 * time.Millisecond
		timeout = 700 * time.Millisecond
	)
	for name, test := range map[string]struct {
		delay  time.Duration
		chunks int
		err    error
		took   time.Duration
	}{
		"longer than the timeout": {500 * time.Millisecond, 6, nil, 3 * time.Second},
		"stalls":                  {900 * time.Millisecond, 6, context.DeadlineExceeded, wait + timeout},
		"without end":             {100 * time.Millisecond, 1 << 20, context.DeadlineExceeded, 100*time.Millisecond + maxDuration},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				startedAt := time.Now()
				outer, cancelOuter := WithTimeout(t.Context(), wait, timeout+time.Second)
				defer cancelOuter()
				ctx, cancel := WithTimeout(outer, wait, timeout)
				defer cancel()
				derived, cancelDerived := context.WithCancel(ctx)
				defer cancelDerived()
				assert.Assert(t, !HasBegun(derived))
				_, err := io.ReadAll(progressReader{derived, &slowReader{derived, test.delay, test.chunks}})
				assert.ErrorIs(t, err, test.err)
				assert.Equal(t, time.Since(startedAt), test.took)
				assert.Equal(t, HasBegun(derived), name != "stalls")
				if name == "stalls" {
					assert.NilError(t, outer.Err())
				}
			})
		})
	}
}

func TestContextEndsWithItsParent(t *testing.T) {
	parent, cancelParent := context.WithCancel(t.Context())
	ctx, cancel := WithTimeout(parent, 0, time.Hour)
	defer cancel()
	cancelParent()
	<-ctx.Done()
	assert.ErrorIs(t, ctx.Err(), context.Canceled)
}

func TestErrorNamesBytesReceived(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write(bytes.Repeat([]byte("x"), 40))
	}))
	defer server.Close()
	response, err := http.Get(server.URL)
	assert.NilError(t, err)
	defer response.Body.Close()
	registry := metrics.NewRegistry()
	_, err = ReadBody(t.Context(), response, 1000, NewCounters("test", registry))
	assert.ErrorContains(t, err, "40 bytes of 100 received")
	assert.Equal(t, registry.Get("test.bytes_discarded").(metrics.Counter).Count(), int64(40))
}
