package upstream

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Request is what is sent to an endpoint. Target is the path with the query as
// the caller sent it.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
}

// Response is the head of an endpoint's answer, whose body is still to be read.
type Response struct {
	Status int
	Header http.Header

	conn        *Conn
	body        io.ReadCloser
	writeDone   <-chan error
	idleTimeout time.Duration
	closeAfter  bool
	// framed tells that the body's end can be told from a closed connection.
	framed   bool
	complete bool
}

// Errors of an exchange.
var (
	// ErrNotSent is returned if the endpoint has seen nothing of the request.
	ErrNotSent = eris.New("the request was not sent")
	// ErrNoResponse is returned if the endpoint may have seen the request.
	ErrNoResponse = eris.New("no answer to a request that was sent")
)

// noResponseError is an ErrLost with its cause, which may be a time-out.
type noResponseError struct{ cause error }

func (e *noResponseError) Error() string   { return ErrNoResponse.Error() + ": " + e.cause.Error() }
func (e *noResponseError) Unwrap() []error { return []error{ErrNoResponse, e.cause} }

const (
	// maxInlineBodyBytes is the greatest body written before the answer is read; larger
	// ones could block on a peer that answers first. In bytes.
	maxInlineBodyBytes = 16 << 10
	// maxStaleResponses is how many answers to earlier requests are skipped.
	maxStaleResponses = 2
	// maxStaleBodyBytes bounds the skipped body of such an answer in bytes.
	maxStaleBodyBytes = 1 << 20
)

// Do sends a request and reads the head of its answer. isStale tells from the
// headers that an answer belongs to an earlier request. The deadline bounds the
// exchange up to the head.
func (c *Conn) Do(request Request, deadline time.Time, isStale func(http.Header) bool) (*Response, error) {
	if err := c.net.SetDeadline(deadline); err != nil {
		return nil, eris.Wrapf(ErrNotSent, "deadline: %v", err)
	}
	header := encodeRequestHeader(request)
	writeDone := make(chan error, 1)
	if len(request.Body) <= maxInlineBodyBytes {
		n, err := c.net.Write(append(header, request.Body...))
		if err != nil && n == 0 && !c.reused {
			return nil, eris.Wrapf(ErrNotSent, "write: %v", err)
		}
		// After a failed write an answer may still be waiting.
		writeDone <- err
	} else {
		go func() {
			_, err := c.net.Write(header)
			if err == nil {
				_, err = c.net.Write(request.Body)
			}
			writeDone <- err
		}()
	}
	for skipped := 0; ; skipped++ {
		response, err := c.readResponseHeader(request.Method)
		if err != nil {
			return nil, err
		}
		response.writeDone = writeDone
		if !isStale(response.Header) {
			return response, nil
		}
		if !c.reused || skipped == maxStaleResponses || !response.framed || response.closeAfter {
			return nil, eris.Wrap(ErrNoResponse, "the answer belongs to another request")
		}
		if _, err := io.CopyN(io.Discard, response.body, maxStaleBodyBytes); err != io.EOF {
			return nil, eris.Wrapf(ErrNoResponse, "answer to another request: %v", err)
		}
	}
}

// encodeRequestHeader writes the request line and the headers with one framing.
func encodeRequestHeader(request Request) []byte {
	buffer := bytes.NewBuffer(make([]byte, 0, 1024+len(request.Body)))
	buffer.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	for name, values := range request.Header {
		for _, value := range values {
			buffer.WriteString(name + ": " + value + "\r\n")
		}
	}
	if len(request.Body) > 0 || request.Method != http.MethodGet && request.Method != http.MethodHead {
		buffer.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	buffer.WriteString("\r\n")
	return buffer.Bytes()
}

// readResponseHeader reads the head of the next final answer.
func (c *Conn) readResponseHeader(method string) (*Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, &noResponseError{cause: err}
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if response.StatusCode == http.StatusSwitchingProtocols || response.ProtoMajor != 1 {
			return nil, eris.Wrapf(ErrNoResponse, "answer in protocol %s", response.Proto)
		}
		return &Response{
			Status:      response.StatusCode,
			Header:      response.Header,
			conn:        c,
			body:        response.Body,
			idleTimeout: parseKeepAliveTimeout(response.Header.Get("Keep-Alive")),
			closeAfter:  response.Close,
			framed:      response.ContentLength >= 0 || len(response.TransferEncoding) > 0,
		}, nil
	}
}

// parseKeepAliveTimeout reads the header Keep-Alive, or gives 0.
func parseKeepAliveTimeout(header string) time.Duration {
	for field := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if strings.EqualFold(name, "timeout") {
			seconds, err := strconv.Atoi(value)
			if err != nil || seconds < 0 {
				return 0
			}
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// SetDeadline bounds the reading of the rest of the body.
func (r *Response) SetDeadline(deadline time.Time) error { return r.conn.net.SetReadDeadline(deadline) }

// Read reads the body. At its whole end it returns io.EOF; a body that breaks
// off gives another error.
func (r *Response) Read(buffer []byte) (int, error) {
	n, err := r.body.Read(buffer)
	if err == io.EOF {
		r.complete = true
	}
	return n, err
}

// Finish ends the exchange: the connection is kept if the whole answer was read
// and nothing speaks against it, else aborted, which cancels the request.
func (r *Response) Finish() {
	if !r.complete || r.closeAfter || !r.framed {
		r.conn.Abort()
		return
	}
	select {
	case err := <-r.writeDone:
		if err != nil {
			r.conn.Abort()
			return
		}
	default:
		// The answer came before the whole body was sent.
		r.conn.Abort()
		return
	}
	r.conn.release(r.idleTimeout)
}

// IsReused reports whether the connection has served earlier requests.
func (c *Conn) IsReused() bool { return c.reused }
