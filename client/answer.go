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

// errCut ends a connection that did not bring the answer's end.
var errCut = eris.New("answer was cut")

// streamEnd ends every whole event stream.
var streamEnd = []byte("data: [DONE]\n\n")

// errorEvent starts the event by which a host says that a stream is cut.
var errorEvent = []byte("event: error")

// Answer is the answer to a request. When a connection breaks, Read goes on at
// another host at the same byte; io.EOF means that the answer is whole.
type Answer struct {
	// Status and ContentType are those of the first response.
	Status      int
	ContentType string

	ctx    context.Context
	call   *call
	resp   *http.Response
	body   *bufio.Reader
	offset int64
	// pending is the part of a line that was not yet returned.
	pending []byte
	// tail is the end of what was read, as long as streamEnd.
	tail []byte
	err  error
}

func newAnswer(ctx context.Context, call *call, resp *http.Response) *Answer {
	answer := &Answer{ctx: ctx, call: call}
	answer.use(resp)
	return answer
}

func (a *Answer) use(resp *http.Response) {
	if a.Status == 0 {
		a.Status = resp.StatusCode
		a.ContentType = resp.Header.Get("Content-Type")
	}
	if key := resp.Header.Get(headerKey); key != "" {
		a.call.key = key
	}
	a.resp = resp
	a.body = bufio.NewReader(resp.Body)
}

// Key is the request's key, for a later Resume.
func (a *Answer) Key() string { return a.call.key }

// Offset is how many bytes of the answer were read.
func (a *Answer) Offset() int64 { return a.offset - int64(len(a.pending)) }

// Close ends the answer.
func (a *Answer) Close() error { return a.resp.Body.Close() }

// Read implements io.Reader. It fails with a *Refusal, ErrLost or the
// context's error if the answer cannot be had whole.
func (a *Answer) Read(buffer []byte) (int, error) {
	for len(a.pending) == 0 {
		if a.err != nil {
			return 0, a.err
		}
		a.fill()
	}
	count := copy(buffer, a.pending)
	a.pending = a.pending[count:]
	return count, nil
}

// fill reads the next part of the answer and resumes it where it is cut.
func (a *Answer) fill() {
	part, err := a.next()
	a.pending = part
	a.offset += int64(len(part))
	a.keepTail(part)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF) && a.isWhole():
		a.err = io.EOF
	default:
		a.resp.Body.Close()
		a.err = a.reopen()
	}
}

// maxPart is how much of an answer that is no event stream is read at once.
const maxPart = 32 << 10

// next reads a line of an event stream, or some bytes of another answer.
func (a *Answer) next() ([]byte, error) {
	if !a.isStream() {
		buffer := make([]byte, maxPart)
		count, err := a.body.Read(buffer)
		return buffer[:count], err
	}
	line, err := a.body.ReadBytes('\n')
	if bytes.HasPrefix(line, errorEvent) {
		return nil, errCut
	}
	return line, err
}

func (a *Answer) isStream() bool { return strings.HasPrefix(a.ContentType, "text/event-stream") }

// isWhole reports whether an answer whose connection ended in order is whole.
func (a *Answer) isWhole() bool {
	return !a.isStream() || bytes.Equal(a.tail, streamEnd)
}

func (a *Answer) keepTail(part []byte) {
	a.tail = append(a.tail, part...)
	if excess := len(a.tail) - len(streamEnd); excess > 0 {
		a.tail = append(a.tail[:0], a.tail[excess:]...)
	}
}

// reopen asks hosts in turn for the answer from the offset on.
func (a *Answer) reopen() error {
	if a.resp != nil {
		a.call.next++
	}
	for try := 0; try < a.call.client.options.Tries; try++ {
		resp, err := a.call.get(a.ctx, a.offset)
		if err == nil && a.isOtherForm(resp) {
			resp.Body.Close()
			return eris.Wrapf(ErrLost, "key %s: answer comes in another form", a.call.key)
		}
		if err == nil {
			a.use(resp)
			return nil
		}
		if isNotRun(err) || !a.call.goOn(a.ctx, err) {
			return err
		}
	}
	return a.call.exhausted()
}

// isOtherForm reports whether a response cannot go on with the answer, as an
// event stream in place of JSON.
func (a *Answer) isOtherForm(resp *http.Response) bool {
	return a.Status != 0 && resp.Header.Get("Content-Type") != a.ContentType
}

// rest is a body of which some bytes were read already.
func rest(read []byte, body io.ReadCloser) io.ReadCloser {
	return struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(read), body), body}
}
