//go:build review

package harness

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// Hostname is the host of all routes, Key the key of the one tenant.
const (
	Hostname = "ficu95.example"
	Key      = "i9n73hh2b9wu3fexd9dn"
)

// Request is a request of a client.
type Request struct {
	Method, Path, Body string
	Deadline           time.Duration
	// Header holds further lines, each with its end.
	Header string
	ID     string
	// OnHead is called when the head of the answer has arrived, unless it is nil.
	OnHead func(http.Header)
}

// NewID returns an id as clients make them.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Answer is what a client got.
type Answer struct {
	Status  int
	Header  http.Header
	Body    string
	Err     error
	Elapsed time.Duration
}

// IsPromise reports whether the answer promises that the request has not run.
func (a Answer) IsPromise() bool {
	switch a.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// IsSuccess reports whether the answer is a whole success that a worker has signed.
func (a Answer) IsSuccess() bool {
	return a.Err == nil && a.Status >= 200 && a.Status < 300 && a.Header.Get("Response-Seal") != ""
}

// String describes the answer for the record.
func (a Answer) String() string {
	if a.Err != nil {
		return fmt.Sprintf("status %d, then %v, after %v", a.Status, a.Err, a.Elapsed.Round(time.Millisecond))
	}
	return fmt.Sprintf("status %d, %d bytes, after %v", a.Status, len(a.Body), a.Elapsed.Round(time.Millisecond))
}

// Do sends a request on a new connection and reads its answer. The client leaves at its deadline.
func Do(address string, request Request) Answer {
	startedAt := time.Now()
	answer := exchange(address, request)
	answer.Elapsed = time.Since(startedAt)
	return answer
}

func exchange(address string, request Request) (answer Answer) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		answer.Err = err
		return answer
	}
	defer conn.Close()
	if answer.Err = conn.SetDeadline(time.Now().Add(request.Deadline)); answer.Err != nil {
		return answer
	}
	if _, answer.Err = conn.Write([]byte(request.Encode())); answer.Err != nil {
		return answer
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: request.Method})
	if err != nil {
		answer.Err = err
		return answer
	}
	defer response.Body.Close()
	answer.Status, answer.Header = response.StatusCode, response.Header
	if request.OnHead != nil {
		request.OnHead(response.Header)
	}
	body, err := io.ReadAll(response.Body)
	answer.Body, answer.Err = string(body), err
	return answer
}

// Encode returns the bytes of the request.
func (r Request) Encode() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%s",
		r.Method, r.Path, Hostname, r.ID, r.Deadline.Milliseconds(), Key, r.Header)
	if r.Body != "" || r.Method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n" + r.Body)
	return b.String()
}

// Config returns a configuration like the one on the users' page: model requests below
// /lohu930/ (may be resumed) and /pufi791/, orders below /puxa403/ and reads below /kewi118/.
func Config(version int) map[string]any {
	route := func(prefix, kind, service string, timeoutMs, aimMs, attempts int, extra map[string]any) map[string]any {
		r := map[string]any{
			"name": "r-" + strings.Trim(prefix, "/"), "hostname": Hostname, "pathPrefix": prefix, "routeKind": kind, "timeoutMs": timeoutMs,
			"targetLatencyMs": aimMs, "priority": 1, "serviceName": service, "maxAttempts": attempts, "anonymousAccess": false,
		}
		for name, value := range extra {
			r[name] = value
		}
		return r
	}
	stream := func(resume bool) map[string]any {
		return map[string]any{"stickySessions": true, "streamResume": resume, "targetGapMs": 400}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("/lohu930/", "streaming", "usta-llm", 12000, 800, 2, stream(true)),
			route("/pufi791/", "streaming", "usta-llm", 12000, 400, 1, stream(false)),
			route("/puxa403/", "unsafe", "defter-app", 800, 150, 1, nil),
			route("/kewi118/", "safe", "defter-app", 800, 150, 2, nil),
		},
		"services": []any{
			map[string]any{
				"name": "usta-llm", "healthPath": "/health", "maxConnections": 360, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 14.0,
				"inferenceEngine": map[string]any{"concurrencySlots": 10, "kvCacheTokens": 533072, "stride": 6},
			},
			map[string]any{"name": "defter-app", "healthPath": "/health", "maxConnections": 96, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{
			"name": "hule930", "apiKeys": []string{Key}, "priority": 1, "unit": "token_count", "uncachedTokens": 200, "ratePerS": 314061, "burstSize": 314061,
		}},
	}
}
