package choose_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/choose"
)

// engine returns a candidate of a given speed. With a slowdown of 1 it prefills
// about 57 prompt tokens per millisecond and generates a token for each stream
// every 3.5 ms.
func engine(slowdown float64, busy int, pending float64) choose.Candidate {
	return choose.Candidate{
		Slots: 9, Busy: busy, PendingTokens: pending, BaseLatency: 12 * time.Millisecond,
		InterTokenLatency:   time.Duration(slowdown * float64(3500*time.Microsecond)),
		PrefillTimePerToken: time.Duration(slowdown * float64(17500*time.Nanosecond)),
	}
}

func TestPick(t *testing.T) {
	short := choose.Demand{PromptTokens: 600, OutputTokens: 200, TargetLatency: 400 * time.Millisecond, TargetGap: 400 * time.Millisecond, TimeLeft: 10 * time.Second}
	long := choose.Demand{PromptTokens: 15000, OutputTokens: 200, TargetLatency: 800 * time.Millisecond, TargetGap: 400 * time.Millisecond, TimeLeft: 12 * time.Second}
	longOutput := choose.Demand{PromptTokens: 600, OutputTokens: 1500, TargetLatency: 400 * time.Millisecond, TargetGap: 400 * time.Millisecond, TimeLeft: 10 * time.Second}
	blocked := engine(1, 0, 0)
	blocked.Blocked = true
	failing := engine(1, 0, 0)
	failing.ExcessFailureRate = 0.4
	cases := []struct {
		name       string
		candidates []choose.Candidate
		demand     choose.Demand
		want       int
	}{
		{"no free slot", []choose.Candidate{engine(1, 9, 0), blocked}, short, -1},
		{"the less busy endpoint", []choose.Candidate{engine(1, 8, 0), engine(1, 1, 0)}, short, 1},
		{"fewer pending prompt tokens", []choose.Candidate{engine(1, 4, 20000), engine(1, 4, 0)}, short, 1},
		{"a fast busy endpoint before a slow idle one", []choose.Candidate{engine(2.8, 0, 0), engine(0.55, 6, 0)}, short, 1},
		{"a long prompt where its prefill delays no streams", []choose.Candidate{engine(2.8, 5, 0), engine(0.9, 7, 0)}, long, 1},
		{"a long response where it meets the deadline", []choose.Candidate{engine(2.8, 0, 0), engine(1, 8, 1000)}, longOutput, 1},
		{"a reliable endpoint before a failing one", []choose.Candidate{failing, engine(1, 7, 3000)}, short, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			for draw := 0.0; draw < 1; draw += 0.1 {
				assert.Equal(t, choose.Pick(test.candidates, test.demand, draw), test.want)
			}
		})
	}
}

// Hosts that see the same loads at the same time spread over equal endpoints.
func TestPickSpreads(t *testing.T) {
	candidates := make([]choose.Candidate, 12)
	for i := range candidates {
		candidates[i] = engine(1, 3, 0)
	}
	random := rand.New(rand.NewPCG(1, 2))
	picked := map[int]int{}
	for range 1200 {
		picked[choose.Pick(candidates, choose.Demand{PromptTokens: 600}, random.Float64())]++
	}
	for i := range candidates {
		assert.Assert(t, picked[i] > 50 && picked[i] < 200, "endpoint %d was picked %d times", i, picked[i])
	}
}
