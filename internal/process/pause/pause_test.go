package pause_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/pause"
)

func TestFor(t *testing.T) {
	cases := []struct {
		name               string
		duration, deadline time.Duration
		wantWaited         time.Duration
		want               bool
	}{
		{name: "full duration", duration: time.Second, deadline: time.Minute, wantWaited: time.Second, want: true},
		{name: "context done first", duration: time.Minute, deadline: time.Second, wantWaited: time.Second},
		{name: "zero duration", deadline: time.Second, want: true},
		{name: "negative duration", duration: -time.Second, deadline: time.Second, want: true},
		{name: "context already done", deadline: -time.Second},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), test.deadline)
				defer cancel()
				start := time.Now()
				assert.Equal(t, pause.For(ctx, test.duration), test.want)
				assert.Equal(t, time.Since(start), test.wantWaited)
			})
		})
	}
}
