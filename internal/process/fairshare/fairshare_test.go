package fairshare_test

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mustarddoor/internal/process/admission"
	"mustarddoor/internal/process/fairshare"
)

var start = time.Unix(1_700_000_000, 0)

// No team that got at most its part by weight is over its share, some team may always
// have more unless all have what they ask for, and the shares use up what was granted.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := &fairshare.Tracker{}
		weights, sumWeights, sumGranted := map[string]float64{}, 0.0, 0.0
		for i := range rapid.IntRange(1, 20).Draw(t, "teams") {
			name := strconv.Itoa(i)
			weight := rapid.Float64Range(0.1, 10).Draw(t, "weight")
			asked := rapid.IntRange(1, 5000).Draw(t, "asked")
			granted := rapid.IntRange(0, asked).Draw(t, "granted")
			tracker.RecordAsked(name, weight, time.Duration(asked)*time.Millisecond, start)
			tracker.RecordGranted(name, time.Duration(granted)*time.Millisecond, start)
			weights[name], sumWeights, sumGranted = weight, sumWeights+weight, sumGranted+float64(granted)/1000
		}
		over, sumShares, hasRoomForAll := 0, 0.0, false
		teams := tracker.Teams(start)
		for _, team := range teams {
			isOver := tracker.IsOver(team.Name, start)
			assert.Equal(t, isOver, team.Granted > team.Share*(1+1e-9))
			if isOver {
				over++
				assert.Assert(t, team.Granted > sumGranted*weights[team.Name]/sumWeights-1e-9)
			}
			sumShares += min(team.Share, team.Asked)
			hasRoomForAll = hasRoomForAll || math.IsInf(team.Share, 1)
		}
		assert.Assert(t, over < len(teams))
		assert.Assert(t, hasRoomForAll || math.Abs(sumShares-sumGranted) < 1e-6, "shares of %v, granted %v", sumShares, sumGranted)
	})
}

// The past of a team that asks for nothing more is dropped.
func TestPastIsDropped(t *testing.T) {
	tracker := &fairshare.Tracker{}
	tracker.RecordAsked("a", 1, time.Second, start)
	assert.Equal(t, len(tracker.Teams(start)), 1)
	assert.Equal(t, len(tracker.Teams(start.Add(time.Minute))), 0)
	assert.Assert(t, !tracker.IsOver("a", start.Add(time.Minute)))
}

// burst is one host's part of an overload: 16 teams, of which two ask for six times
// their usual for 6 s, and three kinds of request.
type burst struct {
	random  *rand.Rand
	queue   admission.Queue
	tracker fairshare.Tracker
	useFair bool

	asked, served [teamCount]float64
	kindServed    [3]float64
	idle          float64
}

const (
	teamCount = 16
	hotTeams  = 2
	slots     = 100
	tick      = 2 * time.Millisecond
)

// kinds are the kinds of request, by rank.
var kinds = []struct {
	share            float64
	slotTime, target time.Duration
}{
	{0.23, 900 * time.Millisecond, 600 * time.Millisecond},
	{0.32, 600 * time.Millisecond, 600 * time.Millisecond},
	{0.45, 130 * time.Millisecond, time.Second},
}

// weight is a team's usual part of the requests: a few teams are large.
func weight(team int) float64 { return 1 / float64(team+1) }

type request struct{ team, kind int }

// play runs the burst for 6 s.
func (b *burst) play() {
	usual, free := 0.0, slots
	for team := range teamCount {
		usual += weight(team)
	}
	var ends []time.Time
	for now := start; now.Before(start.Add(6 * time.Second)); now = now.Add(tick) {
		kept := ends[:0]
		for _, end := range ends {
			if end.After(now) {
				kept = append(kept, end)
			}
		}
		free, ends = free+len(ends)-len(kept), kept
		for team := range teamCount {
			rate := 140 * weight(team) / usual
			if team >= teamCount-hotTeams {
				rate *= 40
			}
			if b.random.Float64() < rate*tick.Seconds() {
				b.arrive(team, now)
			}
		}
		b.queue.Expire(now)
		for next := b.queue.Peek(); next != nil && free > 0; next = b.queue.Peek() {
			b.queue.Remove(next)
			free--
			r := next.Data.(request)
			ends = append(ends, now.Add(next.SlotTime))
			b.queue.Shares.RecordServed(next.Kind, next.SlotTime, now)
			if next.OverShare {
				b.queue.Shares.RecordOverShare(next.Kind, next.SlotTime, now)
			}
			b.tracker.RecordGranted(strconv.Itoa(r.team), next.SlotTime, now)
			b.served[r.team]++
			b.kindServed[r.kind]++
		}
		b.idle += float64(free) * tick.Seconds()
	}
}

