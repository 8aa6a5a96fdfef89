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

// Answer is the head of an endpoint's answer, whose body is still to be read.
type Answer struct {
	Status int
	Header http.Header

	conn      *Conn
	body      io.ReadCloser
	written   <-chan error
	keepAlive time.Duration
	close     bool
	// framed tells that the body's end can be told from a closed connection.
	framed bool
	whole  bool
}

// Errors of an exchange.
var (
	// ErrNotSent is returned if the endpoint has seen nothing of the request.
	ErrNotSent = eris.New("the request was not sent")
	// ErrLost is returned if the endpoint may have seen the request.
	ErrLost = eris.New("no answer to a request that was sent")
)

// lostError is an ErrLost with its cause, which may be a time-out.
type lostError struct{ cause error }

func (e *lostError) Error() string   { return ErrLost.Error() + ": " + e.cause.Error() }
func (e *lostError) Unwrap() []error { return []error{ErrLost, e.cause} }

const (
	// inlineBody is the greatest body written before the answer is read; larger
	// ones could block on a peer that answers first. In bytes.
	inlineBody = 16 << 10
	// staleAnswers is how many answers to earlier requests are skipped.
	staleAnswers = 2
	// staleBody bounds the skipped body of such an answer in bytes.
	staleBody = 1 << 20
)

// Do sends a request and reads the head of its answer. isStale tells from the
// headers that an answer belongs to an earlier request. The deadline bounds the
// exchange up to the head.
func (c *Conn) Do(request Request, deadline time.Time, isStale func(http.Header) bool) (*Answer, error) {
	if err := c.net.SetDeadline(deadline); err != nil {
		return nil, eris.Wrapf(ErrNotSent, "deadline: %v", err)
	}
	head := encodeHead(request)
	written := make(chan error, 1)
	if len(request.Body) <= inlineBody {
		n, err := c.net.Write(append(head, request.Body...))
		if err != nil && n == 0 && !c.reused {
			return nil, eris.Wrapf(ErrNotSent, "write: %v", err)
		}
		// After a failed write an answer may still be waiting.
		written <- err
	} else {
		go func() {
			_, err := c.net.Write(head)
			if err == nil {
				_, err = c.net.Write(request.Body)
			}
			written <- err
		}()
	}
	for skipped := 0; ; skipped++ {
		answer, err := c.readHead(request.Method)
		if err != nil {
			return nil, err
		}
		answer.written = written
		if !isStale(answer.Header) {
			return answer, nil
		}
		if !c.reused || skipped == staleAnswers || !answer.framed || answer.close {
			return nil, eris.Wrap(ErrLost, "the answer belongs to another request")
		}
		if _, err := io.CopyN(io.Discard, answer.body, staleBody); err != io.EOF {
			return nil, eris.Wrapf(ErrLost, "answer to another request: %v", err)
		}
	}
}

// encodeHead writes the request line and the headers with one framing.
func encodeHead(request Request) []byte {
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

// readHead reads the head of the next final answer.
func (c *Conn) readHead(method string) (*Answer, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, &lostError{cause: err}
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if response.StatusCode == http.StatusSwitchingProtocols || response.ProtoMajor != 1 {
			return nil, eris.Wrapf(ErrLost, "answer in protocol %s", response.Proto)
		}
		return &Answer{
			Status:    response.StatusCode,
			Header:    response.Header,
			conn:      c,
			body:      response.Body,
			keepAlive: keepAliveTimeout(response.Header.Get("Keep-Alive")),
			close:     response.Close,
			framed:    response.ContentLength >= 0 || len(response.TransferEncoding) > 0,
		}, nil
	}
}

// keepAliveTimeout reads the header Keep-Alive, or gives 0.
func keepAliveTimeout(header string) time.Duration {
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
func (a *Answer) SetDeadline(deadline time.Time) error { return a.conn.net.SetReadDeadline(deadline) }

// Read reads the body. At its whole end it returns io.EOF; a body that breaks
// off gives another error.
func (a *Answer) Read(buffer []byte) (int, error) {
	n, err := a.body.Read(buffer)
	if err == io.EOF {
		a.whole = true
	}
	return n, err
}

// Finish ends the exchange: the connection is kept if the whole answer was read
// and nothing speaks against it, else aborted, which cancels the request.
func (a *Answer) Finish() {
	if !a.whole || a.close || !a.framed {
		a.conn.Abort()
		return
	}
	select {
	case err := <-a.written:
		if err != nil {
			a.conn.Abort()
			return
		}
	default:
		// The answer came before the whole body was sent.
		a.conn.Abort()
		return
	}
	a.conn.release(a.keepAlive)
}

// WasUsed reports whether the connection has served earlier requests.
func (c *Conn) WasUsed() bool { return c.reused }
