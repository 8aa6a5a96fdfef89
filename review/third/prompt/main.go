//go:build review

// Command prompt plays the cases of prompts with a part that crashes workers: long prompts
// (variant "long") and a conversation that grows (variant "conversation").
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"mustarddoor/platform/standin"
	"mustarddoor/review/third/harness"
)

const (
	hosts   = 6
	workers = 6
	slots   = 10
	// length is how long clients send. A request with the crashing part comes every badInterval, a
	// sound one every soundInterval.
	length        = 30 * time.Second
	badInterval   = 500 * time.Millisecond
	soundInterval = 50 * time.Millisecond
	// backAfter is how long a worker that crashed is away, coldFor how long it is cold then, as
	// the configuration says.
	backAfter = 2 * time.Second
	coldFor   = 3 * time.Second
	// crashingPart is the part of prompts that crashes workers, firstPart the one that all
	// prompts begin with.
	crashingPart = "bad0bad0"
	firstPart    = "5c1e07a2"
	// maxLate is the number of requests with the part that may reach workers later than
	// contactMs after the fifth crash.
	maxLate = 3
)

// prompts returns the prompt of the n-th request: the ids of its parts but the last.
type prompts func(n int, isBad bool) []string

// longTurns is the number of parts of a long prompt between the first and the last one,
// longPlace the place of the crashing part, from 0.
const (
	longTurns = 19
	longPlace = 17
)

// longPrompt is the history of a conversation, in which one turn is crashing.
func longPrompt(_ int, isBad bool) []string {
	parts := []string{firstPart}
	for n := range longTurns {
		parts = append(parts, turn(n))
	}
	if isBad {
		parts[longPlace] = crashingPart
	}
	return parts
}

// soundTurns says that one in so many sound prompts has the turns that the conversation has by
// then.
const soundTurns = 200

// growingPrompt is a conversation about a crashing document: each request has one turn more
// than the one before. Sound requests are about no document.
func growingPrompt(n int, isBad bool) []string {
	parts, turns := []string{firstPart}, 0
	switch {
	case isBad:
		parts, turns = append(parts, crashingPart), n
	case n%soundTurns == 0:
		turns = min(1+n*int(soundInterval/time.Millisecond)/int(badInterval/time.Millisecond), conversationLength)
	}
	for earlier := range turns {
		parts = append(parts, turn(earlier))
	}
	return parts
}

func turn(n int) string { return fmt.Sprintf("%08x", 0xa0000001+n) }

// conversationLength is the number of requests of the conversation.
const conversationLength = 30

// fleet is the model workers and what they saw.
type fleet struct {
	*harness.Fleet
	trouble bool

	mu sync.Mutex
	// arrivals holds when requests with the crashing part reached workers, crashes when workers
	// crashed.
	arrivals, crashes []time.Time
	started, broken   int
}

func main() { harness.Main(play) }

func play(f *harness.Fleet, trouble bool) (bool, error) {
	c := &fleet{Fleet: f, trouble: trouble}
	f.Store.Put("keyed.op", "config", harness.Config(1))
	for i := range workers {
		c.startWorker([]string{"izmir-forge", "manisa-yard", "aydin-store"}[i%3], 0)
	}
	if err := f.StartHosts(hosts, true); err != nil {
		return false, err
	}
	time.Sleep(2 * harness.Contact) // all hosts are in touch
	switch variant := harness.Variant(); variant {
	case "long":
		c.send(longPrompt, int(length/badInterval))
	case "conversation":
		c.send(growingPrompt, conversationLength)
	default:
		return false, fmt.Errorf("%w: unknown variant %q", harness.ErrCannotRun, variant)
	}
	return c.judge(), nil
}

// startWorker starts a model worker. It crashes as it begins to write an answer to a prompt
// with the crashing part, and is back after a while.
func (c *fleet) startWorker(zone string, cold time.Duration) {
	c.mu.Lock()
	c.started++
	id := fmt.Sprintf("i-%08x", c.started)
	c.mu.Unlock()
	var w *harness.Worker
	ready := make(chan struct{})
	w = c.StartColdWorker(id, "usta-llm", zone, slots, cold, func(r *standin.Run) bool {
		if !harness.HasPart(r.Header.Get("Prompt-Prefix"), crashingPart) {
			return standin.Stream(10, 20*time.Millisecond)(r)
		}
		<-ready
		c.mu.Lock()
		c.arrivals = append(c.arrivals, time.Now())
		if c.trouble {
			c.crashes = append(c.crashes, time.Now())
		}
		c.mu.Unlock()
		c.Record.Add("request %s with the part reaches worker %s", r.ID(), id)
		if !c.trouble {
			return standin.Stream(10, 20*time.Millisecond)(r)
		}
		c.Record.Add("worker %s crashes as it begins to answer", id)
		r.WriteHead(http.StatusOK, -1)
		w.Crash()
		time.AfterFunc(backAfter, func() { c.startWorker(zone, coldFor) })
		return false
	})
	close(ready)
}

// send sends both kinds of requests, at all hosts in turn.
func (c *fleet) send(of prompts, bad int) {
	var wait sync.WaitGroup
	send := func(interval time.Duration, count int, isBad bool) {
		for n := range count {
			time.Sleep(interval)
			wait.Go(func() { c.ask(c.Hosts[n%len(c.Hosts)], of(n, isBad), isBad) })
		}
	}
	wait.Go(func() { send(soundInterval, int(length/soundInterval), false) })
	wait.Go(func() { send(badInterval, bad, true) })
	wait.Wait()
}

func (c *fleet) ask(h *harness.Host, parts []string, isBad bool) {
	prompt := ""
	for _, part := range parts {
		prompt += part + ":40,"
	}
	request := harness.Request{
		Method: http.MethodPost, Path: "/lohu930/2f", Deadline: 12 * time.Second, ID: harness.NewID(), Body: fmt.Sprintf("question %x", rand.Uint64()),
		// The last part is the request's own.
		Header: fmt.Sprintf("Model: m\r\nToken-Usage: %d,60\r\nPrompt-Prefix: %s%08x:300\r\n", 40*len(parts)+300, prompt, rand.Uint32()),
	}
	kind := "sound"
	if isBad {
		kind = "with the part"
	}
	c.Record.Add("request %s (%s) is sent to %s, parts %s", request.ID, kind, h.Name, strings.Join(parts, " "))
	answer := harness.Do(h.Frontend(), request)
	c.Record.Add("request %s (%s) gets %v", request.ID, kind, answer)
	if !isBad && !answer.IsSuccess() && !answer.IsPromise() {
		c.mu.Lock()
		c.broken++
		c.mu.Unlock()
	}
}

// judge counts the requests with the part that reached workers later than contactMs after the
// fifth crash.
func (c *fleet) judge() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	late := 0
	if len(c.crashes) >= 5 {
		for _, at := range c.arrivals {
			if at.After(c.crashes[4].Add(harness.Contact)) {
				late++
			}
		}
	}
	c.Record.Say("workers crashed %d times; %d requests with the part reached workers later than %v after the fifth crash (allowed: %d); %d sound requests were broken off",
		len(c.crashes), late, harness.Contact, maxLate, c.broken)
	return late <= maxLate
}
