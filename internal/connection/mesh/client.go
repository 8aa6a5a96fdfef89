package mesh

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"
)

// maxLinksPerCall bounds how many connections a call uses. A call moves to a
// new connection if the current one ended before the call was written, or if a
// dial that began before the call failed.
const maxLinksPerCall = 2

// Client opens connections to other hosts on demand and calls their handlers.
// It implements Caller and is safe for concurrent use.
type Client struct {
	options  Options
	counters *counters
	http     *http.Client
	stop     chan struct{}

	mutex  sync.Mutex
	closed bool
	links  map[string]*link
}

// NewClient returns a client without open connections. Close releases its
// resources.
func NewClient(options Options) *Client {
	options = options.withDefaults()
	transport := &http.Transport{
		DialContext:       (&net.Dialer{Timeout: options.DialTimeout}).DialContext,
		DisableKeepAlives: true,
	}
	client := &Client{
		options:  options,
		counters: newCounters(options.Metrics),
		http:     &http.Client{Transport: transport},
		stop:     make(chan struct{}),
		links:    map[string]*link{},
	}
	go client.sweep()
	return client
}

// Close closes all connections. Calls in flight fail.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	close(c.stop)
	for _, link := range c.links {
		link.close()
	}
}

// Call implements Caller. It applies CallTimeout if the context has no
// deadline.
func (c *Client) Call(ctx context.Context, address string, kind Kind, request, response any) error {
	c.counters.calls.Inc(1)
	if _, hasDeadline := ctx.Deadline(); !hasDeadline {
		timeoutCtx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
		defer cancel()
		ctx = timeoutCtx
	}
	err := c.exchange(ctx, address, kind, request, response)
	c.countError(err)
	return err
}

func (c *Client) exchange(ctx context.Context, address string, kind Kind, request, response any) error {
	body, err := wireCodec.Marshal(request)
	if err != nil {
		return eris.Wrapf(ErrUnreachable, "encoding %s: %v", kind, err)
	}
	if len(body) > c.options.MaxMessageBytes {
		return eris.Wrapf(ErrUnreachable, "request %s has %d bytes, exceeding the limit of %d", kind, len(body), c.options.MaxMessageBytes)
	}
	reply, err := c.send(ctx, address, frame{Type: frameCall, Kind: kind, Body: body})
	if err != nil {
		return err
	}
	if response == nil {
		return nil
	}
	if err := wireCodec.Unmarshal(reply, response); err != nil {
		return eris.Wrapf(ErrNoReply, "decoding the reply to %s: %v", kind, err)
	}
	return nil
}

// send makes the call on an open connection, opening one if necessary.
func (c *Client) send(ctx context.Context, address string, call frame) ([]byte, error) {
	var err error
	for range maxLinksPerCall {
		link, isNew := c.getLink(address)
		if link == nil {
			return nil, eris.Wrap(ErrUnreachable, "client is closed")
		}
		if err = link.wait(ctx); err != nil {
			if isNew {
				return nil, err
			}
			continue
		}
		var reply []byte
		reply, err = link.call(ctx, call)
		if !eris.Is(err, errNotWritten) {
			return reply, err
		}
	}
	return nil, eris.Wrap(ErrUnreachable, err.Error())
}

func (c *Client) countError(err error) {
	switch {
	case err == nil:
	case eris.Is(err, ErrUnreachable):
		c.counters.unreachable.Inc(1)
	case eris.Is(err, ErrNoReply):
		c.counters.lost.Inc(1)
	case eris.Is(err, ErrRejected):
		c.counters.rejected.Inc(1)
	}
}

// getLink returns the connection to an address, which may still be opening, and
// whether this call created it. It returns nil if the client is closed.
func (c *Client) getLink(address string) (current *link, isNew bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return nil, false
	}
	current = c.links[address]
	if current != nil && !current.isClosed() {
		return current, false
	}
	current = newLink(address)
	c.links[address] = current
	go c.open(current)
	return current, true
}

// open dials the peer, exchanges hellos and serves the connection until it
// ends.
func (c *Client) open(l *link) {
	conn, err := c.dial(l.address)
	l.finishDial(conn, err)
	if err == nil {
		c.counters.links.Inc(1)
		l.serve()
		c.counters.links.Dec(1)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.links[l.address] == l {
		delete(c.links, l.address)
	}
}

func (c *Client) dial(address string) (*frameConn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.options.DialTimeout)
	defer cancel()
	gate := c.options.Gate
	if !gate.Passes(address, ToPeer) || !gate.Passes(address, FromPeer) {
		<-ctx.Done()
		return nil, eris.Wrap(ErrUnreachable, ctx.Err().Error())
	}
	socket, _, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{
		HTTPClient:      c.http,
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, eris.Wrap(ErrUnreachable, err.Error())
	}
	conn := newFrameConn(socket, c.options, c.counters)
	if err := conn.sendHello(ctx); err != nil {
		conn.close()
		return nil, eris.Wrap(ErrUnreachable, err.Error())
	}
	if err := conn.receiveHello(ctx); err != nil {
		conn.close()
		return nil, eris.Wrap(ErrUnreachable, err.Error())
	}
	return conn, nil
}

// sweep periodically closes idle and stalled connections.
func (c *Client) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.stop:
			return
		case now := <-ticker.C:
			for _, link := range c.allLinks() {
				link.checkHealth(now)
			}
		}
	}
}

func (c *Client) allLinks() []*link {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	links := make([]*link, 0, len(c.links))
	for _, link := range c.links {
		links = append(links, link)
	}
	return links
}
