package member

// Topic names the owner of deltas, usually a package.
type Topic string

// MaxDeltaBytes bounds the body of a delta.
const MaxDeltaBytes = 300

// Delta is a small change of state that spreads with the probes.
type Delta struct {
	Topic Topic `cbor:"1,keyasint"`
	// Key is what the delta is about. A newer delta of the same topic and key
	// takes the place of an older one that still waits to be sent.
	Key  string `cbor:"2,keyasint"`
	Body []byte `cbor:"3,keyasint"`
	// Urgent deltas are pushed to some hosts at once, and on by each host to
	// which they are new, instead of waiting for the next ping or ack.
	Urgent bool `cbor:"4,keyasint,omitempty"`
}

// Source is state that spreads by deltas. It must be a join: equal sets of
// deltas give equal state, in any order and repetition. Its methods are called
// from the membership's goroutine and must neither block nor call the Driver,
// but for Spread.
type Source interface {
	// Topic is the name that the source's deltas carry.
	Topic() Topic
	// Merge joins a delta of another host and reports whether the state
	// changed, so that the delta is spread on.
	Merge(Delta) bool
	// Digest is equal on hosts with equal state, and else differs.
	Digest() uint64
	// Deltas gives the whole state, for a host that missed some of it. Bodies
	// are at most MaxDeltaBytes long.
	Deltas() []Delta
}
