package engine

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/rotisserie/eris"
)

// maxStatus is the highest status that a response may have.
const maxStatus = 599

// isStatus reports whether a status is one of a final response. The HTTP transport passes
// on numbers that are none, such as 0 for "000".
func isStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// requestWrite is the writing of a request, which may go on while its response is read.
type requestWrite struct {
	once sync.Once
	done chan struct{}
	// err is the error of the writing, once done is closed.
	err error
}

// traceWrite returns a context for a request that records the end of its writing.
func traceWrite(ctx context.Context) (context.Context, *requestWrite) {
	write := &requestWrite{done: make(chan struct{})}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			write.once.Do(func() {
				write.err = info.Err
				close(write.done)
			})
		},
	}), write
}

// unframedBody is the body of a response that has no length and ends with its connection. It
// is whole only if the request had been written by then: a reset during that shows only in
// the writing.
type unframedBody struct {
	io.ReadCloser
	ctx   context.Context
	write *requestWrite
}

// Read implements io.Reader.
func (b *unframedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if err != io.EOF {
		return n, err
	}
	// At the end of the body the transport closes the connection, which ends the writing.
	select {
	case <-b.write.done:
		err = b.write.err
	case <-b.ctx.Done():
		err = b.ctx.Err()
	}
	if err != nil {
		return n, eris.Wrapf(ErrInterrupted, "write the request after a response without a length: %v", err)
	}
	return n, io.EOF
}

// checkResponse returns a response's body, or ErrInterrupted if it is no response.
func checkResponse(ctx context.Context, response *http.Response, write *requestWrite) (io.ReadCloser, error) {
	if !isStatus(response.StatusCode) {
		response.Body.Close()
		return nil, eris.Wrapf(ErrInterrupted, "response has the invalid status %q", response.Status)
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody {
		return &unframedBody{ReadCloser: response.Body, ctx: ctx, write: write}, nil
	}
	return response.Body, nil
}
