package retry

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestRetriesAreAFractionOfDispatches(t *testing.T) {
	b := NewBudget()
	allowed := 0
	for range 1000 {
		b.RecordDispatch()
		if b.TryTake() {
			allowed++
		}
	}
	assert.Assert(t, allowed >= 100 && allowed <= 110, "%d", allowed)
}
