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

// Sizes and times of the model.
const (
	hostCount     = 3
	endpointCount = 2
	retention     = 20 * time.Second
	sendWithin    = 2 * time.Second
	streamPieces  = 4
)

// fleet is a single-threaded model of hosts, endpoints and the log. Its steps can
// happen in any order.
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
	// runs counts executions, responses holds complete responses, and notRun
	// holds the keys that were reported to a caller as not run.
	runs      map[key.Key]int
	responses map[key.Key][]byte
	notRun    map[key.Key]bool
	nonce     uint64
	// maxRecords limits the requests and the records that a host holds.
	maxRecords int
	// requestsPerKey is the mean number of requests for each new key.
	requestsPerKey int
	coverage       *coverage
}

// coverage counts the situations that occurred in all runs of the model.
type coverage struct{ steps, complete, resumed, notRun, unknown, replaced int }

// message is in transit between two hosts or between a host and an endpoint.
type message struct {
	from, to int // hosts, or -1 for an endpoint
	deliver  func()
}

// host is one incarnation of a host with its tasks.
type host struct {
	index     int
	self      identity.Incarnation
	suspended bool
	registry  *owner.Registry
	register  *witness.Register
	owned     []*ownerTask
	retries   []*retryTask
}

// seedBytes is the size of the seed of one run. The run draws from its own
// generator because rapid prefers small numbers and the steps need a uniform
// distribution.
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
		Limits:    witness.Limits{MaxRecords: f.maxRecords, MaxBytes: 1 << 20, MaxOwners: 10},
		Retention: func() time.Duration { return retention },
	})
	h.registry = owner.NewRegistry(owner.Config{
		Self:            h.self,
		Limits:          owner.Limits{MaxRequests: f.maxRecords, MaxResponseBytes: int64(10 * f.maxRecords), MaxWindowBytes: 1 << 10},
		OutcomeRecorder: recorder{f, h},
		Now:             func() time.Time { return f.now },
		Retention:       func() time.Duration { return retention },
	})
	return h
}

// recorder sends outcomes to the witness in messages that can be lost.
type recorder struct {
	f *fleet
	h *host
}

func (r recorder) RecordOutcome(ended witness.Outcome) {
	to := r.f.hostIndex(ended.Key.Session.Witness)
	if to < 0 {
		r.h.register.RecordOutcome(ended)
		return
	}
	r.f.send(r.h.index, to, func() { r.f.hosts[to].register.RecordOutcome(ended) })
}

// hostIndex returns the index of the host with the same name, regardless of its
// current incarnation, or -1.
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

// call is a pending request to a host or an endpoint. Its callback runs at most
// once, and not at all if the sender has restarted. A timeout can occur at any
// step.
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

// randomIndex draws an index below n, which is at least 1.
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

// advance moves the time forward, usually by up to a second and sometimes by more
// than the retention time.
func (f *fleet) advance() {
	maxAdvance := time.Second
	if f.randomIndex(4) == 0 {
		maxAdvance = 2 * retention
	}
	f.now = f.now.Add(time.Duration(1 + f.randomIndex(int(maxAdvance))))
}

// drawFault draws the next state of a fault. Faults are less likely than their
// absence.
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

// journal appends the records of one host to the log. The acknowledgement can be
// lost.
func (f *fleet) journal() {
	h := f.hosts[f.randomIndex(hostCount)]
	if h.suspended {
		return
	}
	records := h.register.TakeUnlogged(0, 10)
	if f.logUnavailable {
		h.register.RequeueUnlogged(records)
		return
	}
	for _, r := range records {
		record := witness.Record{State: witness.StateIntended, Intent: r.Intent}
		if r.Result != nil {
			record.State, record.Result = witness.StateFinished, *r.Result
		}
		f.logged[r.Intent.Key] = record
	}
	if f.randomIndex(2) == 0 {
		h.register.MarkLogged(records)
	} else {
		h.register.RequeueUnlogged(records)
	}
}

// endpoint holds the streams of its requests.
type endpoint struct{ streams map[key.Key]*stream }

type stream struct {
	bytes []byte
	ended bool
}

// execute runs a request at an endpoint and starts its stream.
func (f *fleet) execute(e *endpoint, k key.Key) {
	f.runs[k]++
	response := []byte(fmt.Sprintf("<%d-%d>", f.nonce, f.runs[k]))
	e.streams[k] = &stream{bytes: response}
}

// generate extends the streams of one endpoint.
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

// recordRefusal records the outcome of a refusal sent to a caller.
func (f *fleet) recordRefusal(k key.Key, refusal outcome.Refusal) {
	switch refusal.Outcome {
	case outcome.NotRun:
		f.notRun[k] = true
		f.coverage.notRun++
	case outcome.Unknown:
		f.coverage.unknown++
	}
}

// checkResponse fails if a complete response differs from an earlier one to the
// same key.
func (f *fleet) checkResponse(k key.Key, response []byte) {
	f.coverage.complete++
	if first := f.responses[k]; first != nil && !bytes.Equal(first, response) {
		f.t.Fatalf("different responses to %s: %q and %q", k, first, response)
	}
	f.responses[k] = response
}

// check fails if a request ran twice or ran after it was reported as not run.
func (f *fleet) check() {
	for k, runs := range f.runs {
		if runs > 1 {
			f.t.Fatalf("%s ran %d times", k, runs)
		}
		if f.notRun[k] {
			f.t.Fatalf("%s ran although it was reported to a caller as not run", k)
		}
	}
}

var _ resume.CapabilitySource = engines{}

// engines is a resume.CapabilitySource in which every service but "plain" can
// resume streams.
type engines struct{}

func (engines) Capabilities(service string) resume.Capabilities {
	return resume.Capabilities{CanResumeStream: service != "plain"}
}
