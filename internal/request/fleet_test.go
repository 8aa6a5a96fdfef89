package request_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"

	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/request/key"
	"mustarddoor/internal/request/outcome"
	"mustarddoor/internal/request/owner"
	"mustarddoor/internal/request/resume"
	"mustarddoor/internal/request/witness"
)

// The model's sizes and times.
const (
	hostCount     = 3
	endpointCount = 2
	retention     = 20 * time.Second
	sendWithin    = 2 * time.Second
	streamPieces  = 4
)

// fleet is a model of hosts, endpoints and the log, in which one step at a
// time happens in any order.
type fleet struct {
	t              *rapid.T
	random         *rand.Rand
	now            time.Time
	hosts          []*host
	endpoints      []*endpoint
	logged         map[key.Key]witness.Record
	logUnavailable bool
	cutLinks       map[[2]int]bool
	messages       []message
	keys           []key.Key
	// runs counts executions, answers holds the first whole answer, notRun the
	// keys that a caller was told were not run.
	runs      map[key.Key]int
	responses map[key.Key][]byte
	notRun    map[key.Key]bool
	nonce     uint64
	// maxRecords is how many records a host holds.
	maxRecords int
	// requestsPerKey is how many requests there are for each new key.
	requestsPerKey int
	coverage       *coverage
}

// coverage counts what the runs of the model have met.
type coverage struct{ steps, complete, resumed, notRun, unknown, replaced int }

// message is under way between a host and a host or an endpoint.
type message struct {
	from, to int // hosts, or -1 for an endpoint
	deliver  func()
}

// host is one incarnation of a host with the work that it does.
type host struct {
	index     int
	self      identity.Incarnation
	suspended bool
	registry  *owner.Registry
	register  *witness.Register
	owned     []*ownerTask
	retries   []*retryTask
}

// seedBytes is the size of the seed of one run. Draws that rapid makes itself
// prefer small numbers; a run needs even ones.
const seedBytes = 32

func newFleet(t *rapid.T, coverage *coverage) *fleet {
	seed := rapid.SliceOfN(rapid.Byte(), seedBytes, seedBytes).Draw(t, "seed")
	f := &fleet{
		t: t, random: rand.New(rand.NewChaCha8([seedBytes]byte(seed))), now: time.Unix(1_000_000, 0), coverage: coverage,
		logged: map[key.Key]witness.Record{}, cutLinks: map[[2]int]bool{},
		runs: map[key.Key]int{}, responses: map[key.Key][]byte{}, notRun: map[key.Key]bool{},
	}
	f.maxRecords = 1 << f.randomIndex(7)
	f.requestsPerKey = 2 + f.randomIndex(6)
	for i := range hostCount {
		f.hosts = append(f.hosts, f.newHost(i, 1))
	}
	for range endpointCount {
		f.endpoints = append(f.endpoints, &endpoint{streams: map[key.Key]*stream{}})
	}
	return f
}

func (f *fleet) newHost(index int, number uint64) *host {
	h := &host{index: index, self: identity.Incarnation{Host: fmt.Sprintf("host-%d", index), Number: number}}
	h.register = witness.NewRegister(witness.Config{
		Self:      h.self,
		Limits:    witness.Limits{Records: f.maxRecords, Bytes: 1 << 20, Owners: 10},
		Retention: func() time.Duration { return retention },
	})
	h.registry = owner.NewRegistry(owner.Config{
		Self:      h.self,
		Limits:    owner.Limits{Requests: f.maxRecords, AnswerBytes: int64(10 * f.maxRecords), WindowBytes: 1 << 10},
		Recorder:  recorder{f, h},
		Now:       func() time.Time { return f.now },
		Retention: func() time.Duration { return retention },
	})
	return h
}

// recorder sends outcomes to the witness, as messages that may be lost.
type recorder struct {
	f *fleet
	h *host
}

func (r recorder) Record(ended witness.Outcome) {
	to := r.f.hostIndex(ended.Key.Session.Witness)
	if to < 0 {
		r.h.register.Finish(ended)
		return
	}
	r.f.send(r.h.index, to, func() { r.f.hosts[to].register.Finish(ended) })
}

// hostIndex is the index of a host by its name, whatever its incarnation now.
func (f *fleet) hostIndex(incarnation identity.Incarnation) int {
	for _, h := range f.hosts {
		if h.self.Host == incarnation.Host {
			return h.index
		}
	}
	return -1
}

func (f *fleet) send(from, to int, deliver func()) {
	f.messages = append(f.messages, message{from: from, to: to, deliver: deliver})
}

// call is a request and its reply; done is called at most once, unless the
// caller has restarted meanwhile. Timeouts may come at any moment.
type call struct {
	ended   bool
	timeOut func()
}

func (f *fleet) call(from, to int, handle func() any, done func(any)) *call {
	c := &call{}
	caller := f.hosts[from]
	finish := func(reply any) {
		if c.ended || f.hosts[from] != caller {
			return
		}
		c.ended = true
		done(reply)
	}
	c.timeOut = func() { finish(nil) }
	f.send(from, to, func() {
		reply := handle()
		f.send(to, from, func() { finish(reply) })
	})
	return c
}

