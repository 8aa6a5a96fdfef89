package soak

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/platform/standin"
)

// The carrier of a request is found in the line that names it, whatever else the log holds.
func TestCarrierInLog(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	assert.NilError(t, os.WriteFile(path, []byte(`{"msg":"request repeated","request":"a"}
{"carrier":"edge-1","msg":"request cut","request":"a"}
{"carrier":"edge-2","msg":"request cut","request":"b","prompt_parts":["a"]}
SIGQUIT: quit
`), 0o600))
	assert.Equal(t, carrierInLog(path, "a"), "edge-1")
	assert.Equal(t, carrierInLog(path, "b"), "edge-2")
	assert.Equal(t, carrierInLog(path, "c"), "")
}

// Only a whole response to a request on the same route and host, sent later, shows that the
// host serves the route.
func TestServedRoutes(t *testing.T) {
	record := NewRecorder()
	add := func(id string, host int, response standin.Response) {
		request := servedRequest(id, routeSafe)
		request.Host, request.Response, request.Ended = host, standin.Response{}, time.Time{}
		record.AddRequest(request)
		record.EndRequest(id, response, false, afterMs(50))
	}
	whole := func(id string) standin.Response { return servedRequest(id, routeSafe).Response }
	add("a", 1, whole("a"))
	add("b", 2, standin.Response{Status: 503})
	broken := whole("c")
	broken.Err = errors.New("broke off")
	add("c", 3, broken)
	assert.Assert(t, record.HasServed(1, routeSafe, afterMs(-1)))
	assert.Assert(t, !record.HasServed(1, routeSafe, afterMs(1)))
	assert.Assert(t, !record.HasServed(1, routeStream, afterMs(-1)))
	assert.Assert(t, !record.HasServed(2, routeSafe, afterMs(-1)))
	assert.Assert(t, !record.HasServed(3, routeSafe, afterMs(-1)))
}
