package relay

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// A host that had no memory for responses took their endpoint for broken and suspended it.
func TestLackOfMemoryIsNoFailureOfTheEndpoint(t *testing.T) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 2*freeResponseBytes))
	}))
	defer endpoint.Close()
	r, _ := newTestRelay(endpoint.URL)
	get := func() int {
		recorder := httptest.NewRecorder()
		r.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "http://h/x", nil))
		return recorder.Code
	}
	r.responseBudget.available = 0
	for range 4 {
		assert.Equal(t, get(), http.StatusBadGateway)
	}
	r.responseBudget.available = maxResponseMemoryBytes
	assert.Equal(t, get(), http.StatusOK)
}
