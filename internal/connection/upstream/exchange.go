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

// Request is a request to an endpoint. Target is the path and query exactly as
// the caller sent them.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
}

// Response is the header of an endpoint's response. Its body is read with
// Read.
type Response struct {
	Status int
	Header http.Header

	conn        *Conn
	body        io.Reader
	write       *requestWrite
	idleTimeout time.Duration
	closeAfter  bool
	// framed is set if the header delimits the body, by a length or by chunked
	// encoding, so that its end does not depend on the connection being
	// closed.
	framed   bool
	complete bool
}

// Errors of Do.
var (
	// ErrNotSent is returned if the endpoint has received nothing of the
	// request.
	ErrNotSent = eris.New("the request was not sent")
	// ErrNoResponse is returned if the endpoint may have received the request.
	ErrNoResponse = eris.New("no response to a request that was sent")
)

// noResponseError is an ErrNoResponse with its cause, which may be a timeout.
type noResponseError struct{ cause error }

func (e *noResponseError) Error() string   { return ErrNoResponse.Error() + ": " + e.cause.Error() }
func (e *noResponseError) Unwrap() []error { return []error{ErrNoResponse, e.cause} }

const (
	// maxInlineBodyBytes is the maximum size of a body that is written before
	// the response is read. Writing a larger one could block on a peer that
	// responds early.
	maxInlineBodyBytes = 16 << 10
	// maxStaleResponses is the maximum number of responses to earlier requests
	// that are skipped.
	maxStaleResponses = 2
	// maxStaleBodyBytes is the maximum size of the body of a skipped response.
	maxStaleBodyBytes = 1 << 20
)

// Do sends a request and reads the header of its response. isStale reports
// from the header whether a response belongs to an earlier request. The
// deadline bounds the exchange up to the end of the header; the endpoint may count as
// silent before it.
func (c *Conn) Do(request Request, deadline time.Time, isStale func(http.Header) bool) (*Response, error) {
	isLong := len(request.Body) > maxInlineBodyBytes
	if err := c.net.SetWriteDeadline(deadline); err != nil {
		return nil, eris.Wrapf(ErrNotSent, "set write deadline: %v", err)
	}
	header := encodeRequestHeader(request)
	write := newRequestWrite()
	if !isLong {
		n, err := c.net.Write(append(header, request.Body...))
		if err != nil && n == 0 && !c.reused {
			return nil, eris.Wrapf(ErrNotSent, "write: %v", err)
		}
		// Even if the write failed, a response may already have arrived.
		write.finish(err)
	} else {
		go func() {
			_, err := c.net.Write(header)
			if err == nil {
				_, err = c.net.Write(request.Body)
			}
			write.finish(err)
		}()
	}
	if err := c.beginWait(deadline, isLong); err != nil {
		return nil, &noResponseError{cause: err}
	}
	for skipped := 0; ; skipped++ {
		response, err := c.readResponseHeader(request.Method)
		if err != nil {
			return nil, err
		}
		response.write = write
		if !isStale(response.Header) {
			return response, nil
		}
		if !c.reused || skipped == maxStaleResponses || !response.framed || response.closeAfter {
			return nil, eris.Wrap(ErrNoResponse, "the response belongs to another request")
		}
		if _, err := io.CopyN(io.Discard, response.body, maxStaleBodyBytes); err != io.EOF {
			return nil, eris.Wrapf(ErrNoResponse, "discard response to another request: %v", err)
		}
	}
}

// encodeRequestHeader encodes the request line and the header. The body is
// framed by Content-Length only.
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

// readResponseHeader reads the header of the next final response and skips
// informational ones.
func (c *Conn) readResponseHeader(method string) (*Response, error) {
	c.limited.setLimit(maxResponseHeaderBytes)
	defer c.limited.removeLimit()
	response, err := readFinalResponse(c.reader, method)
	if err != nil {
		// Part of a line counts as malformed, whatever kept the rest away.
		if c.limited.failure != nil {
			err = c.limited.failure
		}
		return nil, &noResponseError{cause: err}
	}
	return &Response{
		Status:      response.StatusCode,
		Header:      response.Header,
		conn:        c,
		body:        c.bodyOf(response),
		idleTimeout: parseKeepAliveTimeout(response.Header.Get("Keep-Alive")),
		closeAfter:  response.Close,
		framed:      response.ContentLength >= 0 || len(response.TransferEncoding) > 0,
	}, nil
}

// bodyOf returns the reader of a response's body.
func (c *Conn) bodyOf(response *http.Response) io.Reader {
	if response.Body != http.NoBody && len(response.TransferEncoding) > 0 {
		return newChunkedReader(c.reader)
	}
	return response.Body
}

// parseKeepAliveTimeout returns the timeout of a Keep-Alive header, or 0 if
// there is no valid one.
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

// Read reads the body. It waits only while it has nothing to return. It returns io.EOF at
// the end of a complete body and another error if the body is truncated. At the end of a body
// that ends with its connection, it waits until the endpoint's host has received the request.
func (r *Response) Read(buffer []byte) (int, error) {
	n, err := r.body.Read(buffer)
	if err == io.EOF && !r.framed && !r.complete {
		if endErr := r.confirmEnd(); endErr != nil {
			return n, endErr
		}
	}
	if err == io.EOF {
		r.complete = true
	}
	return n, err
}

// IsFramed reports whether the end of the body does not depend on the connection being
// closed.
func (r *Response) IsFramed() bool { return r.framed }

// Finish ends the exchange. The connection is returned to the pool if the
// complete response was read and the connection can be reused; otherwise it is
// aborted, which cancels the request.
func (r *Response) Finish() {
	if !r.complete || r.closeAfter || !r.framed {
		r.conn.Abort()
		return
	}
	if !r.write.isWritten() {
		// The response arrived before the whole request body was sent, or it was not sent.
		r.conn.Abort()
		return
	}
	r.conn.release(r.idleTimeout)
}

// IsNew reports whether the connection was opened for this request.
func (c *Conn) IsNew() bool { return !c.taken }

// IsReused reports whether the connection has served earlier requests.
func (c *Conn) IsReused() bool { return c.reused }
