package hlc_test

import (
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mustarddoor/internal/process/hlc"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	m.Run()
}

func TestStampsIncreaseWhileWallClockIsStopped(t *testing.T) {
	wall := time.UnixMicro(1_000_000)
	clock := hlc.NewClock(func() time.Time { return wall })
	last := clock.Now()
	for range 10_000 {
		next := clock.Now()
		assert.Assert(t, next > last)
		last = next
	}
}

func TestObserveRefusesStampsFarAhead(t *testing.T) {
	wall := time.UnixMicro(1_000_000)
	clock := hlc.NewClock(func() time.Time { return wall })
	assert.Assert(t, !clock.Observe(hlc.At(wall.Add(2*hlc.MaxAhead))))
	assert.Assert(t, clock.Observe(hlc.At(wall.Add(hlc.MaxAhead))))
	assert.Equal(t, clock.Now().Time(), wall.Add(hlc.MaxAhead))
}

// TestCausality checks that a receiver's stamps are greater than every stamp it
// has received, while wall clocks jump forward and backward.
func TestCausality(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const skewMicros = int64(hlc.MaxAhead/time.Microsecond) / 4
		walls := make([]time.Time, 3)
		clocks := make([]*hlc.Clock, len(walls))
		for i := range clocks {
			walls[i] = time.UnixMicro(skewMicros)
			clocks[i] = hlc.NewClock(func() time.Time { return walls[i] })
		}
		for range 50 {
			from := rapid.IntRange(0, len(walls)-1).Draw(t, "from")
			to := rapid.IntRange(0, len(walls)-1).Draw(t, "to")
			walls[from] = time.UnixMicro(skewMicros + rapid.Int64Range(-skewMicros, skewMicros).Draw(t, "wall"))
			sent := clocks[from].Now()
			assert.Assert(t, clocks[to].Observe(sent))
			assert.Assert(t, clocks[to].Now() > sent)
		}
	})
}
