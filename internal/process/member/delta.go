package member

// Topic identifies the owner of deltas, usually a package.
type Topic string

// MaxDeltaBytes is the maximum size of a delta's body.
const MaxDeltaBytes = 300

// Delta is a small change of state that is broadcast with the probes.
type Delta struct {
	Topic Topic `cbor:"1,keyasint"`
	// Key identifies what the delta changes. A newer delta replaces an older
	// one of the same topic and key that is still queued.
	Key  string `cbor:"2,keyasint"`
	Body []byte `cbor:"3,keyasint"`
	// Urgent deltas are pushed to some hosts immediately, and forwarded the
	// same way by each host that didn't have them, instead of waiting for the
	// next ping or ack.
	Urgent bool `cbor:"4,keyasint,omitempty"`
}

// Source is state that is broadcast as deltas. Merging must be a join: equal
// sets of deltas give equal state, in any order and with any repetition. The
// methods are called from the goroutine of Driver.Run; they must not block, and
// of the Driver's methods they may call only Broadcast.
type Source interface {
	// Topic returns the topic of the source's deltas.
	Topic() Topic
	// Merge merges a delta from another host and reports whether the state
	// changed, in which case the delta is broadcast further.
	Merge(Delta) bool
	// Digest returns a hash that is equal on hosts with equal state and differs
	// otherwise.
	Digest() uint64
	// Deltas returns the whole state, for a host that missed some of it. Bodies
	// have at most MaxDeltaBytes.
	Deltas() []Delta
}
