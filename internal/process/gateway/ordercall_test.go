package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mustarddoor/internal/process/autoscale"
	"mustarddoor/internal/process/duty"
)

// lateCall is a call that is carried out later.
type lateCall struct {
	at    time.Time
	token uint64
	count int
}

// lossyPlatform carries out orders, some of them without a response or late.
type lossyPlatform struct {
	isFenced bool
	token    uint64
	count    int
	late     []lateCall
}

func (p *lossyPlatform) execute(token uint64, count int) error {
	if p.isFenced && token < p.token {
		return duty.ErrFenced
	}
	p.token, p.count = max(p.token, token), count
	return nil
}

func (p *lossyPlatform) executeLate(now time.Time) {
	var left []lateCall
	for _, call := range p.late {
		if call.at.After(now) {
			left = append(left, call)
			continue
		}
		_ = p.execute(call.token, call.count) // nobody hears of it
	}
	p.late = left
}

// Whatever happens to the calls, in the end the platform has the newest number.
func TestNewestOrderStands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		platform := &lossyPlatform{isFenced: rapid.Bool().Draw(t, "fenced"), token: 1}
		now, token := time.Unix(1_700_000_000, 0), uint64(1)
		order := &domainOrder{unanswered: map[int]time.Time{}}
		newest := 0
		tick := func(outcome string) {
			now = now.Add(time.Second)
			platform.executeLate(now)
			if newest == 0 || !order.mayBeSent(now) {
				return
			}
			err := duty.ErrUnanswered
			switch outcome {
			case "answered":
				err = platform.execute(token, order.count)
			case "refused":
				err = duty.ErrRefused
			case "executed":
				_ = platform.execute(token, order.count) // the response is lost
			case "late":
				delay := time.Duration(rapid.IntRange(1, int(maxOrderLateness.Seconds())-1).Draw(t, "delay")) * time.Second
				platform.late = append(platform.late, lateCall{at: now.Add(delay), token: token, count: order.count})
			}
			order.record(order.count, err, now)
		}
		for range rapid.IntRange(20, 200).Draw(t, "seconds") {
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				newest = rapid.IntRange(1, 5).Draw(t, "count")
				order.set(autoscale.Order{Count: newest}, now)
			case 1, 2:
				token++
				if newest > 0 {
					order = adoptOrder(newest, 0, platform.isFenced, now)
				}
			}
			tick(rapid.SampledFrom([]string{"answered", "refused", "executed", "late", "lost"}).Draw(t, "outcome"))
		}
		for range 3 * int(maxOrderLateness.Seconds()) {
			tick("answered")
		}
		assert.Equal(t, platform.count, newest)
		assert.Assert(t, newest == 0 || !order.isDue)
	})
}
