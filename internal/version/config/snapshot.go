package config

import (
	"maps"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// stateWire is the encoding of a State. Its lists are sorted, so that equal
// states have equal bytes.
type stateWire struct {
	Offset         uint64              `cbor:"1,keyasint"`
	Head           *Version            `cbor:"2,keyasint"`
	Names          []string            `cbor:"3,keyasint"`
	Sequences      map[string]uint64   `cbor:"4,keyasint"`
	SequenceFloor  uint64              `cbor:"5,keyasint"`
	LogMoves       []MoveID            `cbor:"6,keyasint"`
	LogMarks       map[string]Stamp    `cbor:"7,keyasint"`
	Verdicts       []moveWire          `cbor:"8,keyasint"`
	Snapshot       uint64              `cbor:"9,keyasint"`
	SnapshotMillis int64               `cbor:"10,keyasint"`
	Unknown        []UnknownRecord     `cbor:"11,keyasint"`
	UnknownCount   uint64              `cbor:"12,keyasint"`
	InForce        *Version            `cbor:"13,keyasint"`
	Marks          map[string]markWire `cbor:"14,keyasint"`
	Moves          []moveWire          `cbor:"15,keyasint"`
	// HeadInForce reports that the newest version is in force. InForce is then
	// omitted.
	HeadInForce bool `cbor:"16,keyasint"`
}

// markWire is the encoding of a Mark: its signed record, which the receiver
// decodes again.
type markWire struct {
	Raw []byte `cbor:"1,keyasint"`
}

// moveWire is the encoding of a move with its state.
type moveWire struct {
	ID    MoveID    `cbor:"1,keyasint"`
	State MoveState `cbor:"2,keyasint"`
}

// wire returns the state's encoding.
func (s State) wire() stateWire {
	log := s.Log
	wire := stateWire{
		Offset:         log.Offset,
		Head:           log.Head,
		Names:          log.Names,
		Sequences:      log.Sequences,
		SequenceFloor:  log.SequenceFloor,
		LogMoves:       log.Moves,
		LogMarks:       log.Marks,
		Verdicts:       moveWires(log.Verdicts),
		Snapshot:       log.Snapshot,
		SnapshotMillis: log.SnapshotMillis,
		Unknown:        log.Unknown,
		UnknownCount:   log.UnknownCount,
		InForce:        s.InForce,
		Marks:          map[string]markWire{},
		Moves:          moveWires(s.Moves),
	}
	for domain, mark := range s.Marks {
		wire.Marks[domain] = markWire{Raw: mark.Raw}
	}
	if log.Head != nil && s.InForce != nil && log.Head.Offset == s.InForce.Offset {
		wire.HeadInForce = true
		wire.InForce = nil
	}
	return wire
}

// moveWires returns the encoding of moves, sorted by id.
func moveWires(moves map[MoveID]MoveState) []moveWire {
	wires := []moveWire{}
	for _, id := range slices.SortedFunc(maps.Keys(moves), compareMoveIDs) {
		wires = append(wires, moveWire{ID: id, State: moves[id]})
	}
	return wires
}

// state decodes the state.
func (w stateWire) state() (State, error) {
	state := State{
		Log: LogState{
			Offset:         w.Offset,
			Head:           w.Head,
			Names:          w.Names,
			Sequences:      w.Sequences,
			SequenceFloor:  w.SequenceFloor,
			Moves:          w.LogMoves,
			Marks:          w.LogMarks,
			Verdicts:       map[MoveID]MoveState{},
			Snapshot:       w.Snapshot,
			SnapshotMillis: w.SnapshotMillis,
			Unknown:        w.Unknown,
			UnknownCount:   w.UnknownCount,
		},
		InForce: w.InForce,
	}
	state = state.clone()
	if err := state.decodeBundles(w.HeadInForce); err != nil {
		return State{}, err
	}
	for _, move := range w.Verdicts {
		state.Log.Verdicts[move.ID] = move.State
	}
	for _, move := range w.Moves {
		state.joinMove(move.ID, move.State)
	}
	for _, wire := range w.Marks {
		if err := state.joinMarkWire(wire); err != nil {
			return State{}, err
		}
	}
	return state, nil
}

// decodeBundles decodes the bundles of the head and of the version in force.
func (s *State) decodeBundles(headInForce bool) error {
	if headInForce {
		s.InForce = s.Log.Head
	}
	if err := s.Log.Head.decodeBundle(); err != nil {
		return err
	}
	if s.InForce == s.Log.Head {
		return nil
	}
	return s.InForce.decodeBundle()
}

// decodeBundle validates and decodes a version's bundle.
func (v *Version) decodeBundle() error {
	if v == nil {
		return nil
	}
	parsed, err := decodeBundle(v.Schema, v.Name, v.Digest, v.Content)
	if err != nil {
		return err
	}
	v.bundle = parsed
	return nil
}

// joinMarkWire joins a mark from a snapshot. The host that signed the snapshot
// has verified the operator's signature.
func (s *State) joinMarkWire(wire markWire) error {
	record, err := decodeUnverified(wire.Raw)
	if err != nil {
		return err
	}
	mark, outcome, ok := decodeMark(record)
	if !ok {
		return eris.Wrapf(ErrMalformedRecord, "mark in a snapshot: %s", outcome.Detail)
	}
	s.joinMark(mark)
	return nil
}

// encodeSnapshot returns a signed snapshot record of the state.
func (s State) encodeSnapshot(signer *Signer, sequence uint64) Record {
	return signer.sign(KindSnapshot, sequence, SnapshotBody{State: s.wire()})
}

// decodeSnapshot decodes a snapshot record.
func decodeSnapshot(record Record) (State, Outcome, bool) {
	if record.Kind != KindSnapshot || record.Role != RoleHost {
		return State{}, refused(ReasonRole, "%s", record.Kind), false
	}
	var body SnapshotBody
	if err := decMode.Unmarshal(record.Body, &body); err != nil {
		return State{}, refused(ReasonSyntax, "%s: %v", record.Kind, err), false
	}
	state, err := body.State.state()
	if err != nil {
		return State{}, refused(ReasonSyntax, "%s: %v", record.Kind, err), false
	}
	return state, Outcome{}, true
}

// joinDigest returns a digest of the marks and moves, by which hosts detect
// differences between them.
func (s State) joinDigest() uint64 {
	var text strings.Builder
	for _, domain := range slices.Sorted(maps.Keys(s.Marks)) {
		text.WriteString(s.Marks[domain].ID)
	}
	text.Write(mustEncode(moveWires(s.Moves)))
	return digest64(text.String())
}
