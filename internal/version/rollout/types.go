package rollout

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"mustarddoor/internal/process/identity"
)

// MoveID identifies a version move.
type MoveID struct {
	Service string `cbor:"1,keyasint" json:"service"`
	From    string `cbor:"2,keyasint" json:"from"`
	To      string `cbor:"3,keyasint" json:"to"`
	// Since is the offset in the log of the roll that started the move.
	Since uint64 `cbor:"4,keyasint" json:"since"`
	// SinceMillis is the time of that roll by the log's clock, in Unix
	// milliseconds.
	SinceMillis int64 `cbor:"5,keyasint" json:"since_ms"`
}

// Move is a version move that is in progress or has ended.
type Move struct {
	MoveID
	Began time.Time
	// MaxDuration is the time that the move may take.
	MaxDuration time.Duration
	// Stage is the stage that the configuration records.
	Stage Stage
	// Reason says why the stage was reached.
	Reason string
	// Routes are the service's routes.
	Routes []string
}

// Proposal is a new stage of a move and the reason for it.
type Proposal struct {
	Move  MoveID `cbor:"1,keyasint" json:"move"`
	Stage Stage  `cbor:"2,keyasint" json:"stage"`
	// Reason is written for operators.
	Reason string `cbor:"3,keyasint" json:"reason"`
}

// Delta is an update about one move from one host. Deltas can be merged in any
// order and any number of times.
type Delta struct {
	Move MoveID `cbor:"1,keyasint"`
	// Stage is the sender's stage, and Reason says why it was reached.
	Stage   Stage    `cbor:"2,keyasint"`
	Reason  string   `cbor:"3,keyasint,omitempty"`
	Reports []Report `cbor:"4,keyasint,omitempty"`
}

// Exchange sends deltas to the other hosts.
type Exchange interface {
	// Broadcast sends deltas to all hosts, at most once; they may be lost. It
	// returns within the context's deadline.
	Broadcast(ctx context.Context, deltas []Delta)
}

// Proposer submits proposals to the fleet's durable configuration.
type Proposer interface {
	// Propose submits a proposal. Duplicate and outdated proposals have no
	// effect. After an error the controller proposes again.
	Propose(ctx context.Context, proposal Proposal) error
}

// Event reports that a move's stage changed on this host, or that a move did
// not end by its deadline.
type Event struct {
	Move  MoveID
	Stage Stage
	// DeadlineExceeded is set if the move did not end by its deadline. The
	// stage has not changed then.
	DeadlineExceeded bool
	// Share is the new version's share of the traffic, from 0 to 1.
	Share  float64
	Reason string
}

// Attempt describes one dispatch of a request to an endpoint.
type Attempt struct {
	Service, Version, Route string
	// Endpoint is the endpoint's name.
	Endpoint string
	// ExpectedFirstToken is the time to the first token at the endpoint's
	// declared speed.
	ExpectedFirstToken time.Duration
	// ExpectedPerToken is the time per token after the first at the declared
	// speed. It is zero for plain services.
	ExpectedPerToken time.Duration
	// Cold is set if the endpoint is cold. The attempt's latency is ignored
	// then.
	Cold bool
}

// Result is the outcome of an attempt.
type Result int

// Results of an attempt.
const (
	// ResultSucceeded is a complete answer.
	ResultSucceeded Result = iota + 1
	// ResultFailed is an error, or an incorrect or incomplete answer, of the
	// endpoint.
	ResultFailed
	// ResultLost is a connection that broke or could not be established.
	ResultLost
	// ResultNone says nothing about the endpoint: the caller left, or the
	// endpoint refused the request because it had no capacity.
	ResultNone
)

// Config holds the dependencies of a Controller.
type Config struct {
	Self identity.Incarnation
	// Exchange may be nil if there are no other hosts.
	Exchange Exchange
	// Proposer may be nil. Stages then spread by the exchange only.
	Proposer Proposer
	// Notify receives events. It may be nil and must not block.
	Notify func(Event)
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// AfterFunc calls a function after a time unless stop is called before;
	// nil means time.AfterFunc.
	AfterFunc func(after time.Duration, call func()) (stop func())
	// Metrics is the registry of the counters; nil means a private one.
	Metrics metrics.Registry
}
