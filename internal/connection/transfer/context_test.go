package transfer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

const (
	testWait    = 100 * time.Millisecond
	testTimeout = 700 * time.Millisecond
)

// slowReader returns one byte after each delay.
type slowReader struct {
	ctx    context.Context
	delay  time.Duration
	chunks int
}

func (r *slowReader) Read(data []byte) (int, error) {
	if r.chunks == 0 {
		return 0, io.EOF
	}
	select {
	case <-time.After(r.delay):
	case <-r.ctx.Done():
		return 0, r.ctx.Err()
	}
	r.chunks--
	data[0] = 'x'
	return 1, nil
}

func TestDeadlineMovesWithProgress(t *testing.T) {
	for name, test := range map[string]struct {
		delay  time.Duration
		chunks int
		err    error
		took   time.Duration
	}{
		"longer than the timeout": {delay: 500 * time.Millisecond, chunks: 6, took: 3 * time.Second},
		"stalls":                  {delay: 900 * time.Millisecond, chunks: 6, err: context.DeadlineExceeded, took: testWait + testTimeout},
		"without end":             {delay: 100 * time.Millisecond, chunks: 1 << 20, err: context.DeadlineExceeded, took: 100*time.Millisecond + maxDuration},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				startedAt := time.Now()
				outer, cancelOuter := WithTimeout(t.Context(), testWait, testTimeout+time.Second)
				defer cancelOuter()
				ctx, cancel := WithTimeout(outer, testWait, testTimeout)
				defer cancel()
				derived, cancelDerived := context.WithCancel(ctx)
				defer cancelDerived()
				assert.Assert(t, !HasBegun(derived))
				_, err := io.ReadAll(progressReader{ctx: derived, reader: &slowReader{ctx: derived, delay: test.delay, chunks: test.chunks}})
				assert.Equal(t, errors.Is(err, context.DeadlineExceeded), test.err != nil)
				assert.Equal(t, time.Since(startedAt), test.took)
				assert.Equal(t, HasBegun(derived), test.delay < testWait+testTimeout)
				if test.err != nil && test.delay > testTimeout {
					assert.NilError(t, outer.Err())
				}
			})
		})
	}
}

func TestContextEndsWithItsParent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		parent, cancelParent := context.WithCancel(t.Context())
		ctx, cancel := WithTimeout(parent, 0, time.Hour)
		defer cancel()
		cancelParent()
		<-ctx.Done()
		assert.ErrorIs(t, ctx.Err(), context.Canceled)
	})
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
