package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"mustarddoor/platform/standin"
)

const (
	// maxThinkTime is the longest pause of a caller between two requests.
	maxThinkTime = 60 * time.Millisecond
	// cancelRatio is the ratio of requests that callers cancel, after at most
	// maxCancelDelay.
	cancelRatio    = 0.08
	maxCancelDelay = 150 * time.Millisecond
)

// routeMix lists the percentage of requests on each route.
var routeMix = []struct {
	route   string
	percent int
}{{routeSafe, 30}, {routeUnsafe, 30}, {routeStream, 20}, {routeOnce, 10}, {routeToggled, 10}}

// caller sends requests one after another and keeps its connection until a request
// fails or the host closes it.
type caller struct {
	number    int
	frontends []string
	random    *rand.Rand
	record    *Recorder
	sent      int
}

// run sends requests until the context is done.
func (c *caller) run(ctx context.Context) {
	host := c.random.IntN(len(c.frontends))
	client := standin.NewClient(c.frontends[host])
	defer func() { client.Close() }()
	for ctx.Err() == nil {
		response := c.sendRandom(client, host)
		if response.Err != nil || response.Status != 200 {
			client.Close()
			host = c.random.IntN(len(c.frontends))
			client = standin.NewClient(c.frontends[host])
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(c.random.Int64N(int64(maxThinkTime)))):
		}
	}
}

// sendRandom sends one request on a random route and cancels some of them. It does
// not use the context of the traffic, so that each request runs to its end.
func (c *caller) sendRandom(client *standin.Client, host int) standin.Response {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if c.random.Float64() < cancelRatio {
		timer := time.AfterFunc(time.Duration(c.random.Int64N(int64(maxCancelDelay))), cancel)
		defer timer.Stop()
	}
	return c.send(ctx, client, host, c.pickRoute())
}

// send sends a request and records it and its end. The request is canceled with the
// context.
func (c *caller) send(ctx context.Context, client *standin.Client, host int, route string) standin.Response {
	c.sent++
	id := fmt.Sprintf("%04x%012x", c.number, c.sent)
	request := Request{ID: id, Route: route, Body: "question " + id, Host: host, Sent: time.Now()}
	c.record.AddRequest(request)
	response := client.Do(ctx, standin.Request{Route: route, ID: id, Body: request.Body, Deadline: requestDeadline})
	c.record.EndRequest(id, response, ctx.Err() != nil && response.Err != nil, time.Now())
	return response
}

func (c *caller) pickRoute() string {
	draw := c.random.IntN(100)
	for _, r := range routeMix {
		if draw -= r.percent; draw < 0 {
			return r.route
		}
	}
	return routeSafe
}
