// Package client sends requests to a mustarddoor fleet.
//
// It asks a host which hosts to use, caches this entry for its TTL, retries a
// request under the same key at other hosts, and resumes a response at the byte
// where the connection failed. It sends a request under a new key only after a
// refusal with the outcome NotRun, so that no request runs twice.
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
	ErrNoHost = eris.New("no host is reachable")
	// ErrResponseLost is returned when the request may have run and no host
	// could return its response or outcome within the tries allowed.
	ErrResponseLost = eris.New("response was lost")
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
	// Hosts are the frontend addresses of some hosts, as IP:port, which are
	// asked first.
	Hosts []string
	// Team is the name of the caller's team.
	Team string
	// HTTP sends the requests; http.DefaultClient if nil. Its timeout, if any,
	// limits the duration of a complete response.
	HTTP *http.Client
	// MaxTries limits how often one request is sent or resumed in a row without
	// progress; DefaultMaxTries if zero.
	MaxTries int
	// MinRetryDelay is the minimum time between two such tries;
	// DefaultMinRetryDelay if zero.
	MinRetryDelay time.Duration
}

// Client sends the requests of one team. It is safe for concurrent use.
type Client struct {
	options Options
	entries entryCache
}

// New returns a client; zero options are replaced by their defaults.
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
	// Path is a path of the caller interface, such as /v1/chat/completions or
	// /v1/services/bookings/new.
	Path string
	// Route names the request's route; empty if the path or the model determines
	// it.
	Route string
	// ContentType is the type of Body; application/json if empty.
	ContentType string
	Body        []byte
	// Part is the part of the request key that the caller chooses; random if
	// empty. A new key after NotRun has the same part.
	Part string
	// Key is the complete request key of an earlier try. If it is set, the
	// request is never sent under another key.
	Key string
}

// Do sends a request, with retries, until a response starts and returns the
// response, which the caller must close. It fails with a *Refusal, ErrNoHost,
// ErrResponseLost or the error of the context.
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

// Resume returns the response to an earlier request, starting at an offset. It
// fails with the errors of Do.
func (c *Client) Resume(ctx context.Context, key string, offset int64) (*Response, error) {
	call := c.newCall(Request{Key: key})
	response := &Response{ctx: ctx, call: call, offset: offset}
	if err := response.resume(); err != nil {
		return nil, err
	}
	return response, nil
}

// call is a request in progress.
type call struct {
	client  *Client
	request Request
	// key is empty before the first try under a new session.
	key string
	// addresses are the hosts to use; nextAddress is the index of the next one,
	// modulo their number.
	addresses   []string
	nextAddress int
	// sent is set once a host may have received the request.
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

// send sends the request to the next host. It fails with a *Refusal or the error
// of the connection.
func (c *call) send(ctx context.Context) (*http.Response, error) {
	if err := c.ensureKey(ctx); err != nil {
		return nil, err
	}
	url := "http://" + c.address() + c.request.Path
	req, err := http.NewRequestWithContext(ctx, c.request.Method, url, bytes.NewReader(c.request.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the HTTP transport does not resend the request by itself.
	req.GetBody = nil
	req.Header.Set("Content-Type", c.request.ContentType)
	req.Header.Set(headerIdempotencyKey, c.key)
	if c.request.Route != "" {
		req.Header.Set(headerRoute, c.request.Route)
	}
	c.sent = true
	return c.exchange(req)
}

// ensureKey creates a key from a new session, unless the call has one.
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

// requestResume asks the next host for the response, starting at an offset.
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

// address returns the address of the next host.
func (c *call) address() string { return c.addresses[c.nextAddress%len(c.addresses)] }
