package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/slot"
)

func TestIsTransitionToCold(t *testing.T) {
	cases := []struct {
		change LimitChange
		want   bool
	}{
		{LimitChange{Limit: 2, Cold: 2, Max: 8}, true},
		{LimitChange{Limit: 2, Previous: 8, Cold: 2, Max: 8}, true},
		{LimitChange{Limit: 1, Previous: 2, Cold: 2, Max: 8}, false},
		{LimitChange{Limit: 3, Previous: 2, Cold: 2, Max: 8}, false},
		{LimitChange{Limit: 6, Previous: 8, Cold: 2, Max: 8}, false},
	}
	for _, c := range cases {
		assert.Equal(t, c.change.IsTransitionToCold(), c.want, "%+v", c.change)
	}
}

// TestObserverReceivesLimitChanges checks that an observer receives the current
// limit and each new one exactly once.
func TestObserverReceivesLimitChanges(t *testing.T) {
	ledger := slot.NewLedger("e", 1, time.Time{}, 0, 0)
	ledger.SetLimit(2, 2)
	var observed [][2]int
	ledger.OnLimitChange(func(limit, previous int) { observed = append(observed, [2]int{limit, previous}) })
	ledger.SetLimit(2, 2)
	ledger.SetLimit(4, 2)
	assert.DeepEqual(t, observed, [][2]int{{2, 0}, {4, 2}})
}
