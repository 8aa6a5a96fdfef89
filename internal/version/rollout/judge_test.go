package rollout

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/mesh"
	"mustarddoor/internal/process/identity"
)

var testMove = Move{
	MoveID:   MoveID{Service: "usta", From: "v1", To: "v2", Since: 7},
	Complete: time.Minute,
	Routes:   []string{"gauge", "batch"},
}

// recorder keeps what a judge sends out.
type recorder struct {
	mu       sync.Mutex
	verdicts []Verdict
	events   []Event
	failures int
	peers    []*Judge
}

func (r *recorder) Propose(_ context.Context, verdict Verdict) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failures > 0 {
		r.failures--
		return errors.New("log is out")
	}
	r.verdicts = append(r.verdicts, verdict)
	return nil
}

func (r *recorder) Broadcast(_ context.Context, deltas []Delta) {
	for _, peer := range r.peers {
		peer.Merge(testHost, deltas)
	}
}

func (r *recorder) notify(event Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event)
}

func newTestJudge(r *recorder, host string) *Judge {
	judge := NewJudge(Config{
		Self:     identity.Incarnation{Host: host, Number: 1},
		Exchange: r,
		Proposer: r,
		Notify:   r.notify,
	})
	move := testMove
	move.Began = time.Now()
	judge.Apply([]Move{move})
	return judge
}

// finish plays requests of a version that end at once.
func finish(judge *Judge, version string, result Result, count int) {
	for range count {
		judge.Begin(Request{Service: "usta", Version: version, Route: "gauge"}).End(result, 1, time.Millisecond)
	}
}

func TestChoose(t *testing.T) {
	cases := []struct {
		name           string
		stage          Stage
		service, route string
		newOfThousand  int
	}{
		{"first share", 0, "usta", "gauge", 15},
		{"half", 5, "usta", "gauge", 500},
		{"full load", lastRung, "usta", "gauge", 980},
		{"done", StageDone, "usta", "gauge", 1000},
		{"done, unknown route", StageDone, "usta", "other", 1000},
		{"taken back", StageBad, "usta", "gauge", 0},
		{"unknown route", 5, "usta", "other", 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			judge := newTestJudge(&recorder{}, "host-1")
			move := testMove
			move.Stage = test.stage
			judge.Apply([]Move{move})
			chosen := 0
			for range 1000 {
				if judge.Choose(test.service, test.route) == "v2" {
					chosen++
				}
			}
			assert.Assert(t, chosen >= test.newOfThousand-1 && chosen <= test.newOfThousand+1, "%d", chosen)
		})
	}
	judge := newTestJudge(&recorder{}, "host-1")
	assert.Equal(t, judge.Choose("defter-app", "x"), "")
	judge.Apply(nil)
	assert.Equal(t, judge.Choose("usta", "gauge"), "")
}

func TestSteadyAndAllows(t *testing.T) {
	cases := []struct {
		name                 string
		stage                Stage
		steady               string
		allowsOld, allowsNew bool
	}{
		{"first share", 0, "v1", true, true},
		{"half", 5, "v1", true, true},
		{"full load", lastRung, "v2", true, true},
		{"done", StageDone, "v2", false, true},
		{"taken back", StageBad, "v1", true, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			judge := newTestJudge(&recorder{}, "host-1")
			move := testMove
			move.Stage = test.stage
			judge.Apply([]Move{move})
			assert.Equal(t, judge.Fallback("usta"), test.steady)
			assert.Equal(t, judge.Allows("usta", "v1"), test.allowsOld)
			assert.Equal(t, judge.Allows("usta", "v2"), test.allowsNew)
			assert.Equal(t, judge.Fallback("defter-app"), "")
			assert.Assert(t, judge.Allows("defter-app", "v2"))
		})
	}
}

func TestChooseIsExactFromManyThreads(t *testing.T) {
	judge := newTestJudge(&recorder{}, "host-1")
	const threads, each = 8, 1000
	var all sync.WaitGroup
	chosen := make([]int, threads)
	for thread := range threads {
		all.Go(func() {
			for range each {
				if judge.Choose("usta", "gauge") == "v2" {
					chosen[thread]++
				}
			}
		})
	}
	all.Wait()
	sum := 0
	for _, count := range chosen {
		sum += count
	}
	assert.Assert(t, sum >= 119 && sum <= 121, "%d", sum)
}

func TestStageNeverGoesBack(t *testing.T) {
	r := &recorder{}
	judge := newTestJudge(r, "host-1")
	move := testMove
	for _, stage := range []Stage{3, 1, StageBad, StageDone, 0} {
		move.Stage = stage
		judge.Apply([]Move{move})
	}
	assert.Equal(t, len(r.events), 2)
	assert.Equal(t, judge.Choose("usta", "gauge"), "v1")
	move.Since++
	move.Stage = 0
	judge.Apply([]Move{move})
	share, found := judge.Share("usta")
	assert.Assert(t, found && share > 0)
}

