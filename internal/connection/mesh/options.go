package mesh

import (
	"cmp"
	"time"

	"github.com/rcrowley/go-metrics"

	"mustarddoor/internal/process/hlc"
	"mustarddoor/internal/process/identity"
)

// Path is the path of the WebSocket endpoint.
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
	// batchBytes is the message size from which no further frame is added.
	batchBytes = 32 << 10
	// maxFrameOverheadBytes bounds the encoded size of a frame without its body.
	maxFrameOverheadBytes = 1 << 10
	// maxQueuedFrames is the size of a connection's write queue; senders block
	// when it is full.
	maxQueuedFrames = 64
	// sweepInterval is how often a client checks for idle and stalled links.
	sweepInterval = time.Second
)

// Options configure a Client and a Server. Self, Clock and Metrics are
// required; zero values of the other fields select the defaults.
type Options struct {
	// Self identifies this host to its peers.
	Self identity.Host
	// Clock stamps outgoing frames and observes the stamps of received frames.
	Clock *hlc.Clock
	// Metrics receives the counters.
	Metrics metrics.Registry
	// Gate drops frames in tests; nil lets all frames pass.
	Gate Gate
	// DialTimeout bounds the opening of a connection, including the exchange of
	// hellos.
	DialTimeout time.Duration
	// CallTimeout bounds calls whose context has no deadline.
	CallTimeout time.Duration
	// IdleTimeout is how long a connection without calls is kept open.
	IdleTimeout time.Duration
	// StallTimeout is how long nothing may be received while replies are
	// outstanding before the peer is pinged, and how long the peer then has to
	// respond.
	StallTimeout time.Duration
	// MaxMessageBytes bounds the size of a request or response.
	MaxMessageBytes int
	// MaxInFlight bounds the concurrent calls of one connection.
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

// readLimit returns the maximum size of a WebSocket message from a peer.
func (o Options) readLimit() int64 {
	return int64(o.MaxMessageBytes + maxFrameOverheadBytes + batchBytes)
}

func (o Options) hello() hello {
	return hello{Version: ProtocolVersion, MinVersion: MinProtocolVersion, Host: o.Self}
}

// counters are the metrics of the client and the server.
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
