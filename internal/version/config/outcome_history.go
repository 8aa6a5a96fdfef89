package config

// Bounds of the outcomes that a follower keeps.
const (
	maxOutcomes = 512
	maxRefused  = 32
)

// outcomeHistory keeps the outcomes of recent records by id.
type outcomeHistory struct {
	byID  map[string]Outcome
	order []string
	// refused holds the outcomes of recent records that were not accepted.
	refused []Outcome
}

func newOutcomeHistory() outcomeHistory {
	return outcomeHistory{byID: map[string]Outcome{}}
}

// add stores an outcome and reports whether it is the first from the log for its
// id: a record that is in the log twice has the outcome of its first copy.
func (r *outcomeHistory) add(outcome Outcome) bool {
	if outcome.Result != ResultAccepted {
		r.refused = append(r.refused, outcome)
		if len(r.refused) > maxRefused {
			r.refused = r.refused[1:]
		}
	}
	if outcome.ID == "" || outcome.Offset == 0 {
		return false
	}
	if _, found := r.byID[outcome.ID]; found {
		return false
	}
	r.byID[outcome.ID] = outcome
	r.order = append(r.order, outcome.ID)
	if len(r.order) > maxOutcomes {
		delete(r.byID, r.order[0])
		r.order = r.order[1:]
	}
	return true
}
