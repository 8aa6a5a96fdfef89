package mesh

import (
	"cmp"
	"time"

	"github.com/rcrowley/go-metrics"

	"mustarddoor/internal/process/hlc"
	"mustarddoor/internal/process/identity"
)

// Path is where the server listens for WebSocket connections.
const Path = "/mesh/v1"

// Defaults of Options.
const (
	DefaultDialTimeout     = time.Second
	DefaultCallTimeout     = 5 * time.Second
	DefaultIdleTimeout     = time.Minute
	DefaultStallTimeout    = 3 * time.Second
	DefaultMaxMessageBytes = 1 << 20
	DefaultMaxInFlight     = 4096
)

const (
	// writeTimeout bounds the write of one WebSocket message.
	writeTimeout = 5 * time.Second
	// batchBytes is the size from which on no further frame joins a message.
	batchBytes = 32 << 10
	// maxFrameOverheadBytes bounds what a frame adds to its body.
	maxFrameOverheadBytes = 1 << 10
	// maxQueuedFrames is how many frames may wait for the writer of a connection;
	// their senders wait beyond that.
	maxQueuedFrames = 64
	// sweepInterval is how often a client looks for idle and stalled links.
	sweepInterval = time.Second
)

// Options configure a Client and a Server. Self, Clock and Metrics are
// required; zero values of the others stand for the defaults.
type Options struct {
	// Self is this host, as it is named to peers.
	Self identity.Host
	// Clock stamps frames and observes the stamps of peers.
	Clock *hlc.Clock
	// Metrics receives the counters.
	Metrics metrics.Registry
	// Gate drops frames in tests; nil lets all pass.
	Gate Gate
	// DialTimeout bounds the opening of a connection, hello included.
	DialTimeout time.Duration
	// CallTimeout bounds calls whose context has no deadline.
	CallTimeout time.Duration
	// IdleTimeout closes connections without calls.
	IdleTimeout time.Duration
	// StallTimeout is how long a connection may owe replies in silence before
	// it is pinged, and how long it then has to answer.
	StallTimeout time.Duration
	// MaxMessageBytes bounds a request or response.
	MaxMessageBytes int
	// MaxInFlight bounds the unanswered calls of one connection.
	MaxInFlight int
}

func (o Options) withDefaults() Options {
	if o.Gate == nil {
		o.Gate = passAllGate{}
	}
	o.DialTimeout = cmp.Or(o.DialTimeout, DefaultDialTimeout)
	o.CallTimeout = cmp.Or(o.CallTimeout, DefaultCallTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, DefaultIdleTimeout)
	o.StallTimeout = cmp.Or(o.StallTimeout, DefaultStallTimeout)
	o.MaxMessageBytes = cmp.Or(o.MaxMessageBytes, DefaultMaxMessageBytes)
	o.MaxInFlight = cmp.Or(o.MaxInFlight, DefaultMaxInFlight)
	return o
}

// readLimit is the largest WebSocket message that a peer may send.
func (o Options) readLimit() int64 {
	return int64(o.MaxMessageBytes + maxFrameOverheadBytes + batchBytes)
}

func (o Options) hello() hello {
	return hello{Version: ProtocolVersion, MinVersion: MinProtocolVersion, Host: o.Self}
}

// counters are the numbers that both sides of the mesh keep.
type counters struct {
	sentBytes, sentFrames         metrics.Counter
	receivedBytes, receivedFrames metrics.Counter
	droppedFrames                 metrics.Counter
	calls, lost, unreachable      metrics.Counter
	rejected, lateReplies         metrics.Counter
	links, sessions               metrics.Counter
}

func newCounters(registry metrics.Registry) *counters {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("mesh."+name, registry)
	}
	return &counters{
		sentBytes:      counter("sent_bytes"),
		sentFrames:     counter("sent_frames"),
		receivedBytes:  counter("received_bytes"),
		receivedFrames: counter("received_frames"),
		droppedFrames:  counter("dropped_frames"),
		calls:          counter("calls"),
		lost:           counter("calls_lost"),
		unreachable:    counter("calls_unreachable"),
		rejected:       counter("calls_rejected"),
		lateReplies:    counter("late_replies"),
		links:          counter("links"),
		sessions:       counter("sessions"),
	}
}
