package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/slot"
)

func TestColdTurn(t *testing.T) {
	cases := []struct {
		change LimitChange
		want   bool
	}{
		{LimitChange{Limit: 2, Cold: 2, Max: 8}, true},
		{LimitChange{Limit: 2, Before: 8, Cold: 2, Max: 8}, true},
		{LimitChange{Limit: 1, Before: 2, Cold: 2, Max: 8}, false},
		{LimitChange{Limit: 3, Before: 2, Cold: 2, Max: 8}, false},
		{LimitChange{Limit: 6, Before: 8, Cold: 2, Max: 8}, false},
	}
	for _, c := range cases {
		assert.Equal(t, c.change.IsColdTurn(), c.want, "%+v", c.change)
	}
}

// TestLimitsAreTold checks that an observer hears the present limit and each
// new one, once.
func TestLimitsAreTold(t *testing.T) {
	ledger := slot.NewLedger("e", 1, time.Time{}, 0, 0)
	ledger.SetLimit(2, 2)
	var told [][2]int
	ledger.OnLimitChange(func(limit, before int) { told = append(told, [2]int{limit, before}) })
	ledger.SetLimit(2, 2)
	ledger.SetLimit(4, 2)
	assert.DeepEqual(t, told, [][2]int{{2, 0}, {4, 2}})
}
