package config

import "cmp"

// MoveID identifies a version move. A move keeps its id across bundles for as
// long as they contain it.
type MoveID struct {
	Service string `cbor:"1,keyasint" json:"service"`
	From    string `cbor:"2,keyasint" json:"from"`
	To      string `cbor:"3,keyasint" json:"to"`
	// Since is the log offset of the roll that started the move.
	Since uint64 `cbor:"4,keyasint" json:"since"`
	// SinceMillis is the time of that roll by the log's clock, in Unix
	// milliseconds.
	SinceMillis int64 `cbor:"5,keyasint" json:"since_ms"`
}

// Verdict is the result of a version move.
type Verdict uint8

// The verdicts. A higher one overrides a lower one.
const (
	// VerdictOpen is a move in progress.
	VerdictOpen Verdict = iota
	// VerdictDone is a move whose new version receives all traffic.
	VerdictDone
	// VerdictBad is a move that was rolled back.
	VerdictBad
)

// String returns the verdict as shown to operators.
func (v Verdict) String() string {
	switch v {
	case VerdictDone:
		return "done"
	case VerdictBad:
		return "taken back"
	default:
		return "open"
	}
}

// MoveState is the progress of a version move.
type MoveState struct {
	// Stage never decreases. Its meaning is defined by package rollout.
	Stage   uint32  `cbor:"1,keyasint" json:"stage"`
	Verdict Verdict `cbor:"2,keyasint" json:"verdict"`
	// Reason explains the verdict.
	Reason string `cbor:"3,keyasint" json:"reason,omitempty"`
}

// Join returns the least upper bound of two states: the higher stage, and the
// higher verdict with its reason. Ties between verdicts go to the greater
// reason.
func (m MoveState) Join(other MoveState) MoveState {
	winner := m
	if cmp.Or(cmp.Compare(other.Verdict, m.Verdict), cmp.Compare(other.Reason, m.Reason)) > 0 {
		winner = other
	}
	winner.Stage = max(m.Stage, other.Stage)
	return winner
}

func compareMoveIDs(a, b MoveID) int {
	return cmp.Or(
		cmp.Compare(a.Since, b.Since),
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.From, b.From),
		cmp.Compare(a.To, b.To),
		cmp.Compare(a.SinceMillis, b.SinceMillis),
	)
}
