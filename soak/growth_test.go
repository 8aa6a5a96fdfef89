package soak

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestGrowthBeyondNoise(t *testing.T) {
	for name, test := range map[string]struct {
		perChange float64
		isGrowth  bool
	}{
		"flat":   {0, false},
		"falls":  {-5_000, false},
		"grows":  {5_000, true},
		"slowly": {100, false},
	} {
		t.Run(name, func(t *testing.T) {
			var samples []memorySample
			for i := range 100 {
				noise := float64(i*7919%11-5) * 200_000
				samples = append(samples, memorySample{float64(i * 20), 30e6 + noise + test.perChange*float64(i*20)})
			}
			assert.Equal(t, growth(samples) != "", test.isGrowth)
		})
	}
}
