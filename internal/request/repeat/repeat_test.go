package repeat_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mustarddoor/internal/request/repeat"
)

func TestDecide(t *testing.T) {
	cases := []struct {
		name  string
		state repeat.State
		want  repeat.Decision
	}{
		{"not sent", repeat.State{Outcome: repeat.OutcomeNotSent, MaxAttempts: 1}, repeat.Decision{Retry: true, NotRun: true}},
		{"not run, one attempt", repeat.State{Outcome: repeat.OutcomeNotRun, Sends: 1, MaxAttempts: 1}, repeat.Decision{NotRun: true}},
		{"not run, two attempts", repeat.State{Outcome: repeat.OutcomeNotRun, Sends: 1, MaxAttempts: 2}, repeat.Decision{Retry: true, NotRun: true}},
		{"lost, must not repeat", repeat.State{Outcome: repeat.OutcomeUnknown, Sends: 1, Attempts: 1, MaxAttempts: 2}, repeat.Decision{}},
		{"lost, may repeat", repeat.State{Outcome: repeat.OutcomeUnknown, Retryable: true, Sends: 1, Attempts: 1, MaxAttempts: 2}, repeat.Decision{Retry: true}},
		{"refused after a loss", repeat.State{Outcome: repeat.OutcomeNotRun, Sends: 2, Attempts: 1, MaxAttempts: 3}, repeat.Decision{}},
		{"failed, may repeat", repeat.State{Outcome: repeat.OutcomeFailed, Retryable: true, Sends: 1, Attempts: 1, MaxAttempts: 2}, repeat.Decision{Retry: true}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			test.state.TimeLeft = time.Second
			assert.DeepEqual(t, repeat.Decide(test.state), test.want)
			test.state.TimeLeft = 0
			assert.Equal(t, repeat.Decide(test.state).Retry, false)
		})
	}
}

// In every state, a request that may have run is retried only if it is
// retryable, and never reported as not run.
func TestDecideIsSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := repeat.State{
			Retryable: rapid.Bool().Draw(t, "may"), MaxAttempts: rapid.IntRange(1, 4).Draw(t, "max"),
			Sends: rapid.IntRange(0, 5).Draw(t, "sends"), ResponseStarted: rapid.Bool().Draw(t, "begun"),
			Outcome: repeat.Outcome(rapid.IntRange(1, 4).Draw(t, "fate")), TimeLeft: time.Minute,
		}
		s.Attempts = rapid.IntRange(0, s.Sends).Draw(t, "attempts")
		if s.Outcome >= repeat.OutcomeUnknown {
			s.Attempts = max(s.Attempts, 1)
			s.Sends = max(s.Sends, 1)
		}
		d := repeat.Decide(s)
		if d.NotRun && (s.Attempts > 0 || s.ResponseStarted) {
			t.Fatalf("request that may have run reported as not run: %+v", s)
		}
		if d.Retry && s.Outcome != repeat.OutcomeNotSent && s.Sends >= s.MaxAttempts {
			t.Fatalf("more sends than allowed: %+v", s)
		}
		if d.Retry && s.Attempts > 0 && s.Outcome != repeat.OutcomeNotSent && !s.Retryable {
			t.Fatalf("request retried that may run only once: %+v", s)
		}
	})
}
