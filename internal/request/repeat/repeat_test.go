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
		name     string
		standing repeat.Standing
		want     repeat.Decision
	}{
		{"not sent", repeat.Standing{Fate: repeat.FateNotSent, MaxAttempts: 1}, repeat.Decision{Repeat: true, Promise: true}},
		{"not run, one attempt", repeat.Standing{Fate: repeat.FateNotRun, Sends: 1, MaxAttempts: 1}, repeat.Decision{Promise: true}},
		{"not run, two attempts", repeat.Standing{Fate: repeat.FateNotRun, Sends: 1, MaxAttempts: 2}, repeat.Decision{Repeat: true, Promise: true}},
		{"lost, must not repeat", repeat.Standing{Fate: repeat.FateUnknown, Sends: 1, Attempts: 1, MaxAttempts: 2}, repeat.Decision{}},
		{"lost, may repeat", repeat.Standing{Fate: repeat.FateUnknown, MayRepeat: true, Sends: 1, Attempts: 1, MaxAttempts: 2}, repeat.Decision{Repeat: true}},
		{"refused after a loss", repeat.Standing{Fate: repeat.FateNotRun, Sends: 2, Attempts: 1, MaxAttempts: 3}, repeat.Decision{}},
		{"failed, may repeat", repeat.Standing{Fate: repeat.FateFailed, MayRepeat: true, Sends: 1, Attempts: 1, MaxAttempts: 2}, repeat.Decision{Repeat: true}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			test.standing.Left = time.Second
			assert.DeepEqual(t, repeat.Decide(test.standing), test.want)
			test.standing.Left = 0
			assert.Equal(t, repeat.Decide(test.standing).Repeat, false)
		})
	}
}

// Whatever has happened: what may have run is repeated only if it may, and
// never promised not to have run.
func TestDecideIsSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := repeat.Standing{
			MayRepeat: rapid.Bool().Draw(t, "may"), MaxAttempts: rapid.IntRange(1, 4).Draw(t, "max"),
			Sends: rapid.IntRange(0, 5).Draw(t, "sends"), Begun: rapid.Bool().Draw(t, "begun"),
			Fate: repeat.Fate(rapid.IntRange(1, 4).Draw(t, "fate")), Left: time.Minute,
		}
		s.Attempts = rapid.IntRange(0, s.Sends).Draw(t, "attempts")
		if s.Fate >= repeat.FateUnknown {
			s.Attempts = max(s.Attempts, 1)
			s.Sends = max(s.Sends, 1)
		}
		d := repeat.Decide(s)
		if d.Promise && (s.Attempts > 0 || s.Begun) {
			t.Fatalf("promise for %+v", s)
		}
		if d.Repeat && s.Fate != repeat.FateNotSent && s.Sends >= s.MaxAttempts {
			t.Fatalf("too many sends for %+v", s)
		}
		if d.Repeat && s.Attempts > 0 && s.Fate != repeat.FateNotSent && !s.MayRepeat {
			t.Fatalf("second run for %+v", s)
		}
	})
}
