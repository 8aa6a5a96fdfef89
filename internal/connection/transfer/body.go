// Package transfer reads large replies, whose size decides how long they take.
package transfer

import (
	"context"
	"io"
	"net/http"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
)

// Counters count the bytes of replies.
type Counters struct {
	// Read counts all bytes, Discarded those of replies that did not arrive whole.
	Read, Discarded metrics.Counter
}

// NewCounters returns the counters with a prefix for their names.
func NewCounters(prefix string, registry metrics.Registry) Counters {
	return Counters{
		Read:      metrics.GetOrRegisterCounter(prefix+".bytes_read", registry),
		Discarded: metrics.GetOrRegisterCounter(prefix+".bytes_discarded", registry),
	}
}

// ReadBody reads the body of a response, up to maxBytes, and moves the deadline of a context
// of WithTimeout meanwhile. Its error names the number of bytes that have arrived.
func ReadBody(ctx context.Context, response *http.Response, maxBytes int64, counters Counters) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(progressReader{ctx: ctx, reader: response.Body}, maxBytes))
	counters.Read.Inc(int64(len(data)))
	if err != nil {
		counters.Discarded.Inc(int64(len(data)))
		return nil, eris.Wrapf(err, "%d bytes of %d received", len(data), response.ContentLength)
	}
	return data, nil
}
