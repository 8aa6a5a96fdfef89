package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
)

// Timeouts and bounds of the connections to the platform's services.
const (
	dialTimeout        = time.Second
	callTimeout        = 3 * time.Second
	idleTimeout        = 60 * time.Second
	maxIdleConnections = 8
	maxReplyBytes      = 64 << 20
)

// client sends JSON requests to one service of the platform.
type client struct {
	address string
	http    *http.Client
}

func newClient(address string) client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
	}
	return client{address: address, http: &http.Client{Transport: transport}}
}

// httpReply is the complete reply of a service.
type httpReply struct {
	status int
	body   []byte
}

// get sends a GET. It fails with ErrUnavailable if the service cannot be
// reached or replies with a server error or status 429.
func (c client) get(ctx context.Context, path string, query url.Values, timeout time.Duration) (httpReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	target := "http://" + c.address + path + "?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return httpReply{}, eris.Wrap(ErrRefused, err.Error())
	}
	reply, err := c.do(req)
	if err != nil {
		return httpReply{}, eris.Wrap(ErrUnavailable, err.Error())
	}
	if reply.status >= http.StatusInternalServerError || reply.status == http.StatusTooManyRequests {
		return httpReply{}, eris.Wrapf(ErrUnavailable, "GET %s: status %d", path, reply.status)
	}
	return reply, nil
}

// post sends a POST once; the transport does not retry it. It fails with
// ErrUnavailable if the service certainly did not receive the request, else
// with ErrUncertain.
func (c client) post(ctx context.Context, path string, request any) (httpReply, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return httpReply{}, eris.Wrap(ErrRefused, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	target := "http://" + c.address + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return httpReply{}, eris.Wrap(ErrRefused, err.Error())
	}
	// Without GetBody the transport cannot send the body again.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	reply, err := c.do(req)
	if isDialError(err) {
		return httpReply{}, eris.Wrap(ErrUnavailable, err.Error())
	}
	if err != nil {
		return httpReply{}, eris.Wrap(ErrUncertain, err.Error())
	}
	if reply.status >= http.StatusInternalServerError {
		return httpReply{}, eris.Wrapf(ErrUncertain, "POST %s: status %d", path, reply.status)
	}
	return reply, nil
}

// do sends a request and reads the complete reply.
func (c client) do(req *http.Request) (httpReply, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return httpReply{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return httpReply{}, err
	}
	return httpReply{status: resp.StatusCode, body: body}, nil
}

// isDialError reports whether a request failed before a connection was
// established.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
