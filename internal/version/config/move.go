package config

import "cmp"

// MoveID names one version move. A move keeps its id over later bundles for as
// long as they hold it.
type MoveID struct {
	Service string `cbor:"1,keyasint" json:"service"`
	From    string `cbor:"2,keyasint" json:"from"`
	To      string `cbor:"3,keyasint" json:"to"`
	// Since is the log offset of the roll that began the move.
	Since uint64 `cbor:"4,keyasint" json:"since"`
	// SinceMillis is that roll's time by the log's clock, Unix milliseconds.
	SinceMillis int64 `cbor:"5,keyasint" json:"since_ms"`
}

// Verdict is how a version move ended.
type Verdict uint8

// The verdicts. A greater one beats a smaller one.
const (
	// VerdictOpen is a move that goes on.
	VerdictOpen Verdict = iota
	// VerdictDone is a move whose new version has all traffic.
	VerdictDone
	// VerdictBad is a move that was taken back.
	VerdictBad
)

// String names the verdict for operators.
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

// MoveState is how far a version move has come.
type MoveState struct {
	// Stage only grows. Its meaning is the rollout judge's.
	Stage   uint32  `cbor:"1,keyasint" json:"stage"`
	Verdict Verdict `cbor:"2,keyasint" json:"verdict"`
	// Reason tells why the verdict was given.
	Reason string `cbor:"3,keyasint" json:"reason,omitempty"`
}

// Join gives the state that follows from both: the higher stage, and the
// verdict that beats the other.
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
