package relay

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/downstream"
	"mustarddoor/internal/connection/intake"
)

// endlessReader reads zeros.
type endlessReader struct{}

func (endlessReader) Read(buffer []byte) (int, error) { return len(buffer), nil }

// Bodies were unlimited in a configuration without a limit, and took memory as soon as they
// were announced.
func TestBodyLimits(t *testing.T) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(request.Body)
		assert.Check(t, err)
		_, _ = w.Write(body)
	}))
	defer endpoint.Close()
	r, _ := newTestRelay(endpoint.URL)
	registry := metrics.NewRegistry()
	r.Guard = downstream.NewGuard(intake.Limits{BodyMemory: 8 << 20}, registry)
	frontend := httptest.NewServer(r)
	defer frontend.Close()
	post := func(body io.Reader, announced int64) (status int, text string) {
		request, err := http.NewRequest(http.MethodPost, frontend.URL+"/x", io.NopCloser(body))
		assert.NilError(t, err)
		request.Host, request.ContentLength = "h", announced
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		defer response.Body.Close()
		data, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		return response.StatusCode, string(data)
	}
	for _, length := range []int{0, 1, firstBodyBytes - 1, firstBodyBytes, firstBodyBytes + 1, 100_000} {
		body := strings.Repeat("x", length)
		for _, announced := range []int64{int64(length), -1} {
			status, got := post(strings.NewReader(body), announced)
			assert.Equal(t, status, http.StatusOK)
			assert.Assert(t, got == body, "length %d, announced %d", length, announced)
		}
	}
	status, _ := post(endlessReader{}, -1)
	assert.Equal(t, status, http.StatusRequestEntityTooLarge)
	status, _ = post(io.LimitReader(endlessReader{}, intake.DefaultBodyBytes+1), intake.DefaultBodyBytes+1)
	assert.Equal(t, status, http.StatusRequestEntityTooLarge)

	r.Guard = downstream.NewGuard(intake.Limits{BodyMemory: firstBodyBytes}, registry)
	status, _ = post(strings.NewReader(strings.Repeat("x", firstBodyBytes+1)), -1)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, r.Guard.ReserveBody(nil, firstBodyBytes), "all memory is returned")
}
