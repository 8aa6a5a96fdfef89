package client

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"
)

// errTruncated means that a connection ended before the response was complete.
var errTruncated = eris.New("response was truncated")

// streamTerminator is the last event of every complete event stream.
var streamTerminator = []byte("data: [DONE]\n\n")

// errorEventPrefix is the start of the event by which a host reports a truncated
// stream.
var errorEventPrefix = []byte("event: error")

// Response is the response to a request. When a connection fails, Read resumes at
// the same byte at another host; io.EOF means that the response is complete.
type Response struct {
	// Status and ContentType are those of the first HTTP response.
	Status      int
	ContentType string

	ctx          context.Context
	call         *call
	httpResponse *http.Response
	body         *bufio.Reader
	offset       int64
	// pending holds bytes that were read and not yet returned.
	pending []byte
	// tail holds the last bytes read, up to the length of streamTerminator.
	tail []byte
	err  error
}

func newResponse(ctx context.Context, call *call, resp *http.Response) *Response {
	response := &Response{ctx: ctx, call: call}
	response.setHTTPResponse(resp)
	return response
}

func (r *Response) setHTTPResponse(resp *http.Response) {
	if r.Status == 0 {
		r.Status = resp.StatusCode
		r.ContentType = resp.Header.Get("Content-Type")
	}
	if key := resp.Header.Get(headerKey); key != "" {
		r.call.key = key
	}
	r.httpResponse = resp
	r.body = bufio.NewReader(resp.Body)
}

// Key returns the request key, for a later Resume.
func (r *Response) Key() string { return r.call.key }

// Offset returns how many bytes of the response were returned by Read.
func (r *Response) Offset() int64 { return r.offset - int64(len(r.pending)) }

// Close closes the connection of the response.
func (r *Response) Close() error { return r.httpResponse.Body.Close() }

// Read implements io.Reader. If the response cannot be completed it fails with a
// *Refusal, ErrResponseLost or the error of the context.
func (r *Response) Read(buffer []byte) (int, error) {
	for len(r.pending) == 0 {
		if r.err != nil {
			return 0, r.err
		}
		r.readNext()
	}
	count := copy(buffer, r.pending)
	r.pending = r.pending[count:]
	return count, nil
}

// readNext reads the next part of the response and resumes the response if the
// connection ended early.
func (r *Response) readNext() {
	part, err := r.readPart()
	r.pending = part
	r.offset += int64(len(part))
	r.keepTail(part)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF) && r.isComplete():
		r.err = io.EOF
	default:
		r.httpResponse.Body.Close()
		r.err = r.resume()
	}
}

// maxReadBytes limits one read of a response that is not an event stream.
const maxReadBytes = 32 << 10

// readPart reads one line of an event stream or some bytes of any other response.
func (r *Response) readPart() ([]byte, error) {
	if !r.isStream() {
		buffer := make([]byte, maxReadBytes)
		count, err := r.body.Read(buffer)
		return buffer[:count], err
	}
	line, err := r.body.ReadBytes('\n')
	if bytes.HasPrefix(line, errorEventPrefix) {
		return nil, errTruncated
	}
	return line, err
}

func (r *Response) isStream() bool { return strings.HasPrefix(r.ContentType, "text/event-stream") }

// isComplete reports whether the response is complete, given that its connection
// ended with io.EOF.
func (r *Response) isComplete() bool {
	return !r.isStream() || bytes.Equal(r.tail, streamTerminator)
}

func (r *Response) keepTail(part []byte) {
	r.tail = append(r.tail, part...)
	if excess := len(r.tail) - len(streamTerminator); excess > 0 {
		r.tail = append(r.tail[:0], r.tail[excess:]...)
	}
}

// resume requests the rest of the response, starting at the offset, from one host
// after another.
func (r *Response) resume() error {
	if r.httpResponse != nil {
		r.call.nextAddress++
	}
	for try := 0; try < r.call.client.options.MaxTries; try++ {
		resp, err := r.call.requestResume(r.ctx, r.offset)
		if err == nil && r.hasOtherContentType(resp) {
			resp.Body.Close()
			return eris.Wrapf(ErrResponseLost, "key %s: response continues with another content type", r.call.key)
		}
		if err == nil {
			r.setHTTPResponse(resp)
			return nil
		}
		if isNotRun(err) || !r.call.waitForRetry(r.ctx, err) {
			return err
		}
	}
	return r.call.exhaustedError()
}

// hasOtherContentType reports whether an HTTP response cannot continue this
// response, for instance an event stream instead of JSON.
func (r *Response) hasOtherContentType(resp *http.Response) bool {
	return r.Status != 0 && resp.Header.Get("Content-Type") != r.ContentType
}

// prependBody returns a body that yields the bytes already read and then the rest
// of body.
func prependBody(read []byte, body io.ReadCloser) io.ReadCloser {
	return struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(read), body), body}
}
