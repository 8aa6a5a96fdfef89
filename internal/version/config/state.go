package config

import (
	"bytes"
	"cmp"
	"maps"
)

// Bounds on the contents of a state.
const (
	// maxNames bounds the recent bundle names that may not be reused.
	maxNames = 64
	// maxUnknown and maxUnknownBytes bound the retained records of unknown kinds.
	maxUnknown      = 64
	maxUnknownBytes = 1 << 20
	maxMarks        = 1024
	maxMoves        = 1024
)

// State is a host's view of the configuration. It is a value: Apply and Merge
// return a new state and leave their inputs unchanged.
type State struct {
	// Log is the state of the log up to an offset.
	Log LogState
	// InForce is the highest version that was rolled, or nil.
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
	// Names holds the names of recent versions.
	Names []string
	// Sequences holds, by operator, the highest sequence accepted.
	Sequences map[string]uint64
	// SequenceFloor is the sequence up to which records of all operators are
	// refused.
	SequenceFloor uint64
	// Moves are the moves of the version rolled last.
	Moves []MoveID
	// Marks holds, by domain, the latest stamp in the log.
	Marks map[string]Stamp
	// Verdicts are the move states in the log.
	Verdicts map[MoveID]MoveState
	// Snapshot is the offset of the last snapshot record, or zero.
	Snapshot uint64
	// SnapshotMillis is when that record or, without a snapshot, the first record
	// was appended, by the log's clock in Unix milliseconds.
	SnapshotMillis int64
	// Unknown holds recent records that this release does not support.
	Unknown []UnknownRecord
	// UnknownCount counts all such records, including those no longer retained.
	UnknownCount uint64
}

// UnknownRecord is a record of a kind or schema that this release does not
// support.
type UnknownRecord struct {
	Offset uint64 `cbor:"1,keyasint" json:"offset"`
	Kind   Kind   `cbor:"2,keyasint" json:"kind"`
	Schema int    `cbor:"3,keyasint" json:"schema"`
	Raw    []byte `cbor:"4,keyasint" json:"-"`
}

// Mark is an operator's decision to exclude or include a failure domain.
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

// clone copies the maps that Apply changes in place.
func (l LogState) clone() LogState {
	l.Sequences = cloneMap(l.Sequences)
	l.Marks = cloneMap(l.Marks)
	l.Verdicts = cloneMap(l.Verdicts)
	return l
}

// clone copies the maps that Apply and the joins change in place.
func (s State) clone() State {
	s.Log = s.Log.clone()
	s.Marks = cloneMap(s.Marks)
	s.Moves = cloneMap(s.Moves)
	return s
}

// cloneMap copies a map; a nil map becomes an empty one.
func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}

// Merge returns the join of two states. It is commutative, associative and
// idempotent.
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

// joinMark joins a mark into the state and reports whether the state changed. It
// changes the map in place.
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

// joinMove joins a move's state into the state and reports whether the state
// changed. It changes the map in place.
func (s *State) joinMove(id MoveID, move MoveState) bool {
	known, found := s.Moves[id]
	if !found && (len(s.Moves) >= maxMoves || !s.isMoveCurrent(id)) {
		return false
	}
	joined := known.Join(move)
	s.Moves[id] = joined
	return !found || joined != known
}

// pruneMoves removes the moves that the version in force has ended.
func (s *State) pruneMoves() {
	for id := range s.Moves {
		if !s.isMoveCurrent(id) {
			delete(s.Moves, id)
		}
	}
}

// isMoveCurrent reports whether a move is in progress, or may be in a version that
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
