// Package client sends requests to a mustarddoor fleet.
//
// It asks a host which hosts to use, keeps the answer for as long as the host
// says, retries a request under the same key at other hosts and resumes its
// answer at the byte where a connection broke. It sends a request under a new
// key only after a refusal that says "not run", so that nothing runs twice.
package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of a request besides *Refusal.
var (
	// ErrNoHost is returned when no host could be reached before the request
	// was sent.
	ErrNoHost = eris.New("no host can be reached")
	// ErrResponseLost is returned when the request may have run and no host could tell
	// what became of it within the tries allowed.
	ErrResponseLost = eris.New("answer was lost")
)

// Headers and paths of the caller interface.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerKey            = "Mustarddoor-Key"
	headerTeam           = "Mustarddoor-Team"
	headerRoute          = "Mustarddoor-Route"
	pathEntry            = "/v1/entry"
	pathRequests         = "/v1/requests/"
)

// Defaults of Options.
const (
	DefaultMaxTries      = 12
	DefaultMinRetryDelay = 200 * time.Millisecond
)

// Options are the settings of a Client.
type Options struct {
	// Hosts are the caller addresses of any hosts, as IP:port, to start from.
	Hosts []string
	// Team is the caller's team.
	Team string
	// HTTP sends the requests; http.DefaultClient if nil. Its timeout, if any,
	// bounds whole answers.
	HTTP *http.Client
	// MaxTries bounds how often one request is sent or resumed in a row without
	// progress; DefaultTries if zero.
	MaxTries int
	// MinRetryDelay is the least time between two such tries; DefaultPause if zero.
	MinRetryDelay time.Duration
}

// Client sends requests of one team. It is safe for concurrent use.
type Client struct {
	options Options
	entries entryCache
}

// New returns a client.
func New(options Options) *Client {
	if options.HTTP == nil {
		options.HTTP = http.DefaultClient
	}
	if options.MaxTries == 0 {
		options.MaxTries = DefaultMaxTries
	}
	if options.MinRetryDelay == 0 {
		options.MinRetryDelay = DefaultMinRetryDelay
	}
	return &Client{options: options}
}

// Request is a request to a model or a plain service.
type Request struct {
	// Method is the HTTP method; POST if empty.
	Method string
	// Path is that of the caller interface, as /v1/chat/completions or
	// /v1/services/bookings/new.
	Path string
	// Route names the request's route; empty if the path or model tells it.
	Route string
	// ContentType is that of Body; application/json if empty.
	ContentType string
	Body        []byte
	// Part is the caller's own part of the request key; random if empty. A new
	// key after "not run" has the same part.
	Part string
	// Key is the whole request key of an earlier try. If it is set, the request
	// is never sent under another key.
	Key string
}

// Do sends a request until its answer begins and returns the answer, which the
// caller closes. It fails with a *Refusal, ErrNoHost, ErrLost or the context's
// error.
func (c *Client) Do(ctx context.Context, request Request) (*Response, error) {
	call := c.newCall(request)
	for try := 0; try < c.options.MaxTries; try++ {
		resp, err := call.send(ctx)
		if err == nil {
			return newResponse(ctx, call, resp), nil
		}
		if !call.waitForRetry(ctx, err) {
			return nil, err
		}
	}
	return nil, call.exhaustedError()
}

// Resume returns the answer to an earlier request from an offset on. It fails
// like Do.
func (c *Client) Resume(ctx context.Context, key string, offset int64) (*Response, error) {
	call := c.newCall(Request{Key: key})
	response := &Response{ctx: ctx, call: call, offset: offset}
	if err := response.resume(); err != nil {
		return nil, err
	}
	return response, nil
}

// call is a request on its way.
type call struct {
	client  *Client
	request Request
	// key is empty before the first try under a new session.
	key string
	// addresses are the hosts to use, next the index of the next one.
	addresses   []string
	nextAddress int
	// sent is set once a host may have got the request.
	sent    bool
	lastErr error
}

func (c *Client) newCall(request Request) *call {
	if request.Method == "" {
		request.Method = http.MethodPost
	}
	if request.ContentType == "" {
		request.ContentType = "application/json"
	}
	if request.Part == "" {
		request.Part = rand.Text()
	}
	return &call{client: c, request: request, key: request.Key, addresses: c.options.Hosts}
}

// send sends the request to the next host. It fails with a *Refusal or the
// connection's error.
func (c *call) send(ctx context.Context) (*http.Response, error) {
	if err := c.ensureKey(ctx); err != nil {
		return nil, err
	}
	url := "http://" + c.address() + c.request.Path
	req, err := http.NewRequestWithContext(ctx, c.request.Method, url, bytes.NewReader(c.request.Body))
	if err != nil {
		return nil, err
	}
	// The transport must not send a request again by itself.
	req.GetBody = nil
	req.Header.Set("Content-Type", c.request.ContentType)
	req.Header.Set(headerIdempotencyKey, c.key)
	if c.request.Route != "" {
		req.Header.Set(headerRoute, c.request.Route)
	}
	c.sent = true
	return c.exchange(req)
}

// ensureKey makes a key unless the call has one.
func (c *call) ensureKey(ctx context.Context) error {
	if c.key != "" {
		return nil
	}
	entry, err := c.client.findEntry(ctx, c.addresses)
	if err != nil {
		return err
	}
	c.key = entry.Session + "/" + c.request.Part
	c.addresses = entry.Addresses
	c.nextAddress = 0
	return nil
}

// requestResume asks the next host for the answer from an offset on.
func (c *call) requestResume(ctx context.Context, offset int64) (*http.Response, error) {
	path := pathRequests + url.PathEscape(c.key) + "?offset=" + strconv.FormatInt(offset, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address()+path, nil)
	if err != nil {
		return nil, err
	}
	return c.exchange(req)
}

func (c *call) exchange(req *http.Request) (*http.Response, error) {
	req.Header.Set(headerTeam, c.client.options.Team)
	resp, err := c.client.options.HTTP.Do(req)
	if err != nil {
		return nil, err
	}
	if refusal := parseRefusal(resp); refusal != nil {
		return nil, refusal
	}
	return resp, nil
}

// address is the host to use next.
func (c *call) address() string { return c.addresses[c.nextAddress%len(c.addresses)] }
