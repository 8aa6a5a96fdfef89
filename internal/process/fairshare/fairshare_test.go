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

// burst is one host's part of an overload: 16 teams, of which two ask for many times
// their usual for 6 s, and three kinds of request.
type burst struct {
	burstSettings
	random  *rand.Rand
	queue   admission.Queue
	tracker fairshare.Tracker

	// servedOf counts the requests of each team, askedOf those that it sent.
	servedOf, askedOf [teamCount]int

	// asked and served count requests by whether the team is hot and by kind.
	asked, served map[bool]*[kindCount]float64
	// idle is the slot time in seconds that no request used.
	idle float64
}

// burstSettings are the settings of a burst.
type burstSettings struct {
	useFair bool
	// hotTeams is the number of teams whose demand rises, hotFactor by how much.
	hotTeams  int
	hotFactor float64
	duration  time.Duration
	seed      uint64
}

// hotBurst is the burst of TestHotTeamsPay.
var hotBurst = burstSettings{hotTeams: 2, hotFactor: 80, duration: 6 * time.Second, seed: 1}

const (
	teamCount, kindCount = 16, 3
	slots                = 100
	tick                 = 2 * time.Millisecond
	// usualRate is the usual number of requests a second of all teams. They occupy two
	// thirds of the slots.
	usualRate = 140.0
)

// kinds are the kinds of request, by rank.
var kinds = [kindCount]struct {
	part             float64
	slotTime, target time.Duration
}{
	{0.23, 900 * time.Millisecond, 600 * time.Millisecond},
	{0.32, 600 * time.Millisecond, 600 * time.Millisecond},
	{0.45, 130 * time.Millisecond, time.Second},
}

// weight is a team's usual part of the requests: a few teams are large.
func weight(team int) float64 { return 1 / float64(team+1) }

func (b *burst) isHot(team int) bool { return team >= teamCount-b.hotTeams }

type request struct{ team, kind int }

// newBurst plays a burst.
func newBurst(settings burstSettings) *burst {
	b := &burst{
		burstSettings: settings, random: rand.New(rand.NewPCG(settings.seed, 2)),
		asked: map[bool]*[kindCount]float64{false: {}, true: {}}, served: map[bool]*[kindCount]float64{false: {}, true: {}},
	}
	sumWeights, free := 0.0, slots
	for team := range teamCount {
		sumWeights += weight(team)
	}
	var ends []time.Time
	for now := start; now.Before(start.Add(b.duration)); now = now.Add(tick) {
		kept := ends[:0]
		for _, end := range ends {
			if end.After(now) {
				kept = append(kept, end)
			}
		}
		free, ends = free+len(ends)-len(kept), kept
		for team := range teamCount {
			rate := usualRate * weight(team) / sumWeights
			if b.isHot(team) {
				rate *= b.hotFactor
			}
			if b.random.Float64() < rate*tick.Seconds() {
				b.arrive(team, now)
			}
		}
		b.queue.Expire(now)
		for next := b.queue.Peek(); next != nil && free > 0; next = b.queue.Peek() {
			free--
			ends = append(ends, now.Add(next.SlotTime))
			b.serve(next, now)
		}
		b.idle += float64(free) * tick.Seconds()
	}
	return b
}

// arrive decides on a request of a team.
func (b *burst) arrive(team int, now time.Time) {
	kind, draw := 0, b.random.Float64()
	for ; kind < kindCount-1 && draw >= kinds[kind].part; kind++ {
		draw -= kinds[kind].part
	}
	k, kindName, teamName := kinds[kind], strconv.Itoa(kind), strconv.Itoa(team)
	b.asked[b.isHot(team)][kind]++
	b.askedOf[team]++
	b.queue.Shares.RecordAsked(kindName, kind, k.slotTime, now)
	b.tracker.RecordAsked(teamName, weight(team), k.slotTime, now)
	decision := admission.Decide(admission.Demand{
		Kind: kindName, Rank: kind, TargetLatency: k.target, FirstResponseTime: 80 * time.Millisecond, AbandonTimeout: 3 * time.Second,
		TimeLeft: 10 * time.Second, SlotTime: k.slotTime, MeanSlotTime: k.slotTime,
		OverShare: b.useFair && b.tracker.IsOver(teamName, now),
	}, &b.queue, admission.Capacity{Slots: slots}, now)
	if decision.Waiter != nil {
		decision.Waiter.Data = request{team, kind}
		b.queue.Push(decision.Waiter)
	}
}

