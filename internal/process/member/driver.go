package member

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"mustarddoor/internal/connection/mesh"
	"mustarddoor/internal/process/hlc"
	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/process/timeline"
)

// ErrSuperseded is returned by Driver.Run when a process with a greater
// incarnation number runs under this host's name. Restarting with a greater
// number helps if the other process is gone.
var ErrSuperseded = eris.New("another process runs under this host's name")

const (
	// packetQueueSize is the maximum number of received messages that wait for
	// the loop.
	packetQueueSize = 256
	// maxCommands is the maximum number of commands that wait for the loop.
	maxCommands = 1024
	// readBufferBytes is larger than any datagram that hosts send.
	readBufferBytes = 2 * maxDatagramBytes
)

// Options configure a Driver. Self, Clock, Recorder and Metrics are required.
type Options struct {
	Self identity.Host
	// Seeds are peer addresses (IP:port) at which other hosts may be found.
	Seeds []string
	// Clock stamps messages and observes the stamps of peers.
	Clock *hlc.Clock
	// Recorder records the events of members.
	Recorder timeline.Recorder
	Metrics  metrics.Registry
	// Gate drops messages in tests; nil lets all pass.
	Gate mesh.Gate
	// Timing is DefaultTiming if zero.
	Timing Timing
}

// packet is a message and the peer address of its sender.
type packet struct {
	address string
	message Message
}

// command is work for the goroutine that owns the core.
type command func(core *Core, now time.Duration) Output

// Driver runs a Core over UDP. Its methods are safe for concurrent use.
type Driver struct {
	options Options
	conn    *net.UDPConn
	core    *Core
	start   time.Time
	view    atomic.Pointer[View]
	packets chan packet
	wake    chan struct{}
	done    chan struct{}

	mutex       sync.Mutex
	commands    []command
	subscribers []func([]Change)

	sentBytes, sentMessages                               metrics.Counter
	receivedBytes, receivedMessages                       metrics.Counter
	droppedMessages, malformedMessages, oversizedMessages metrics.Counter
	suspicions                                            metrics.Counter
}

// NewDriver listens on the peer address of Self. Run starts the protocol.
func NewDriver(options Options) (*Driver, error) {
	if options.Timing == (Timing{}) {
		options.Timing = DefaultTiming()
	}
	address, err := netip.ParseAddrPort(options.Self.MeshAddress)
	if err != nil {
		return nil, eris.Wrap(err, "parsing the peer address")
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, eris.Wrap(err, "listening for membership messages")
	}
	driver := &Driver{
		options: options,
		conn:    conn,
		start:   time.Now(),
		packets: make(chan packet, packetQueueSize),
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
	}
	driver.registerMetrics(options.Metrics)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	driver.core = NewCore(options.Self, options.Seeds, options.Timing, random, 0)
	driver.publish()
	return driver, nil
}

func (d *Driver) registerMetrics(registry metrics.Registry) {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("member."+name, registry)
	}
	d.sentBytes = counter("sent_bytes")
	d.sentMessages = counter("sent_messages")
	d.receivedBytes = counter("received_bytes")
	d.receivedMessages = counter("received_messages")
	d.droppedMessages = counter("dropped_messages")
	d.malformedMessages = counter("malformed_messages")
	d.oversizedMessages = counter("oversized_messages")
	d.suspicions = counter("suspected")
}

// AddSource adds a source whose state is broadcast. All hosts add their sources
// in the same order, before Run.
func (d *Driver) AddSource(source Source) { d.core.AddSource(source) }

// Subscribe registers a function that is called after each change of the view,
// from the goroutine of Run; it must not block.
func (d *Driver) Subscribe(notify func([]Change)) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.subscribers = append(d.subscribers, notify)
}

// View returns this process's current view of the fleet.
func (d *Driver) View() *View { return d.view.Load() }

// Broadcast sends a delta to all hosts.
func (d *Driver) Broadcast(delta Delta) {
	d.enqueue(func(core *Core, _ time.Duration) Output { return core.Broadcast(delta) })
}

// ProbeAddress starts a probe of the host at a peer address that did not
// respond.
func (d *Driver) ProbeAddress(address string) {
	d.enqueue(func(core *Core, now time.Duration) Output { return core.ProbeAddress(now, address) })
}

// SetSeeds replaces the peer addresses at which other hosts may be found.
func (d *Driver) SetSeeds(seeds []string) {
	d.enqueue(func(core *Core, _ time.Duration) Output {
		core.SetSeeds(seeds)
		return Output{}
	})
}

// AnnounceLeaving broadcasts that a planned stop of this host has begun.
func (d *Driver) AnnounceLeaving() {
	d.enqueue(func(core *Core, _ time.Duration) Output { return core.AnnounceLeaving() })
}

// AnnounceLeft notifies other hosts that this host has left, and returns once
// the datagrams are sent. Call it before Run ends.
func (d *Driver) AnnounceLeft(ctx context.Context) {
	sent := make(chan struct{})
	d.enqueue(func(core *Core, _ time.Duration) Output {
		out := core.AnnounceLeft()
		d.send(out.Datagrams)
		out.Datagrams = nil
		close(sent)
		return out
	})
	select {
	case <-sent:
	case <-d.done:
	case <-ctx.Done():
	}
}

// enqueue queues work for the loop. Work beyond maxCommands is dropped;
// comparing digests makes up for lost deltas.
func (d *Driver) enqueue(work command) {
	d.mutex.Lock()
	if len(d.commands) < maxCommands {
		d.commands = append(d.commands, work)
	}
	d.mutex.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Run runs the protocol until the context ends, then returns nil. It fails with
// ErrSuperseded.
func (d *Driver) Run(ctx context.Context) error {
	defer close(d.done)
	stop := context.AfterFunc(ctx, func() { d.conn.Close() })
	defer stop()
	defer d.conn.Close()
	go d.readMessages()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var out Output
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			out = d.core.Tick(d.now())
		case received := <-d.packets:
			out = d.core.Receive(d.now(), received.address, received.message)
		case <-d.wake:
			out = d.runCommands()
		}
		if out.Superseded {
			return ErrSuperseded
		}
		d.apply(out)
		timer.Reset(d.core.Next() - d.now())
	}
}

func (d *Driver) now() time.Duration { return time.Since(d.start) }

// runCommands runs the queued commands.
func (d *Driver) runCommands() Output {
	d.mutex.Lock()
	commands := d.commands
	d.commands = nil
	d.mutex.Unlock()
	var all Output
	for _, work := range commands {
		out := work(d.core, d.now())
		all.Datagrams = append(all.Datagrams, out.Datagrams...)
		all.Changes = append(all.Changes, out.Changes...)
		all.Superseded = all.Superseded || out.Superseded
	}
	return all
}

func (d *Driver) apply(out Output) {
	d.send(out.Datagrams)
	if len(out.Changes) == 0 {
		return
	}
	d.publish()
	for _, change := range out.Changes {
		d.recordChange(change)
	}
	d.mutex.Lock()
	subscribers := d.subscribers
	d.mutex.Unlock()
	for _, notify := range subscribers {
		notify(out.Changes)
	}
}

func (d *Driver) publish() {
	d.view.Store(newView(d.options.Self.Incarnation, d.core.Members()))
}

// recordChange records the events of another host's change on the timeline.
func (d *Driver) recordChange(change Change) {
	if change.Member.Incarnation == d.options.Self.Incarnation {
		return
	}
	for _, event := range change.events() {
		if event.Kind == timeline.MemberSuspected {
			d.suspicions.Inc(1)
		}
		d.options.Recorder.Record(event)
	}
}
