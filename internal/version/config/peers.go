package config

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mustarddoor/internal/connection/mesh"
	"mustarddoor/internal/process/identity"
)

// Kinds of mesh messages.
const (
	kindPull mesh.Kind = "config.pull"
	kindPush mesh.Kind = "config.push"
)

// Timing and limits of the exchange with peers.
const (
	pullTimeout         = time.Second
	pushTimeout         = time.Second
	idlePullInterval    = 5 * time.Second
	catchUpPullInterval = 500 * time.Millisecond
	// maxPullPeers bounds the peers that pullAll asks.
	maxPullPeers = 16
	// maxPushPeers bounds the peers that a change is pushed to; the others get
	// it from those peers or by their own pulls.
	maxPushPeers     = 8
	maxParallelCalls = 8
)

// errNoAnswer is returned by a pull if the peer did not answer.
var errNoAnswer = errors.New("no answer")

// pullRequest asks a peer for the state that the sender lacks.
type pullRequest struct {
	Offset uint64 `cbor:"1,keyasint"`
	// Joins is the digest of the sender's marks and moves.
	Joins uint64 `cbor:"2,keyasint"`
	// NeedsState reports that the sender cannot catch up from the log alone.
	NeedsState bool `cbor:"3,keyasint"`
	// InForce is the offset of the sender's version in force.
	InForce uint64 `cbor:"4,keyasint"`
}

// pullRequest returns a request for everything newer than the state.
func (s State) pullRequest(needsState bool) pullRequest {
	return pullRequest{
		Offset:     s.Log.Offset,
		Joins:      s.joinDigest(),
		NeedsState: needsState,
		InForce:    s.InForce.offset(),
	}
}

// shouldSendState reports whether the reply to a request should contain the
// whole state.
func (s State) shouldSendState(request pullRequest) bool {
	if s.InForce.offset() > request.InForce {
		return true
	}
	return request.NeedsState && s.Log.Offset > request.Offset
}

// pullReply is the reply to a pullRequest.
type pullReply struct {
	// Snapshot is a snapshot record; empty if the sender does not need it.
	Snapshot []byte `cbor:"1,keyasint"`
	Delta    delta  `cbor:"2,keyasint"`
}

// delta holds marks, as signed records, and moves.
type delta struct {
	Marks [][]byte   `cbor:"1,keyasint,omitempty"`
	Moves []moveWire `cbor:"2,keyasint,omitempty"`
}

// pushReply is empty.
type pushReply struct{}

// unsent holds the keys of changes that were not pushed to peers yet.
type unsent struct {
	marks map[string]bool
	moves map[MoveID]bool
}

func newUnsent() unsent {
	return unsent{marks: map[string]bool{}, moves: map[MoveID]bool{}}
}

func (u unsent) isEmpty() bool { return len(u.marks) == 0 && len(u.moves) == 0 }

// Register registers the handlers of the follower's mesh messages.
func (f *Follower) Register(router mesh.Router) {
	router.Handle(kindPull, f.handlePull)
	router.Handle(kindPush, f.handlePush)
}

func (f *Follower) handlePull(_ context.Context, _ identity.Incarnation, body cbor.RawMessage) (any, error) {
	var request pullRequest
	if err := decMode.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	state := f.currentState()
	reply := pullReply{}
	if state.shouldSendState(request) {
		signer := f.options.Keys.hostSigner(f.options.Host)
		reply.Snapshot = state.encodeSnapshot(signer, f.nextSequence()).Raw
	} else if state.joinDigest() != request.Joins {
		reply.Delta = state.delta()
	}
	return reply, nil
}

func (f *Follower) handlePush(_ context.Context, _ identity.Incarnation, body cbor.RawMessage) (any, error) {
	var changes delta
	if err := decMode.Unmarshal(body, &changes); err != nil {
		return nil, err
	}
	f.mergeDelta(changes)
	return pushReply{}, nil
}

// delta returns all marks and moves of the state.
func (s State) delta() delta {
	d := delta{Moves: moveWires(s.Moves)}
	for _, mark := range s.Marks {
		d.Marks = append(d.Marks, mark.Raw)
	}
	return d
}

// mergeDelta merges moves, and marks whose signatures are valid.
func (f *Follower) mergeDelta(changes delta) {
	marks := f.verifyMarks(changes.Marks)
	if len(marks) == 0 && len(changes.Moves) == 0 {
		return
	}
	f.update(func(s *State) {
		for _, mark := range marks {
			s.joinMark(mark)
		}
		for _, move := range changes.Moves {
			s.joinMove(move.ID, move.State)
		}
	})
}

// verifyMarks returns the marks from a peer whose signatures are valid. It skips
// marks that this host already has.
func (f *Follower) verifyMarks(raws [][]byte) []Mark {
	state := f.currentState()
	marks := []Mark{}
	for _, raw := range raws {
		if state.hasMark(raw) {
			continue
		}
		record, err := VerifyRecord(raw, f.options.Keys)
		if err != nil {
			f.reportRefusal(openFailure(err))
			continue
		}
		mark, outcome, ok := decodeMark(record)
		if !ok {
			f.reportRefusal(outcome)
			continue
		}
		marks = append(marks, mark)
	}
	return marks
}

// hasMark reports whether the state holds the mark of exactly this record.
func (s State) hasMark(raw []byte) bool {
	record, err := decodeUnverified(raw)
	if err != nil {
		return false
	}
	mark, _, ok := decodeMark(record)
	return ok && mark.compare(s.Marks[mark.Domain]) == 0
}

// reportRefusal records the outcome of a refused record that did not come from
// the log.
func (f *Follower) reportRefusal(outcome Outcome) {
	f.mu.Lock()
	f.metrics.countOutcome(outcome)
	f.outcomes.add(outcome)
	f.mu.Unlock()
	f.options.OnChange(Change{Kind: ChangeRefused, Outcome: outcome})
}