// arrive decides on a request of a team.
func (b *burst) arrive(team int, now time.Time) {
	kind, draw := 0, b.random.Float64()
	for ; kind < len(kinds)-1 && draw >= kinds[kind].share; kind++ {
		draw -= kinds[kind].share
	}
	k, name := kinds[kind], strconv.Itoa(kind)
	b.asked[team]++
	b.queue.Shares.RecordAsked(name, kind, k.slotTime, now)
	b.tracker.RecordAsked(strconv.Itoa(team), weight(team), k.slotTime, now)
	decision := admission.Decide(admission.Demand{
		Kind: name, Rank: kind, TargetLatency: k.target, FirstResponseTime: 80 * time.Millisecond, AbandonTimeout: 3 * time.Second,
		TimeLeft: 10 * time.Second, SlotTime: k.slotTime, MeanSlotTime: k.slotTime,
		OverShare: b.useFair && b.tracker.IsOver(strconv.Itoa(team), now),
	}, &b.queue, admission.Capacity{Slots: slots}, now)
	if decision.Waiter != nil {
		decision.Waiter.Data = request{team, kind}
		b.queue.Push(decision.Waiter)
	}
}

// usualServed returns the share of the requests of the teams with their usual demand
// that is served, and that of the worst of them.
func (b *burst) usualServed() (mean, worst float64) {
	served, asked := 0.0, 0.0
	worst = 1
	for team := range teamCount - hotTeams {
		served, asked = served+b.served[team], asked+b.asked[team]
		worst = min(worst, b.served[team]/b.asked[team])
	}
	return served / asked, worst
}

func (b *burst) totalServed() (sum float64) {
	for _, served := range b.served {
		sum += served
	}
	return sum
}

// TestHotTeamsPay replays the burst: with fair shares, the hot teams' excess is refused
// instead of the other teams' requests. As much is served as without, no kind starves,
// and the hot teams get a part too.
func TestHotTeamsPay(t *testing.T) {
	without, with := &burst{random: rand.New(rand.NewPCG(1, 2))}, &burst{random: rand.New(rand.NewPCG(1, 2)), useFair: true}
	without.play()
	with.play()
	meanWithout, worstWithout := without.usualServed()
	mean, worst := with.usualServed()
	t.Logf("teams with their usual demand: %.2f served, the worst %.2f; without fair shares %.2f, %.2f", mean, worst, meanWithout, worstWithout)
	t.Logf("served in all: %.0f, without fair shares %.0f; idle slot seconds %.1f, %.1f", with.totalServed(), without.totalServed(), with.idle, without.idle)
	for team := teamCount - hotTeams; team < teamCount; team++ {
		t.Logf("hot team: %.2f served, without fair shares %.2f", with.served[team]/with.asked[team], without.served[team]/without.asked[team])
		assert.Assert(t, with.served[team] > 0)
	}
	t.Logf("by kind: %v, without fair shares %v", with.kindServed, without.kindServed)
	assert.Assert(t, mean > 0.9)
	assert.Assert(t, mean > meanWithout+0.2)
	assert.Assert(t, with.idle < without.idle+0.02*slots*6, "idle slot seconds: %.1f, without fair shares %.1f", with.idle, without.idle)
	for kind, served := range with.kindServed {
		assert.Assert(t, served > 0.25*with.totalServed()*kinds[kind].share)
	}
}