// TestJudgeTakesBack checks that one host's failures stop a version on all
// hosts, and that the verdict is proposed until the configuration has it.
func TestJudgeTakesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{failures: 2}
		judge, peer := newTestJudge(r, "host-1"), newTestJudge(&recorder{}, "host-2")
		r.peers = []*Judge{peer}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { assert.Check(t, judge.Run(ctx)) })
		finish(judge, "v1", ResultSucceeded, 500)
		finish(judge, "v2", ResultFailed, 6)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		assert.Equal(t, judge.Choose("usta", "gauge"), "v1")
		share, _ := peer.Share("usta")
		assert.Equal(t, share, 0.0)
		assert.Assert(t, len(r.verdicts) > 0)
		assert.Equal(t, r.verdicts[0].Stage, StageBad)
		move := testMove
		move.Stage = StageBad
		judge.Apply([]Move{move})
		proposed := len(r.verdicts)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		assert.Equal(t, len(r.verdicts), proposed)
		cancel()
		running.Wait()
	})
}

// TestJudgeCompletes checks that a sound version gets all traffic in time.
func TestJudgeCompletes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{}
		judge := newTestJudge(r, "host-1")
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { assert.Check(t, judge.Run(ctx)) })
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			for range 200 {
				finish(judge, judge.Choose("usta", "gauge"), ResultSucceeded, 1)
			}
		}
		cancel()
		running.Wait()
		last := r.events[len(r.events)-1]
		assert.Equal(t, last.Stage, StageDone)
		assert.Equal(t, len(r.events), len(ladder))
		assert.Equal(t, r.verdicts[len(r.verdicts)-1].Stage, StageDone)
	})
}

// TestJudgeTellsOfOverdueMove checks that operators hear, once, of a move that
// has too little evidence at its end.
func TestJudgeTellsOfOverdueMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{}
		judge := newTestJudge(r, "host-1")
		for range 100 {
			time.Sleep(time.Second)
			judge.Step(time.Now())
		}
		assert.Equal(t, len(r.events), 1)
		assert.Assert(t, r.events[0].Overdue)
		assert.Equal(t, r.events[0].Reason, "overdue: hold after 1m0s: too few results (0 results at this stage)")
	})
}

func TestLateRequestsCountBeforeTheyEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		judge := newTestJudge(&recorder{}, "host-1")
		request := Request{Service: "usta", Version: "v1", Route: "gauge", Expected: 100 * time.Millisecond}
		for range timingsForLimits {
			judge.Begin(request).End(ResultSucceeded, 1, 100*time.Millisecond)
		}
		judge.Step(time.Now())
		request.Version = "v2"
		watch := judge.Begin(request)
		cold := request
		cold.Cold = true
		coldWatch := judge.Begin(cold)
		counter := &judge.table.Load().moves["usta"].route("gauge").fresh.firstToken
		time.Sleep(time.Second)
		synctest.Wait()
		want := Latency{Timed: 1, Late: 1, VeryLate: 1}
		assert.Equal(t, counter.read(), want)
		watch.FirstToken(time.Second)
		watch.End(ResultSucceeded, 1, time.Second)
		coldWatch.End(ResultSucceeded, 1, time.Second)
		assert.Equal(t, counter.read(), want)
	})
}

func TestWatchCounts(t *testing.T) {
	cases := []struct {
		name   string
		result Result
		want   Counts
	}{
		{"succeeded", ResultSucceeded, Counts{Succeeded: 2}},
		{"failed", ResultFailed, Counts{Failed: 2}},
		{"lost by one endpoint in one window", ResultLost, Counts{Lost: 1}},
		{"caller left", ResultNone, Counts{}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				judge := newTestJudge(&recorder{}, "host-1")
				finish(judge, "v2", test.result, 2)
				assert.Equal(t, judge.table.Load().moves["usta"].route("gauge").fresh.read(), test.want)
			})
		})
	}
	judge := newTestJudge(&recorder{}, "host-1")
	assert.Assert(t, judge.Begin(Request{Service: "usta", Version: "v3", Route: "gauge"}) == nil)
	finish(judge, "v3", ResultFailed, 1)
}

func TestHandleEvidence(t *testing.T) {
	judge := newTestJudge(&recorder{}, "host-1")
	delta := Delta{Move: testMove.MoveID, Stage: StageBad, Reason: "host-2 said so"}
	body, err := cbor.Marshal([]Delta{delta})
	assert.NilError(t, err)
	from := identity.Incarnation{Host: "host-2", Number: 3}
	_, err = judge.HandleEvidence(t.Context(), from, body)
	assert.NilError(t, err)
	assert.Equal(t, judge.Choose("usta", "gauge"), "v1")
	_, err = judge.HandleEvidence(t.Context(), from, []byte("garbage"))
	assert.Assert(t, err != nil)
}

// blockedCaller never answers.
type blockedCaller struct {
	mu    sync.Mutex
	calls int
}

func (c *blockedCaller) Call(ctx context.Context, _ string, _ mesh.Kind, _, _ any) error {
	c.mu.Lock()
	c.calls++
	c.mu.Unlock()
	<-ctx.Done()
	return mesh.ErrNoReply
}

func TestBroadcastLeavesOutBusyPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller := &blockedCaller{}
		exchange := NewMeshExchange(caller, func() []string { return []string{"127.0.0.1:1", "127.0.0.1:2"} })
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for range 5 {
			running.Go(func() { exchange.Broadcast(ctx, nil) })
		}
		synctest.Wait()
		assert.Equal(t, caller.calls, 2)
		cancel()
		running.Wait()
	})
}
