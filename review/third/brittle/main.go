//go:build review

// Command brittle plays the case of workers that are brittle for a time, under load.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"mustarddoor/platform/standin"
	"mustarddoor/review/third/harness"
)

// The numbers of hosts, workers and slots are those of hielo-ruta.
const (
	hosts   = 9
	workers = 12
	slots   = 9
	// queue is how many requests a worker lets wait, brittleQueue how many it does so
	// from contactMs after it began to be brittle.
	queue        = 60
	brittleQueue = 0
	// maxRejections is the number of requests a second that a brittle worker can turn away.
	maxRejections = 2
	// brittleAfter is when the workers become brittle, from the first request on, and brittleFor
	// for how long they are.
	brittleAfter = 3 * time.Second
	brittleFor   = 60 * time.Second
	// backAfter is how long a worker that fell over is away, coldFor how long it is cold then, as
	// the configuration says.
	backAfter = 2 * time.Second
	coldFor   = 3 * time.Second
	// perSecond is the number of requests a second, that of the model requests on the busier days
	// of the site file. An answer has some events, with a pause of minPause to maxPause before
	// each: a second in the mean.
	perSecond          = 92
	events             = 10
	minPause, maxPause = 50, 150
	// maxFalls is what the rule allows: 2 + a tenth of the number of workers.
	maxFalls = 2 + workers/10.0
)

type fleet struct {
	*harness.Fleet
	trouble bool

	mu sync.Mutex
	// brittleFrom and brittleUntil are when the workers are brittle; zero before that is known.
	brittleFrom, brittleUntil time.Time
	started, falls, rejected  int
	served, refused, failed   int
}

func main() {
	harness.MemoryMB = 134
	harness.Main(play)
}

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
	if trouble {
		c.mu.Lock()
		c.brittleFrom = time.Now().Add(brittleAfter)
		c.brittleUntil = c.brittleFrom.Add(brittleFor)
		c.mu.Unlock()
	}
	c.send(brittleAfter + brittleFor)
	c.mu.Lock()
	defer c.mu.Unlock()
	f.Record.Say("%d workers fell over (allowed: %.1f); %d requests were rejected by workers; %d answered, %d refused, %d failed or broken off",
		c.falls, maxFalls, c.rejected, c.served, c.refused, c.failed)
	return float64(c.falls) <= maxFalls, nil
}

// send sends requests to the hosts at random.
func (c *fleet) send(length time.Duration) {
	var wait sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		wait.Go(func() { c.ask(c.Hosts[rand.IntN(len(c.Hosts))]) })
	}
	wait.Wait()
}

func (c *fleet) ask(h *harness.Host) {
	request := harness.Request{
		Method: http.MethodPost, Path: "/pufi791/2f", Deadline: 12 * time.Second, ID: harness.NewID(), Body: "question",
		Header: fmt.Sprintf("Model: m\r\nToken-Usage: 688,60\r\nPrompt-Prefix: 5c1e07a2:60,%08x:628\r\n", rand.Uint32()),
	}
	c.Record.Add("request %s is sent to %s", request.ID, h.Name)
	answer := harness.Do(h.Frontend(), request)
	c.Record.Add("request %s gets %v", request.ID, answer)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case answer.IsSuccess():
		c.served++
	case answer.IsPromise():
		c.refused++
	default:
		c.failed++
	}
}

// brittleness reports whether the workers say that they are brittle, and whether they let fewer
// requests wait and can fall over.
func (c *fleet) brittleness(now time.Time) (isBrittle, isTight bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isBrittle = !c.brittleFrom.IsZero() && now.After(c.brittleFrom) && now.Before(c.brittleUntil)
	return isBrittle, isBrittle && now.After(c.brittleFrom.Add(harness.Contact))
}

// worker is a model worker with slots and a queue.
type worker struct {
	*harness.Worker
	fleet *fleet
	zone  string
	ready chan struct{}
	slots chan struct{}

	mu         sync.Mutex
	admitted   int
	rejections []time.Time
	hasFallen  bool
}

func (c *fleet) startWorker(zone string, cold time.Duration) {
	c.mu.Lock()
	c.started++
	id := fmt.Sprintf("i-%08x", c.started)
	c.mu.Unlock()
	w := &worker{fleet: c, zone: zone, ready: make(chan struct{}), slots: make(chan struct{}, slots)}
	w.Worker = c.StartColdWorker(id, "usta-llm", zone, slots, cold, w.run)
	close(w.ready)
}

func (w *worker) run(r *standin.Run) bool {
	<-w.ready
	now := time.Now()
	isBrittle, isTight := w.fleet.brittleness(now)
	if !w.admit(isTight) {
		return w.reject(r, now, isBrittle, isTight)
	}
	w.fleet.Record.Add("request %s is taken by worker %s", r.ID(), w.ID)
	w.slots <- struct{}{}
	isWhole := w.stream(r)
	// There is room again before the client can learn that the answer has ended.
	<-w.slots
	w.mu.Lock()
	w.admitted--
	w.mu.Unlock()
	if isWhole {
		r.Write("0\r\n\r\n")
	}
	return isWhole
}

// stream writes the events of an answer, and reports whether the machine has read them all.
func (w *worker) stream(r *standin.Run) bool {
	if isBrittle, _ := w.fleet.brittleness(time.Now()); isBrittle {
		r.SetHeader("Server-Brittle", fmt.Sprint(maxRejections))
	}
	r.WriteHead(http.StatusOK, -1)
	pause := time.Duration(minPause+rand.IntN(maxPause-minPause)) * time.Millisecond
	for id := 1; id <= events; id++ {
		select {
		case <-r.Closed:
			return false
		case <-time.After(pause):
		}
		r.WriteEvent(id)
	}
	return true
}

// admit reports whether there is room for a request.
func (w *worker) admit(isTight bool) bool {
	room := slots + queue
	if isTight {
		room = slots + brittleQueue
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.admitted >= room {
		return false
	}
	w.admitted++
	return true
}

// reject turns a request away. A worker that has to do so too often falls over.
func (w *worker) reject(r *standin.Run, now time.Time, isBrittle, isTight bool) bool {
	w.mu.Lock()
	w.rejections = append(w.rejections, now)
	lately := 0
	for _, at := range w.rejections {
		if now.Sub(at) < time.Second {
			lately++
		}
	}
	falls := isTight && lately > maxRejections && !w.hasFallen
	w.hasFallen = w.hasFallen || falls
	w.mu.Unlock()
	w.fleet.mu.Lock()
	w.fleet.rejected++
	if falls {
		w.fleet.falls++
	}
	w.fleet.mu.Unlock()
	if falls {
		w.fleet.Record.Add("worker %s rejects request %s, the %d. in a second, and falls over", w.ID, r.ID(), lately)
		w.Crash()
		time.AfterFunc(backAfter, func() { w.fleet.startWorker(w.zone, coldFor) })
		return false
	}
	w.fleet.Record.Add("worker %s rejects request %s", w.ID, r.ID())
	brittle := ""
	if isBrittle {
		brittle = fmt.Sprintf("Server-Brittle: %d\r\n", maxRejections)
	}
	r.Write("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n%sRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", brittle, r.ID())
	return true
}
