package config

import (
	"bytes"
	"cmp"
	"maps"
)

// Bounds of what a state holds.
const (
	// maxNames bounds the names that a new bundle may not take again.
	maxNames = 64
	// maxUnknown bounds the records of unknown kinds that are kept.
	maxUnknown      = 64
	maxUnknownBytes = 1 << 20
	maxMarks        = 1024
	maxMoves        = 1024
)

// State is a host's knowledge of the configuration. It is a value: Apply and
// Merge return a new one and leave the old one as it is.
type State struct {
	// Log is what the log says up to an offset.
	Log LogState
	// InForce is the greatest version that was rolled, or nil.
	InForce *Version
	// Marks are the domain marks by domain.
	Marks map[string]Mark
	// Moves are the version moves by id.
	Moves map[MoveID]MoveState
}

// LogState is a function of the log's records up to Offset.
type LogState struct {
	Offset uint64
	// Head is the newest version published, or nil.
	Head *Version
	// Names are the names of recent versions.
	Names []string
	// Sequences holds, by operator, the highest sequence accepted.
	Sequences map[string]uint64
	// SequenceFloor refuses sequences up to it from every operator.
	SequenceFloor uint64
	// Moves are the moves of the version rolled last.
	Moves []MoveID
	// Marks holds the latest stamp by domain that stands in the log.
	Marks map[string]Stamp
	// Verdicts are the move states that stand in the log.
	Verdicts map[MoveID]MoveState
	// Snapshot is the offset of the last snapshot record, or zero.
	Snapshot uint64
	// SnapshotMillis is when that was appended by the log's clock; without a
	// snapshot, when the first record was.
	SnapshotMillis int64
	// Unknown are records that this release does not know.
	Unknown []UnknownRecord
	// UnknownCount counts them, also those no longer kept.
	UnknownCount uint64
}

// UnknownRecord is a record of a kind or schema that this release does not
// know.
type UnknownRecord struct {
	Offset uint64 `cbor:"1,keyasint" json:"offset"`
	Kind   Kind   `cbor:"2,keyasint" json:"kind"`
	Schema int    `cbor:"3,keyasint" json:"schema"`
	Raw    []byte `cbor:"4,keyasint" json:"-"`
}

// Mark is an operator's word on a failure domain.
type Mark struct {
	Domain   string
	Excluded bool
	Reason   string
	Stamp    Stamp
	Operator string
	// ID is the record's id, and Raw the signed record.
	ID  string
	Raw []byte
}

// compare orders marks of one domain.
func (m Mark) compare(other Mark) int {
	return cmp.Or(m.Stamp.Compare(other.Stamp), bytes.Compare(m.Raw, other.Raw))
}

// clone copies what Apply changes in place.
func (l LogState) clone() LogState {
	l.Sequences = cloneMap(l.Sequences)
	l.Marks = cloneMap(l.Marks)
	l.Verdicts = cloneMap(l.Verdicts)
	return l
}

func (s State) clone() State {
	s.Log = s.Log.clone()
	s.Marks = cloneMap(s.Marks)
	s.Moves = cloneMap(s.Moves)
	return s
}

// cloneMap copies a map; a nil one becomes empty.
func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}

// Merge gives the state that follows from both. It is commutative, associative
// and idempotent.
func Merge(a, b State) State {
	merged := State{
		Log:     laterLog(a.Log, b.Log),
		InForce: laterVersion(a.InForce, b.InForce),
		Marks:   cloneMap(a.Marks),
		Moves:   cloneMap(a.Moves),
	}
	for _, mark := range b.Marks {
		merged.joinMark(mark)
	}
	for id, move := range b.Moves {
		merged.joinMove(id, move)
	}
	merged.pruneMoves()
	return merged
}

func laterLog(a, b LogState) LogState {
	if b.Offset > a.Offset {
		return b
	}
	return a
}

func laterVersion(a, b *Version) *Version {
	if a == nil || b != nil && b.Offset > a.Offset {
		return b
	}
	return a
}

// joinMark takes a mark in and reports whether it was news. It changes the
// state's own maps.
func (s *State) joinMark(mark Mark) bool {
	known, found := s.Marks[mark.Domain]
	if found && mark.compare(known) <= 0 {
		return false
	}
	if !found && len(s.Marks) >= maxMarks {
		return false
	}
	s.Marks[mark.Domain] = mark
	return true
}

// joinMove takes a move's state in and reports whether it was news.
func (s *State) joinMove(id MoveID, move MoveState) bool {
	known, found := s.Moves[id]
	if !found && (len(s.Moves) >= maxMoves || !s.isMoveCurrent(id)) {
		return false
	}
	joined := known.Join(move)
	s.Moves[id] = joined
	return !found || joined != known
}

// pruneMoves drops the moves that the version in force has ended.
func (s *State) pruneMoves() {
	for id := range s.Moves {
		if !s.isMoveCurrent(id) {
			delete(s.Moves, id)
		}
	}
}

// isMoveCurrent reports whether a move is under way, or may be in a version that
// this host has not seen yet.
func (s *State) isMoveCurrent(id MoveID) bool {
	if s.InForce == nil || id.Since > s.InForce.RollOffset {
		return true
	}
	for _, current := range s.InForce.Moves {
		if current == id {
			return true
		}
	}
	return false
}