// randomIndex draws an index below n; n is at least 1.
func (f *fleet) randomIndex(n int) int { return f.random.IntN(n) }

func (f *fleet) deliver() {
	if len(f.messages) == 0 {
		return
	}
	i := f.randomIndex(len(f.messages))
	m := f.messages[i]
	if m.to >= 0 && f.hosts[m.to].suspended || f.cutLinks[[2]int{m.from, m.to}] {
		return
	}
	f.messages = append(f.messages[:i:i], f.messages[i+1:]...)
	m.deliver()
}

func (f *fleet) drop() {
	if len(f.messages) > 0 {
		i := f.randomIndex(len(f.messages))
		f.messages = append(f.messages[:i:i], f.messages[i+1:]...)
	}
}

// advance lets time pass: most often little, sometimes more than the retention
// time.
func (f *fleet) advance() {
	maxAdvance := time.Second
	if f.randomIndex(4) == 0 {
		maxAdvance = 2 * retention
	}
	f.now = f.now.Add(time.Duration(1 + f.randomIndex(int(maxAdvance))))
}

// drawFault draws the next state of a fault, which is rarer than its absence.
func (f *fleet) drawFault(isOn bool) bool { return !isOn && f.randomIndex(6) == 0 }

func (f *fleet) toggleSuspended() {
	h := f.hosts[f.randomIndex(hostCount)]
	h.suspended = f.drawFault(h.suspended)
}

func (f *fleet) restart() {
	i := f.randomIndex(hostCount)
	f.hosts[i] = f.newHost(i, f.hosts[i].self.Number+1)
}

func (f *fleet) toggleLink() {
	a, b := f.randomIndex(hostCount), f.randomIndex(hostCount)
	isCut := f.drawFault(f.cutLinks[[2]int{a, b}])
	f.cutLinks[[2]int{a, b}], f.cutLinks[[2]int{b, a}] = isCut, isCut
}

func (f *fleet) toggleLog() { f.logUnavailable = f.drawFault(f.logUnavailable) }

func (f *fleet) restartEndpoint() {
	f.endpoints[f.randomIndex(endpointCount)].streams = map[key.Key]*stream{}
}

func (f *fleet) sweep() {
	h := f.hosts[f.randomIndex(hostCount)]
	h.registry.Sweep()
	h.register.Sweep(f.now)
}

// journal appends one host's records; the acknowledgement may be lost.
func (f *fleet) journal() {
	h := f.hosts[f.randomIndex(hostCount)]
	if h.suspended {
		return
	}
	records := h.register.TakeUnlogged(0, 10)
	if f.logUnavailable {
		h.register.Relog(records)
		return
	}
	for _, r := range records {
		record := witness.Record{State: witness.StateIntended, Intent: r.Intent}
		if r.Final != nil {
			record.State, record.Final = witness.StateFinished, *r.Final
		}
		f.logged[r.Intent.Key] = record
	}
	if f.randomIndex(2) == 0 {
		h.register.Logged(records)
	} else {
		h.register.Relog(records)
	}
}

// endpoint counts executions and keeps the streams.
type endpoint struct{ streams map[key.Key]*stream }

type stream struct {
	bytes []byte
	ended bool
}

// execute executes a request.
func (f *fleet) execute(e *endpoint, k key.Key) {
	f.runs[k]++
	response := []byte(fmt.Sprintf("<%d-%d>", f.nonce, f.runs[k]))
	e.streams[k] = &stream{bytes: response}
}

// generate adds to one stream of one endpoint.
func (f *fleet) generate() {
	e := f.endpoints[f.randomIndex(endpointCount)]
	for _, k := range f.keys {
		s := e.streams[k]
		if s == nil || s.ended || f.randomIndex(2) == 0 {
			continue
		}
		s.bytes = append(s.bytes, byte('a'+len(s.bytes)%26))
		s.ended = len(s.bytes)%streamPieces == 0
	}
}

// recordRefusal checks what a caller is recordRefusal at the end.
func (f *fleet) recordRefusal(k key.Key, refusal outcome.Refusal) {
	switch refusal.Outcome {
	case outcome.NotRun:
		f.notRun[k] = true
		f.coverage.notRun++
	case outcome.Unknown:
		f.coverage.unknown++
	}
}

// checkResponse checks a whole answer that a caller got.
func (f *fleet) checkResponse(k key.Key, response []byte) {
	f.coverage.complete++
	if first := f.responses[k]; first != nil && !bytes.Equal(first, response) {
		f.t.Fatalf("two answers of %s: %q and %q", k, first, response)
	}
	f.responses[k] = response
}

// check verifies the guarantees.
func (f *fleet) check() {
	for k, runs := range f.runs {
		if runs > 1 {
			f.t.Fatalf("%s ran %d times", k, runs)
		}
		if f.notRun[k] {
			f.t.Fatalf("%s ran although a caller was told that it did not", k)
		}
	}
}

var _ resume.CapabilitySource = engines{}

// engines makes every service one of model engines, but "plain".
type engines struct{}

func (engines) Capabilities(service string) resume.Capabilities {
	return resume.Capabilities{CanResumeStream: service != "plain"}
}
