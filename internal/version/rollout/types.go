package rollout

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"mustarddoor/internal/process/identity"
)

// MoveID names one version move.
type MoveID struct {
	Service string `cbor:"1,keyasint" json:"service"`
	From    string `cbor:"2,keyasint" json:"from"`
	To      string `cbor:"3,keyasint" json:"to"`
	// Since is the log offset of the roll that began the move.
	Since uint64 `cbor:"4,keyasint" json:"since"`
	// SinceMillis is that roll's time by the log's clock, Unix milliseconds.
	SinceMillis int64 `cbor:"5,keyasint" json:"since_ms"`
}

// Move is a version move that is under way or has ended.
type Move struct {
	MoveID
	// Began is when the move began.
	Began time.Time
	// MaxDuration is how long the move may take.
	MaxDuration time.Duration
	// Stage is how far it has come, as far as the configuration knows.
	Stage Stage
	// Reason is why the stage was reached.
	Reason string
	// Routes are the service's routes.
	Routes []string
}

// Proposal is a move's new stage and why.
type Proposal struct {
	Move  MoveID `cbor:"1,keyasint" json:"move"`
	Stage Stage  `cbor:"2,keyasint" json:"stage"`
	// Reason is for operators.
	Reason string `cbor:"3,keyasint" json:"reason"`
}

// Delta is a host's news of one move. It can be merged in any order and any
// number of times.
type Delta struct {
	Move MoveID `cbor:"1,keyasint"`
	// Stage is the sender's stage, and Reason why it was reached.
	Stage   Stage    `cbor:"2,keyasint"`
	Reason  string   `cbor:"3,keyasint,omitempty"`
	Reports []Report `cbor:"4,keyasint,omitempty"`
}

// Exchange carries deltas to the other hosts.
type Exchange interface {
	// Broadcast sends deltas to all hosts, at most once; they may be
	// lost. It returns within the context's deadline.
	Broadcast(ctx context.Context, deltas []Delta)
}

// Proposer makes verdicts known to the fleet's configuration, which lasts.
type Proposer interface {
	// Propose hands a verdict over. Equal and outdated verdicts have no
	// effect. On an error it is proposed again.
	Propose(ctx context.Context, proposal Proposal) error
}

// Event tells of a change of a move's stage on this host, or that the move's
// time is over before its end.
type Event struct {
	Move  MoveID
	Stage Stage
	// DeadlineExceeded tells that the move's time is over; the stage is as before.
	DeadlineExceeded bool
	// Share is the new version's part of the traffic, from 0 to 1.
	Share  float64
	Reason string
}

// Attempt is what the judge needs to know of a dispatched request.
type Attempt struct {
	Service, Version, Route string
	// Endpoint is the endpoint's name.
	Endpoint string
	// ExpectedFirstToken is the time to the first token at the endpoint's declared
	// speed.
	ExpectedFirstToken time.Duration
	// ExpectedPerToken is the time of each token after the first at the
	// declared speed; zero for plain services.
	ExpectedPerToken time.Duration
	// Cold tells that the endpoint is cold; then the request's times are not
	// judged.
	Cold bool
}

// Result is how a dispatched request ended.
type Result int

// The results.
const (
	// ResultSucceeded is a whole answer.
	ResultSucceeded Result = iota + 1
	// ResultFailed is an error or a wrong or broken answer of the endpoint.
	ResultFailed
	// ResultLost is a connection that broke or could not be made.
	ResultLost
	// ResultNone says nothing about the endpoint: the caller left, or the
	// endpoint refused the request for lack of room.
	ResultNone
)

// Config is what a Judge is made of.
type Config struct {
	Self identity.Incarnation
	// Exchange may be nil if there are no other hosts.
	Exchange Exchange
	// Proposer may be nil; then verdicts spread by the exchange only.
	Proposer Proposer
	// Notify takes events; it may be nil. It must not block.
	Notify func(Event)
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// AfterFunc calls a function after a time, unless stop is called before;
	// nil means time.AfterFunc.
	AfterFunc func(after time.Duration, call func()) (stop func())
	// Metrics takes the counters; nil means none.
	Metrics metrics.Registry
}
