package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"mustarddoor/platform/standin"
)

const (
	// think is the longest pause of a caller between two requests.
	think = 60 * time.Millisecond
	// leaveShare is the part of the requests that callers give up, after at
	// most leaveAfter.
	leaveShare = 0.08
	leaveAfter = 150 * time.Millisecond
)

// mix is how often callers ask for a route, in hundredths.
var mix = []struct {
	route string
	share int
}{{routeSafe, 30}, {routeUnsafe, 30}, {routeStream, 20}, {routeOnce, 10}, {routeToggled, 10}}

// caller sends requests one after another and keeps its connection until the
// host closes it.
type caller struct {
	number int
	fronts []string
	random *rand.Rand
	record *Record
	asked  int
}

// run asks until the context ends.
func (c *caller) run(ctx context.Context) {
	host := c.random.IntN(len(c.fronts))
	client := standin.NewClient(c.fronts[host])
	defer func() { client.Close() }()
	for ctx.Err() == nil {
		reply := c.ask(client, host)
		if reply.Err != nil || reply.Status != 200 {
			client.Close()
			host = c.random.IntN(len(c.fronts))
			client = standin.NewClient(c.fronts[host])
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(c.random.Int64N(int64(think)))):
		}
	}
}

// ask sends one request and notes it. It is not cut short at the end of the
// traffic, so that each request has an end.
func (c *caller) ask(client *standin.Client, host int) standin.Response {
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	if c.random.Float64() < leaveShare {
		timer := time.AfterFunc(time.Duration(c.random.Int64N(int64(leaveAfter))), leave)
		defer timer.Stop()
	}
	return c.send(ctx, client, host, c.pickRoute())
}

// send sends a request, notes it and its end. The caller leaves when the
// context ends.
func (c *caller) send(ctx context.Context, client *standin.Client, host int, route string) standin.Response {
	c.asked++
	id := fmt.Sprintf("%04x%012x", c.number, c.asked)
	ask := Ask{ID: id, Route: route, Body: "question " + id, Host: host, Sent: time.Now()}
	c.record.Asked(ask)
	reply := client.Do(ctx, standin.Request{Route: route, ID: id, Body: ask.Body, Deadline: deadline})
	c.record.Answered(id, reply, ctx.Err() != nil && reply.Err != nil, time.Now())
	return reply
}

func (c *caller) pickRoute() string {
	dice := c.random.IntN(100)
	for _, m := range mix {
		if dice -= m.share; dice < 0 {
			return m.route
		}
	}
	return routeSafe
}
