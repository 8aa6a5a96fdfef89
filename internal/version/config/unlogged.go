package config

import (
	"fmt"
	"maps"
	"slices"
)

// verdictKey identifies a move and its verdict.
func (m moveWire) verdictKey() string {
	return fmt.Sprintf("verdict %d %s %s %s %d", m.ID.Since, m.ID.Service, m.ID.From, m.ID.To, m.State.Verdict)
}

// unloggedMarks returns the marks that are not in the log.
func (s State) unloggedMarks() []Mark {
	marks := []Mark{}
	for _, domain := range slices.Sorted(maps.Keys(s.Marks)) {
		mark := s.Marks[domain]
		if s.Log.Marks[domain].Compare(mark.Stamp) < 0 {
			marks = append(marks, mark)
		}
	}
	return marks
}

// unloggedVerdicts returns the verdicts on moves in progress that are not in the
// log.
func (s State) unloggedVerdicts() []moveWire {
	verdicts := []moveWire{}
	for _, id := range s.Log.Moves {
		move := s.Moves[id]
		if move.Verdict > s.Log.Verdicts[id].Verdict {
			verdicts = append(verdicts, moveWire{ID: id, State: move})
		}
	}
	return verdicts
}
