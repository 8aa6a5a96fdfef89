//go:build review

// Command latebeat plays the case of a worker that leaves, one of whose earlier entries is
// written late.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"mustarddoor/platform/standin"
	"mustarddoor/review/third/harness"
)

const (
	hosts = 6
	slots = 10
	// interval is the time between two requests, deadline how long a client waits. One answer in
	// longOf has longEvents events, the others shortEvents, with a pause before each.
	interval    = 80 * time.Millisecond
	deadline    = 12 * time.Second
	longOf      = 3
	longEvents  = 70
	shortEvents = 4
	pause       = 50 * time.Millisecond
	// tokens is the number of tokens of an event.
	tokens = 6
	// lostBefore is how long before its leaving the worker wrote the entry that the store did
	// not answer, lateness how much later the store wrote it.
	lostBefore = 300 * time.Millisecond
	lateness   = 5 * time.Second
	// servesFor is how long the worker serves after its leaving.
	servesFor = 6 * time.Second
	leaverID  = "i-7f3a91c2"
)

type fleet struct {
	*harness.Fleet

	mu sync.Mutex
	// passedAt holds when each host first passed on an answer in which the worker says that
	// it leaves; requests holds what became of each request.
	passedAt map[string]time.Time
	requests map[string]*request
}

type request struct {
	sentAt time.Time
	host   string
	// reached is set if the request reached the worker that leaves.
	reached bool
	answer  harness.Answer
}

func main() { harness.Main(play) }

func play(f *harness.Fleet, trouble bool) (bool, error) {
	c := &fleet{Fleet: f, passedAt: map[string]time.Time{}, requests: map[string]*request{}}
	f.Store.Put("keyed.op", "config", harness.Config(1))
	for i, zone := range []string{"izmir-forge", "manisa-yard"} {
		f.StartWorker(fmt.Sprintf("i-0000000%d", i+1), "usta-llm", zone, slots, c.run)
	}
	leaver := f.StartWorker(leaverID, "usta-llm", "aydin-store", slots, c.run)
	if err := f.StartHosts(hosts, true); err != nil {
		return false, err
	}
	time.Sleep(2 * harness.Contact) // all hosts are in touch
	stop := make(chan struct{})
	sent := make(chan struct{})
	go c.sendUntil(stop, sent)
	time.Sleep(3 * time.Second)
	c.leave(leaver, trouble)
	time.Sleep(time.Second)
	close(stop)
	<-sent
	return c.judge(), nil
}

// run runs a request.
func (c *fleet) run(r *standin.Run) bool {
	if r.Worker.ID == leaverID {
		c.mu.Lock()
		c.requests[r.ID()].reached = true
		c.mu.Unlock()
	}
	c.Record.Add("request %s runs at worker %s", r.ID(), r.Worker.ID)
	_, out, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	count, err := strconv.Atoi(out)
	if err != nil {
		panic(err)
	}
	return standin.Stream(count/tokens, pause)(r)
}

// leave makes the worker leave: it says so in its answers, and its entry is removed. With
// trouble, the store writes the entry before the last late, whose answer was lost.
func (c *fleet) leave(w *harness.Worker, trouble bool) {
	entry, isLast := w.Hush()
	if !isLast {
		panic("the worker has no entry")
	}
	if trouble {
		c.Record.Add("worker %s writes its entry (sequence %v, ready); the answer of the store is lost, it is executed %v later", w.ID, entry["sequence"], lateness)
		time.AfterFunc(lateness, func() {
			c.Store.Put("keyed.servers", w.ID, entry)
			c.Record.Add("the store executes the write of worker %s", w.ID)
			// The platform removes the entry of a worker that was silent for three heartbeats.
			time.AfterFunc(3*harness.Heartbeat, func() {
				c.Store.RemoveEntry(w.ID)
				c.Record.Add("the store removes the entry of worker %s", w.ID)
			})
		})
	} else {
		c.Store.Put("keyed.servers", w.ID, entry)
	}
	time.Sleep(lostBefore)
	w.SetHandler(standin.WithHeader("Server-Leaving", "1", c.run))
	c.Record.Add("worker %s leaves and says so in its answers", w.ID)
	time.Sleep(harness.Heartbeat / 2)
	c.Store.RemoveEntry(w.ID)
	c.Record.Add("the entry of worker %s is removed", w.ID)
	time.Sleep(servesFor)
	w.End()
	c.Record.Add("worker %s exits", w.ID)
}

func (c *fleet) sendUntil(stop, sent chan struct{}) {
	defer close(sent)
	var wait sync.WaitGroup
	defer wait.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		events := shortEvents
		if n%longOf == 0 {
			events = longEvents
		}
		wait.Go(func() { c.send(c.Hosts[rand.IntN(len(c.Hosts))], events) })
	}
}

func (c *fleet) send(h *harness.Host, events int) {
	o := &request{sentAt: time.Now(), host: h.Name}
	ask := harness.Request{
		Method: http.MethodPost, Path: "/pufi791/2f", Deadline: deadline, ID: harness.NewID(), Body: strings.Repeat("q", 830),
		Header: fmt.Sprintf("Model: m\r\nToken-Usage: 688,%d\r\nPrompt-Prefix: 5c1e07a2:60,%08x:628\r\n", events*tokens, rand.Uint32()),
		OnHead: func(header http.Header) { c.notice(h, header) },
	}
	c.mu.Lock()
	c.requests[ask.ID] = o
	c.mu.Unlock()
	c.Record.Add("request %s (%d events) is sent to %s", ask.ID, events, h.Name)
	answer := harness.Do(h.Frontend(), ask)
	c.Record.Add("request %s gets %v", ask.ID, answer)
	c.mu.Lock()
	defer c.mu.Unlock()
	o.answer = answer
}

// notice notices the head of an answer in which the worker says that it leaves.
func (c *fleet) notice(h *harness.Host, header http.Header) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if header.Get("Server-Leaving") != "" && c.passedAt[h.Name].IsZero() {
		c.passedAt[h.Name] = time.Now()
		c.Record.Add("%s has passed on that the worker leaves", h.Name)
	}
}

// judge counts the requests that reached the worker although their host had passed on, more than
// drainTimeoutMs before they were sent, that it leaves.
func (c *fleet) judge() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	late, lost := 0, 0
	for id, o := range c.requests {
		passedAt := c.passedAt[o.host]
		if !o.reached || passedAt.IsZero() || o.sentAt.Sub(passedAt) <= harness.DrainTimeout {
			continue
		}
		late++
		if !o.answer.IsSuccess() {
			lost++
		}
		c.Record.Add("request %s reached the worker, sent %v after %s had passed on that it leaves", id, o.sentAt.Sub(passedAt).Round(time.Millisecond), o.host)
	}
	c.Record.Say("%d of %d hosts passed on that the worker leaves; %d requests reached it from them that were sent later than %v after that (allowed: 0); %d of these were not answered in full",
		len(c.passedAt), len(c.Hosts), late, harness.DrainTimeout, lost)
	return late == 0
}
