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

// Errors of a request to an endpoint. After ErrNotStarted the endpoint surely
// did not start the request; after ErrInterrupted it may have.
var (
	ErrNotStarted        = eris.New("endpoint did not start the request")
	ErrInterrupted       = eris.New("endpoint broke off")
	ErrUnknownKey        = eris.New("endpoint does not know the request")
	ErrStaleFencingToken = eris.New("endpoint refused an old fencing number")
	ErrStatus            = eris.New("endpoint answered with an error status")
)

// Bounds of the connections to endpoints.
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
	// Path starts with a slash and may hold a query.
	Path string
	// ContentType is that of Body; empty if there is none.
	ContentType string
	Body        []byte
	// Key is the request key's text.
	Key string
}

// Response is an endpoint's answer. The caller closes Body.
type Response struct {
	Status      int
	ContentType string
	Body        io.ReadCloser
}

// Client sends requests to endpoints. It never sends a request twice.
type Client struct {
	httpClient *http.Client
}

// NewClient gives a client with its own pool of connections.
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

// refuseRedirect hands a redirect to the caller instead of sending the request
// to another address.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Send sends the call once and returns the reply with its status as it is. It
// fails with ErrNotStarted or ErrInterrupted.
func (c *Client) Send(ctx context.Context, call Call) (*Response, error) {
	req, err := newRequest(ctx, call)
	if err != nil {
		return nil, eris.Wrap(ErrNotStarted, err.Error())
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, classifyError(err)
	}
	return &Response{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        resp.Body,
	}, nil
}

// newRequest builds a request that the transport cannot replay: with GetBody
// unset it does not resend a body, and the key travels in a header that the
// transport does not take as a mark of an idempotent request.
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

// classifyError tells whether the endpoint can have seen a request that failed. It
// cannot if no connection to it was made.
func classifyError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return eris.Wrap(ErrNotStarted, err.Error())
	}
	return eris.Wrap(ErrInterrupted, err.Error())
}

// Resume reads a request's answer from offset, in bytes of the event stream.
// It fails with ErrUnknownKey, ErrNotStarted or ErrInterrupted.
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

// Cancel stops a request. It fails with ErrUnknownKey, ErrNotStarted,
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

// State reads what an endpoint runs.
func (c *Client) State(ctx context.Context, address string) (State, error) {
	var state State
	err := c.doControl(ctx, Call{Address: address, Method: http.MethodGet, Path: PathState}, &state)
	return state, err
}

// CacheEvents reads an endpoint's cache events from a sequence number on.
func (c *Client) CacheEvents(ctx context.Context, address string, from uint64) (CacheEvents, error) {
	var events CacheEvents
	path := PathCacheEvents + "?from=" + strconv.FormatUint(from, 10)
	err := c.doControl(ctx, Call{Address: address, Method: http.MethodGet, Path: path}, &events)
	return events, err
}

// Order gives an endpoint an order once. It fails with ErrOldFence,
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

// doControl sends a small call and decodes its JSON reply into response unless
// that is nil.
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
