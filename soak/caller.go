package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"mustarddoor/platform/standin"
)

const (
	// maxThinkTime is the longest pause of a caller between two requests.
	maxThinkTime = 60 * time.Millisecond
	// refusalPause is how much longer patient callers wait after a refusal.
	refusalPause = 200 * time.Millisecond
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
	// direct are the addresses of the hosts themselves. A proxy would read for a slow
	// caller.
	direct []string
	random *rand.Rand
	// load is drawn with variants, random numbers apart from the others.
	load     Load
	variants *rand.Rand
	record   *Recorder
	sent     int
	// crashesPrompts is set while some prompts, and some requests, crash endpoints.
	crashesPrompts *atomic.Bool
	// followsNext is positive while callers of a host that fails go on to the next one.
	followsNext *atomic.Int32
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
			next := (host + 1) % len(c.frontends)
			if host = c.random.IntN(len(c.frontends)); c.followsNext.Load() > 0 {
				host = next
			}
			client = standin.NewClient(c.frontends[host])
		}
		pause := time.Duration(c.random.Int64N(int64(maxThinkTime)))
		if response.IsNotExecuted() && c.isPatient() {
			pause += refusalPause
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// isPatient reports whether the caller waits after a refusal. As on the platform, some do
// not.
func (c *caller) isPatient() bool { return c.number%2 == 0 }

// sendRandom sends one request on a random route and cancels some of them. It does
// not use the context of the traffic, so that each request runs to its end.
func (c *caller) sendRandom(client *standin.Client, host int) standin.Response {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if c.random.Float64() < cancelRatio {
		timer := time.AfterFunc(time.Duration(c.random.Int64N(int64(maxCancelDelay))), cancel)
		defer timer.Stop()
	}
	route := c.pickRoute()
	v := c.load.draw(c.variants, route)
	if v.isSlow {
		client.Close()
		client = standin.NewClient(c.direct[host])
		client.ReceiveBuffer = slowBuffer
		defer client.Close()
	}
	return c.send(ctx, client, host, route, v)
}

// send sends a request and records it and its end. The request is canceled with the
// context.
func (c *caller) send(ctx context.Context, client *standin.Client, host int, route string, v variant) standin.Response {
	c.sent++
	id := fmt.Sprintf("%04x%012x", c.number, c.sent)
	body := c.body(route, id)
	request := Request{ID: id, Route: route, Target: targetOf(route, body, v), Deadline: v.deadline, Body: body, Host: host, Sent: time.Now()}
	request.Prompt = c.prompt(route, id)
	c.record.AddRequest(request)
	response := client.Do(ctx, standin.Request{
		ID: id, Target: request.Target, Key: key(route), Body: body, Deadline: v.deadline, Prompt: request.Prompt, IsChunked: v.isChunked, Reading: v.reading,
	})
	ended := time.Now()
	response.Body = withoutPadding(response.Body, streamOf(v.target).padding, response.Err == nil)
	c.record.EndRequest(id, response, ctx.Err() != nil && response.Err != nil, ended)
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

const (
	// sharedPart is a part of all prompts, crashingPart one of those that crash
	// endpoints.
	sharedPart   = "5c1e07a2"
	crashingPart = "bad0bad0"
	// crashRatio is the ratio of prompts with crashingPart while there are any.
	crashRatio = 0.06
)

// crashingBody is the body of the requests that crash each endpoint that runs them. All
// of a route are alike.
const crashingBody = "question that crashes"

// body returns the body of a request.
func (c *caller) body(route, id string) string {
	isPlain := route == routeSafe || route == routeUnsafe
	if isPlain && c.crashesPrompts != nil && c.crashesPrompts.Load() && c.random.Float64() < crashRatio {
		return crashingBody
	}
	return "question " + id
}

// targetOf returns the target of a request. Those that crash endpoints are alike on a
// route, so they have no query.
func targetOf(route, body string, v variant) string {
	if body == crashingBody {
		return standin.Path(route)
	}
	return v.target
}

// prompt returns the parts of a request's prompt; only streams have one.
func (c *caller) prompt(route, id string) string {
	switch {
	case route != routeStream && route != routeOnce:
		return ""
	case c.crashesPrompts != nil && c.crashesPrompts.Load() && c.random.Float64() < crashRatio:
		return sharedPart + ":60," + crashingPart + ":100," + id + ":300"
	}
	return sharedPart + ":60," + id + ":300"
}
