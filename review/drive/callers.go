//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// apiKey is the key of the only team.
const apiKey = "i9n73hh2b9wu3fexd9dn"

// requestKind is a kind of request of the small deployment's sheet.
type requestKind struct {
	name, method, path string
	perSecond          float64
	promptTokens       int
	events             int
	bodyBytes          int
	deadline           time.Duration
	// limit is the shorter one of deadline and the shortest timeout of the route.
	limit time.Duration
}

// sheet is what the callers of the small deployment send.
var sheet = []requestKind{
	{name: "season-brief", method: http.MethodPost, path: "/lohu930/2f", perSecond: 15.7, promptTokens: 6610, events: 55, bodyBytes: 12000, deadline: 12 * time.Second, limit: 12 * time.Second},
	{name: "crew-script", method: http.MethodPost, path: "/pufi791/2f", perSecond: 43.8, promptTokens: 628, events: 42, bodyBytes: 830, deadline: 10 * time.Second, limit: 10 * time.Second},
	{name: "frost-check", method: http.MethodPost, path: "/gono990/2f", perSecond: 24.1, promptTokens: 1800, events: 3, bodyBytes: 2400, deadline: 3 * time.Second, limit: 3 * time.Second},
	{name: "crew-booking", method: http.MethodPost, path: "/puxa403/2f", perSecond: 20.9, bodyBytes: 600, deadline: 2500 * time.Millisecond, limit: 2 * time.Second},
	{name: "roster-read", method: http.MethodGet, path: "/cufi504/2f", perSecond: 8.35, deadline: 2500 * time.Millisecond, limit: 2 * time.Second},
}

// tokensPerEvent is the number of tokens in an event of a stream.
const tokensPerEvent = 7

// callers send requests to the hosts on connections that they keep, at random times. Like
// the platform's clients they leave a host that refuses connections alone for a while.
type callers struct {
	record *record
	fleet  *fleet
	runs   func(id string) int

	mu sync.Mutex
	// idle are the kept connections by address.
	idle                   map[string][]*callerConn
	sent, answered, failed int
	// cuts are the requests that a worker ran and whose connection was closed without a
	// complete answer, before seven tenths of their time.
	cuts []cut
}

// cut is a request that a host passed on to a sound worker and whose connection it closed.
type cut struct {
	host string
	at   time.Time
	// isUnanswered is set if no byte of an answer arrived, on a connection that was kept.
	isUnanswered bool
}

// usableTime is the part of its time in which a cut of a request counts.
const usableTime = 0.7

// maxIdle is how long callers keep an idle connection: four fifths of the limit.
const maxIdle = 12 * time.Second

type callerConn struct {
	net.Conn
	reader *bufio.Reader
	// used is the number of complete exchanges, usedAt the end of the last one.
	used   int
	usedAt time.Time
}

func newCallers(r *record, f *fleet, runs func(id string) int) *callers {
	return &callers{record: r, fleet: f, runs: runs, idle: map[string][]*callerConn{}}
}

// run sends requests of a kind until ctx is done.
func (c *callers) run(ctx context.Context, kind requestKind, factor float64) {
	done := sync.WaitGroup{}
	defer done.Wait()
	for {
		pause := time.Duration(rand.ExpFloat64() / (kind.perSecond * factor) * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		done.Go(func() { c.send(kind) })
	}
}

func (c *callers) take(address string) *callerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conns := c.idle[address]; len(conns) > 0; conns = c.idle[address] {
		conn := conns[len(conns)-1]
		c.idle[address] = conns[:len(conns)-1]
		if time.Since(conn.usedAt) < maxIdle {
			return conn
		}
		_ = conn.Close()
	}
	return nil
}

// send sends a request to a random host and reads the answer.
func (c *callers) send(kind requestKind) {
	h := c.fleet.hosts[rand.IntN(len(c.fleet.hosts))]
	address, id := h.frontend(), fmt.Sprintf("%016x", rand.Uint64())
	conn := c.take(address)
	if conn == nil {
		opened, err := net.DialTimeout("tcp4", address, time.Second)
		if err != nil {
			return // the caller would ask another host
		}
		conn = &callerConn{Conn: opened, reader: bufio.NewReader(opened)}
	}
	c.mu.Lock()
	c.sent++
	c.mu.Unlock()
	isKept := conn.used > 0
	c.record.add("send %s (%s) to %s, kept connection: %v", id, kind.name, h.name, isKept)
	sentAt := time.Now()
	status, keep, hasBegun, err := conn.exchange(kind, id)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.answered++
		c.record.add("answer %d to %s", status, id)
		conn.usedAt = time.Now()
		if conn.used++; keep {
			c.idle[address] = append(c.idle[address], conn)
		} else {
			_ = conn.Close()
		}
		return
	}
	c.failed++
	_ = conn.Close()
	timeout, isNet := err.(net.Error)
	isClosed := !isNet || !timeout.Timeout()
	c.record.add("no whole answer to %s: %v; answer begun: %v; run: %d times", id, err, hasBegun, c.runs(id))
	used := float64(time.Since(sentAt)) / float64(kind.limit)
	if isClosed && c.runs(id) > 0 && used < usableTime {
		c.cuts = append(c.cuts, cut{host: h.name, at: time.Now(), isUnanswered: isKept && !hasBegun})
		c.record.add("CUT %s: passed on to a sound worker by %s, after %.2f of its time", id, h.name, used)
	}
}

// exchange sends a request and reads its answer. hasBegun is set if any byte of an answer
// arrived.
func (c *callerConn) exchange(kind requestKind, id string) (status int, keep, hasBegun bool, err error) {
	if err := c.SetDeadline(time.Now().Add(kind.deadline)); err != nil {
		return 0, false, false, err
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		kind.method, kind.path, hostname, id, kind.deadline.Milliseconds(), apiKey)
	if kind.events > 0 {
		head += fmt.Sprintf("Model: m\r\nToken-Usage: %d,%d\r\nPrompt-Prefix: 5c1e07a2:60,%s:%d\r\n", kind.promptTokens, kind.events*tokensPerEvent, id[:8], kind.promptTokens-60)
	}
	if kind.method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", kind.bodyBytes)
	}
	if _, err := io.WriteString(c, head+"\r\n"+strings.Repeat("x", kind.bodyBytes)); err != nil {
		return 0, false, false, err
	}
	if _, err := c.reader.Peek(1); err != nil {
		return 0, false, false, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, false, true, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, !response.Close, true, err
}

func (c *callers) report(r *record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.say("callers sent %d requests; %d got an answer, %d none or not the whole", c.sent, c.answered, c.failed)
}
