package member_test

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/process/member"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "50"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}

// direction is one direction between two addresses.
type direction struct{ from, to string }

// network simulates cores in virtual time over in-memory links.
type network struct {
	random *rand.Rand
	timing member.Timing
	// seeds are the addresses that each process has in its settings.
	seeds        []string
	now          time.Duration
	nodes        map[string]*node
	events       events
	lastSequence uint64
	// loss and duplication are the probabilities that a message is lost or
	// duplicated.
	loss, duplication float64
	delay             time.Duration
	cuts              map[direction]bool
	// sentBytes counts payload bytes, sentMessages datagrams.
	sentBytes, sentMessages int
	// observe is called for every change of a host's view.
	observe func(n *node, change member.Change)
}

// node is one process.
type node struct {
	host       identity.Host
	core       *member.Core
	hasTimer   bool
	suspended  bool
	heldEvents []event
	superseded bool
}

// event is a timer or the arrival of a message.
type event struct {
	at       time.Duration
	sequence uint64
	node     *node
	from     string
	payload  []byte
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newNetwork(seed uint64) *network {
	return &network{
		random:  rand.New(rand.NewPCG(seed, seed)),
		timing:  member.DefaultTiming(),
		seeds:   []string{address(0), address(1)},
		nodes:   map[string]*node{},
		delay:   time.Millisecond,
		cuts:    map[direction]bool{},
		observe: func(*node, member.Change) {},
	}
}

// startHosts starts hosts named host-0, host-1 and so on, each with a source of
// its own if sources is not nil.
func (w *network) startHosts(count int, sources func() member.Source) {
	for i := range count {
		var source member.Source
		if sources != nil {
			source = sources()
		}
		w.start(fmt.Sprintf("host-%d", i), address(i), 1, source)
	}
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1) }

// start starts a process at an address, replacing one that ran there.
func (w *network) start(name, at string, number uint64, source member.Source) *node {
	n := &node{host: identity.Host{
		Incarnation: identity.Incarnation{Host: name, Number: number},
		Domain:      "guadalupe-a",
		Region:      "baja-norte",
		Address:     at,
		MeshAddress: at,
	}}
	random := rand.New(rand.NewPCG(w.random.Uint64(), number))
	n.core = member.NewCore(n.host, w.seeds, w.timing, random, w.now)
	if source != nil {
		n.core.AddSource(source)
	}
	w.nodes[at] = n
	// Starts are spread over a second, as on separate machines.
	w.schedule(event{at: w.now + time.Duration(w.random.Int64N(int64(time.Second))), node: n})
	return n
}

func (w *network) kill(n *node) {
	if w.nodes[n.host.MeshAddress] == n {
		delete(w.nodes, n.host.MeshAddress)
	}
}

func (w *network) resume(n *node) {
	n.suspended = false
	for _, held := range n.heldEvents {
		held.at = w.now
		w.schedule(held)
	}
	n.heldEvents = nil
}

func (w *network) setCut(from, to *node, broken bool) {
	w.cuts[direction{from.host.MeshAddress, to.host.MeshAddress}] = broken
}

func (w *network) schedule(e event) {
	w.lastSequence++
	e.sequence = w.lastSequence
	heap.Push(&w.events, e)
}

// run advances virtual time.
func (w *network) run(duration time.Duration) {
	end := w.now + duration
	for len(w.events) > 0 && w.events[0].at <= end {
		w.step()
	}
	w.now = end
}

// runUntil advances virtual time until the condition holds, and reports whether
// it did within the duration.
func (w *network) runUntil(duration time.Duration, holds func() bool) bool {
	end := w.now + duration
	for !holds() {
		if len(w.events) == 0 || w.events[0].at > end {
			return false
		}
		w.step()
	}
	return true
}

func (w *network) step() {
	next := heap.Pop(&w.events).(event)
	w.now = max(w.now, next.at)
	if n := next.node; n.suspended {
		n.heldEvents = append(n.heldEvents, next)
		return
	}
	if w.nodes[next.node.host.MeshAddress] != next.node {
		return
	}
	w.deliver(next)
}

func (w *network) deliver(next event) {
	n := next.node
	var out member.Output
	if next.payload != nil {
		message, err := member.Decode(next.payload)
		if err != nil {
			panic(err)
		}
		out = n.core.Receive(w.now, next.from, message)
	} else {
		n.hasTimer = false
		out = n.core.Tick(w.now)
	}
	w.apply(n, out)
}

// apply processes the output of a core and schedules its timer.
func (w *network) apply(n *node, out member.Output) {
	n.superseded = n.superseded || out.Superseded
	for _, change := range out.Changes {
		w.observe(n, change)
	}
	for _, datagram := range out.Datagrams {
		w.send(n, datagram)
	}
	if !n.hasTimer {
		n.hasTimer = true
		w.schedule(event{at: max(w.now, n.core.Next()), node: n})
	}
}

func (w *network) send(from *node, datagram member.Datagram) {
	payload, err := datagram.Message.Encode()
	if err != nil {
		panic(err)
	}
	w.sentMessages++
	w.sentBytes += len(payload)
	to := w.nodes[datagram.Address]
	if to == nil || w.cuts[direction{from.host.MeshAddress, datagram.Address}] {
		return
	}
	copies := 1
	if w.random.Float64() < w.duplication {
		copies = 2
	}
	for range copies {
		if w.random.Float64() < w.loss {
			continue
		}
		late := w.delay/2 + time.Duration(w.random.Int64N(int64(w.delay)))
		w.schedule(event{at: w.now + late, node: to, from: from.host.MeshAddress, payload: payload})
	}
}

// stateOf returns the state in which a host sees an incarnation, or 0 if it
// doesn't know it.
func (n *node) stateOf(of identity.Incarnation) member.State {
	for _, m := range n.core.Members() {
		if m.Incarnation == of {
			return m.State
		}
	}
	return 0
}

// converged reports whether all running processes see each other alive and see
// no other members that are not gone.
func (w *network) converged() bool {
	for _, n := range w.nodes {
		seen := 0
		for _, m := range n.core.Members() {
			if m.State.IsGone() {
				continue
			}
			other := w.nodes[m.MeshAddress]
			if m.State != member.StateAlive || other == nil || other.host.Incarnation != m.Incarnation {
				return false
			}
			seen++
		}
		if seen != len(w.nodes) {
			return false
		}
	}
	return true
}

func (w *network) mustConverge(t testing.TB, within time.Duration) {
	t.Helper()
	end := w.now + within
	for !w.converged() && w.now < end {
		w.run(100 * time.Millisecond)
	}
	if !w.converged() {
		for _, n := range w.nodes {
			t.Logf("%s sees %v", n.host.Incarnation, n.core.Members())
		}
		t.Fatalf("views did not converge within %v", within)
	}
}
