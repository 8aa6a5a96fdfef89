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

// errTruncated ends a connection that did not bring the answer's end.
var errTruncated = eris.New("answer was cut")

// streamTerminator ends every whole event stream.
var streamTerminator = []byte("data: [DONE]\n\n")

// errorEventPrefix starts the event by which a host says that a stream is cut.
var errorEventPrefix = []byte("event: error")

// Response is the answer to a request. When a connection breaks, Read goes on at
// another host at the same byte; io.EOF means that the answer is whole.
type Response struct {
	// Status and ContentType are those of the first response.
	Status      int
	ContentType string

	ctx          context.Context
	call         *call
	httpResponse *http.Response
	body         *bufio.Reader
	offset       int64
	// pending is the part of a line that was not yet returned.
	pending []byte
	// tail is the end of what was read, as long as streamEnd.
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

// Key is the request's key, for a later Resume.
func (r *Response) Key() string { return r.call.key }

// Offset is how many bytes of the answer were read.
func (r *Response) Offset() int64 { return r.offset - int64(len(r.pending)) }

// Close ends the answer.
func (r *Response) Close() error { return r.httpResponse.Body.Close() }

// Read implements io.Reader. It fails with a *Refusal, ErrLost or the
// context's error if the answer cannot be had whole.
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

// readNext reads the next part of the answer and resumes it where it is cut.
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

// maxReadBytes is how much of an answer that is no event stream is read at once.
const maxReadBytes = 32 << 10

// readPart reads a line of an event stream, or some bytes of another answer.
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

// isComplete reports whether an answer whose connection ended in order is whole.
func (r *Response) isComplete() bool {
	return !r.isStream() || bytes.Equal(r.tail, streamTerminator)
}

func (r *Response) keepTail(part []byte) {
	r.tail = append(r.tail, part...)
	if excess := len(r.tail) - len(streamTerminator); excess > 0 {
		r.tail = append(r.tail[:0], r.tail[excess:]...)
	}
}

// resume asks hosts in turn for the answer from the offset on.
func (r *Response) resume() error {
	if r.httpResponse != nil {
		r.call.nextAddress++
	}
	for try := 0; try < r.call.client.options.MaxTries; try++ {
		resp, err := r.call.requestResume(r.ctx, r.offset)
		if err == nil && r.hasOtherContentType(resp) {
			resp.Body.Close()
			return eris.Wrapf(ErrResponseLost, "key %s: answer comes in another form", r.call.key)
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

// hasOtherContentType reports whether a response cannot go on with the answer, as an
// event stream in place of JSON.
func (r *Response) hasOtherContentType(resp *http.Response) bool {
	return r.Status != 0 && resp.Header.Get("Content-Type") != r.ContentType
}

// prependBody is a body of which some bytes were read already.
func prependBody(read []byte, body io.ReadCloser) io.ReadCloser {
	return struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(read), body), body}
}
