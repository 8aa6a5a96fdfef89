package upstream

import (
	"io"

	"github.com/rotisserie/eris"
)

// maxResponseHeaderBytes limits the header of a response, including the
// informational responses before it. An endpoint in trouble may send bytes that
// never become a header.
const maxResponseHeaderBytes = 64 << 10

// errHeaderTooLong means that the limit was reached before the header ended.
var errHeaderTooLong = eris.New("the response header exceeds the limit")

// limitedReader limits how many bytes are read while a header is expected. It
// has no limit while remaining is negative.
type limitedReader struct {
	io.Reader
	remaining int
	// failure is the error that has ended the reading while there was a limit, or nil. The
	// decoder of headers drops an error after a part of a line and reads on.
	failure error
}

// Read implements io.Reader.
func (r *limitedReader) Read(buffer []byte) (int, error) {
	if r.remaining < 0 {
		return r.Reader.Read(buffer)
	}
	if r.remaining == 0 {
		return 0, errHeaderTooLong
	}
	if r.failure != nil {
		return 0, r.failure
	}
	n, err := r.Reader.Read(buffer[:min(len(buffer), r.remaining)])
	r.remaining -= n
	r.failure = err
	return n, err
}

func (r *limitedReader) setLimit(bytes int) { r.remaining, r.failure = bytes, nil }

func (r *limitedReader) removeLimit() { r.remaining = -1 }