func (b *burst) serve(w *admission.Waiter, now time.Time) {
	b.queue.Remove(w)
	r := w.Data.(request)
	b.queue.Shares.RecordServed(w.Kind, w.SlotTime, now)
	if w.OverShare {
		b.queue.Shares.RecordOverShare(w.Kind, w.SlotTime, now)
	}
	b.tracker.RecordGranted(strconv.Itoa(r.team), w.SlotTime, now)
	b.served[b.isHot(r.team)][r.kind]++
	b.servedOf[r.team]++
}

// servedShares returns the share of the requests that are served, by kind.
func (b *burst) servedShares(isHot bool) (shares [kindCount]float64) {
	for kind := range shares {
		shares[kind] = b.served[isHot][kind] / b.asked[isHot][kind]
	}
	return shares
}

// maxIdleShare is the share of the slot time that may be idle beyond what is without shares.
const maxIdleShare = 0.02

// TestHotTeamsPay replays the burst. With fair shares, the hot teams' excess is refused
// instead of the other teams' requests: nearly all of their most urgent ones are served,
// and several times as many of the others. No slot time is lost, and the hot teams are
// served at all kinds too.
func TestHotTeamsPay(t *testing.T) {
	settings := hotBurst
	without := newBurst(settings)
	settings.useFair = true
	with := newBurst(settings)
	before, after := without.servedShares(false), with.servedShares(false)
	t.Logf("teams with their usual demand: %.2f served by kind, without fair shares %.2f", after, before)
	t.Logf("hot teams: %.2f, without %.2f", with.servedShares(true), without.servedShares(true))
	t.Logf("idle slot seconds: %.1f, without %.1f", with.idle, without.idle)
	assert.Assert(t, after[0] > 0.95)
	for kind := range kinds {
		assert.Assert(t, after[kind] > before[kind])
		assert.Assert(t, with.servedShares(true)[kind] > 0)
	}
	assert.Assert(t, after[1] > 2*before[1])
	assert.Assert(t, after[2] > 2*before[2])
	assert.Assert(t, with.idle < without.idle+maxIdleShare*slots*settings.duration.Seconds())
}

// Whatever the demand, shares lose no slot time, and no team or kind that asks for more than
// a few requests goes without.
func TestNobodyStarves(t *testing.T) {
	const fewRequests = 30
	rapid.Check(t, func(t *rapid.T) {
		settings := burstSettings{
			hotTeams: rapid.IntRange(0, teamCount).Draw(t, "hot teams"), hotFactor: rapid.Float64Range(1, 100).Draw(t, "factor"),
			duration: 2 * time.Second, seed: rapid.Uint64().Draw(t, "seed"),
		}
		without := newBurst(settings)
		settings.useFair = true
		with := newBurst(settings)
		assert.Assert(t, with.idle < without.idle+maxIdleShare*slots*settings.duration.Seconds(), "%.1f slot seconds idle, without shares %.1f", with.idle, without.idle)
		for team, asked := range with.askedOf {
			assert.Assert(t, asked < fewRequests || with.servedOf[team] > 0, "team %d: none of %d served", team, asked)
		}
		for kind := range kinds {
			asked := with.asked[false][kind] + with.asked[true][kind]
			assert.Assert(t, asked < fewRequests || with.served[false][kind]+with.served[true][kind] > 0, "kind %d: none of %.0f served", kind, asked)
		}
	})
}
