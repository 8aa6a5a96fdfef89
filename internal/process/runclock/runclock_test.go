package runclock_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/runclock"
)

func TestClockStandsStillWithTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := runclock.New()
		start := clock.Now()
		run := func() {
			for range 10 {
				time.Sleep(100 * time.Millisecond)
				clock.Now()
			}
		}
		run()
		assert.Equal(t, clock.Now().Sub(start), time.Second)
		time.Sleep(4 * time.Second)
		assert.Equal(t, clock.Now().Sub(start), 1300*time.Millisecond)
		run()
		assert.Equal(t, clock.Now().Sub(start), 2300*time.Millisecond)
	})
}

// A process that runs for a moment at a time must still notice that others have ended.
func TestClockAdvancesInSlowProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := runclock.New()
		start := clock.Now()
		for range 10 {
			time.Sleep(time.Second)
			clock.Now()
		}
		assert.Equal(t, clock.Now().Sub(start), 3*time.Second)
	})
}
