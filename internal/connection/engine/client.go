package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of a request to an endpoint. ErrNotStarted guarantees that the endpoint
// did not start the request; with ErrInterrupted it may have.
var (
	ErrNotStarted        = eris.New("endpoint did not start the request")
	ErrInterrupted       = eris.New("connection to endpoint was interrupted")
	ErrUnknownKey        = eris.New("endpoint does not know the request")
	ErrStaleFencingToken = eris.New("endpoint refused a stale fencing token")
	ErrStatus            = eris.New("endpoint responded with an error status")
)

// Limits of the connections to endpoints.
const (
	dialTimeout             = 500 * time.Millisecond
	idleTimeout             = 60 * time.Second
	maxIdleConnsPerEndpoint = 256
	maxControlResponseBytes = 1 << 20
)

// Call is one request to an endpoint.
type Call struct {
	// Address is the endpoint's IP:port.
	Address string
	Method  string
	// Path starts with a slash and can include a query.
	Path string
	// ContentType is the type of Body; empty without a body.
	ContentType string
	Body        []byte
	// Key is the request key in text form.
	Key string
}

// Response is the response of an endpoint. The caller must close Body.
type Response struct {
	Status      int
	ContentType string
	Body        io.ReadCloser
}

// Client sends requests to endpoints. It never retries a request.
type Client struct {
	httpClient *http.Client
}

// NewClient returns a client with its own connection pool.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerEndpoint,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{httpClient: &http.Client{Transport: transport, CheckRedirect: refuseRedirect}}
}

// refuseRedirect returns a redirect as the response instead of sending the
// request to another address.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Send sends the call once and returns the response, whatever its status, unless
// that is none. It fails with ErrNotStarted or ErrInterrupted.
func (c *Client) Send(ctx context.Context, call Call) (*Response, error) {
	traced, write := traceWrite(ctx)
	req, err := newRequest(traced, call)
	if err != nil {
		return nil, eris.Wrap(ErrNotStarted, err.Error())
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, classifyError(err)
	}
	body, err := checkResponse(ctx, resp, write)
	if err != nil {
		return nil, err
	}
	return &Response{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}

// newRequest returns a request that the HTTP transport cannot resend: without
// GetBody it does not resend a body, and HeaderKey is not one of the headers by
// which the transport recognizes an idempotent request.
func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	var body io.Reader
	if len(call.Body) > 0 {
		body = bytes.NewReader(call.Body)
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Path, body)
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	if call.ContentType != "" {
		req.Header.Set("Content-Type", call.ContentType)
	}
	if call.Key != "" {
		req.Header.Set(HeaderKey, call.Key)
	}
	return req, nil
}

// classifyError returns ErrNotStarted if no connection was established, so that
// the endpoint cannot have received the request, and else ErrInterrupted.
func classifyError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return eris.Wrap(ErrNotStarted, err.Error())
	}
	return eris.Wrap(ErrInterrupted, err.Error())
}

// Resume requests the response to an earlier request, starting at offset, in
// bytes of the event stream. It fails with ErrUnknownKey, ErrNotStarted or
// ErrInterrupted.
func (c *Client) Resume(ctx context.Context, address, key string, offset int64) (*Response, error) {
	path := fmt.Sprintf(PathStream, url.PathEscape(key)) + "?offset=" + strconv.FormatInt(offset, 10)
	response, err := c.Send(ctx, Call{Address: address, Method: http.MethodGet, Path: path})
	if err != nil {
		return nil, err
	}
	if response.Status == http.StatusNotFound {
		response.Body.Close()
		return nil, eris.Wrap(ErrUnknownKey, key)
	}
	return response, nil
}

// Cancel cancels a request. It fails with ErrUnknownKey, ErrNotStarted,
// ErrInterrupted or ErrStatus.
func (c *Client) Cancel(ctx context.Context, address, key string) error {
	path := fmt.Sprintf(PathCancel, url.PathEscape(key))
	return c.doControl(ctx, Call{Address: address, Method: http.MethodPost, Path: path}, nil)
}

// Load reads an endpoint's load report.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var load Load
	err := c.doControl(ctx, Call{Address: address, Method: http.MethodGet, Path: PathLoad}, &load)
	return load, err
}

// State reads the current state of an endpoint.
func (c *Client) State(ctx context.Context, address string) (State, error) {
	var state State
	err := c.doControl(ctx, Call{Address: address, Method: http.MethodGet, Path: PathState}, &state)
	return state, err
}

// CacheEvents reads an endpoint's cache events, starting at a sequence number.
func (c *Client) CacheEvents(ctx context.Context, address string, from uint64) (CacheEvents, error) {
	var events CacheEvents
	path := PathCacheEvents + "?from=" + strconv.FormatUint(from, 10)
	err := c.doControl(ctx, Call{Address: address, Method: http.MethodGet, Path: path}, &events)
	return events, err
}

// Order sends an order to an endpoint once. It fails with ErrStaleFencingToken,
// ErrNotStarted, ErrInterrupted or ErrStatus.
func (c *Client) Order(ctx context.Context, address string, order Order) (State, error) {
	var state State
	body, err := json.Marshal(order)
	if err != nil {
		return state, err
	}
	err = c.doControl(ctx, Call{
		Address:     address,
		Method:      http.MethodPost,
		Path:        PathOrders,
		ContentType: "application/json",
		Body:        body,
	}, &state)
	return state, err
}

// doControl sends a call with a small response and decodes its JSON into result,
// unless result is nil.
func (c *Client) doControl(ctx context.Context, call Call, result any) error {
	response, err := c.Send(ctx, call)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	switch {
	case response.Status == http.StatusNotFound:
		return eris.Wrap(ErrUnknownKey, call.Path)
	case response.Status == http.StatusConflict:
		return eris.Wrap(ErrStaleFencingToken, call.Path)
	case response.Status >= http.StatusMultipleChoices:
		return eris.Wrapf(ErrStatus, "%s: %d", call.Path, response.Status)
	case result == nil:
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxControlResponseBytes))
	if err != nil {
		return eris.Wrap(ErrInterrupted, err.Error())
	}
	if err := json.Unmarshal(body, result); err != nil {
		return eris.Wrap(ErrInterrupted, err.Error())
	}
	return nil
}
