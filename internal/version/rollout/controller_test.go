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
	MoveID:      MoveID{Service: "usta", From: "v1", To: "v2", Since: 7},
	MaxDuration: time.Minute,
	Routes:      []string{"gauge", "batch"},
}

// recorder records what a controller sends.
type recorder struct {
	mu        sync.Mutex
	proposals []Proposal
	events    []Event
	failures  int
	peers     []*Controller
}

func (r *recorder) Propose(_ context.Context, proposal Proposal) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failures > 0 {
		r.failures--
		return errors.New("log is unavailable")
	}
	r.proposals = append(r.proposals, proposal)
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

func newTestController(r *recorder, host string) *Controller {
	controller := NewController(Config{
		Self:     identity.Incarnation{Host: host, Number: 1},
		Exchange: r,
		Proposer: r,
		Notify:   r.notify,
	})
	move := testMove
	move.Began = time.Now()
	controller.Apply([]Move{move})
	return controller
}

// endAttempts tracks attempts at a version that end immediately.
func endAttempts(controller *Controller, version string, result Result, count int) {
	for range count {
		controller.Track(Attempt{Service: "usta", Version: version, Route: "gauge"}).End(result, 1, time.Millisecond)
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
		{"full load", fullLoadStage, "usta", "gauge", 980},
		{"done", StageDone, "usta", "gauge", 1000},
		{"done, unknown route", StageDone, "usta", "other", 1000},
		{"rolled back", StageRolledBack, "usta", "gauge", 0},
		{"unknown route", 5, "usta", "other", 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			controller := newTestController(&recorder{}, "host-1")
			move := testMove
			move.Stage = test.stage
			controller.Apply([]Move{move})
			chosen := 0
			for range 1000 {
				if controller.Choose(test.service, test.route) == "v2" {
					chosen++
				}
			}
			assert.Assert(t, chosen >= test.newOfThousand-1 && chosen <= test.newOfThousand+1, "%d", chosen)
		})
	}
	controller := newTestController(&recorder{}, "host-1")
	assert.Equal(t, controller.Choose("defter-app", "x"), "")
	controller.Apply(nil)
	assert.Equal(t, controller.Choose("usta", "gauge"), "")
}

func TestFallbackAndAllows(t *testing.T) {
	cases := []struct {
		name                 string
		stage                Stage
		steady               string
		allowsOld, allowsNew bool
	}{
		{"first share", 0, "v1", true, true},
		{"half", 5, "v1", true, true},
		{"full load", fullLoadStage, "v2", true, true},
		{"done", StageDone, "v2", false, true},
		{"rolled back", StageRolledBack, "v1", true, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			controller := newTestController(&recorder{}, "host-1")
			move := testMove
			move.Stage = test.stage
			controller.Apply([]Move{move})
			assert.Equal(t, controller.Fallback("usta"), test.steady)
			assert.Equal(t, controller.Allows("usta", "v1"), test.allowsOld)
			assert.Equal(t, controller.Allows("usta", "v2"), test.allowsNew)
			assert.Equal(t, controller.Fallback("defter-app"), "")
			assert.Assert(t, controller.Allows("defter-app", "v2"))
		})
	}
}

func TestChooseIsExactWithConcurrentCallers(t *testing.T) {
	controller := newTestController(&recorder{}, "host-1")
	const goroutines, each = 8, 1000
	var all sync.WaitGroup
	chosen := make([]int, goroutines)
	for index := range goroutines {
		all.Go(func() {
			for range each {
				if controller.Choose("usta", "gauge") == "v2" {
					chosen[index]++
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
	controller := newTestController(r, "host-1")
	move := testMove
	for _, stage := range []Stage{3, 1, StageRolledBack, StageDone, 0} {
		move.Stage = stage
		controller.Apply([]Move{move})
	}
	assert.Equal(t, len(r.events), 2)
	assert.Equal(t, controller.Choose("usta", "gauge"), "v1")
	move.Since++
	move.Stage = 0
	controller.Apply([]Move{move})
	share, found := controller.Share("usta")
	assert.Assert(t, found && share > 0)
}

// TestControllerRollsBack checks that failures on one host stop a version on
// all hosts, and that the stage is proposed until the configuration has it.
func TestControllerRollsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{failures: 2}
		controller, peer := newTestController(r, "host-1"), newTestController(&recorder{}, "host-2")
		r.peers = []*Controller{peer}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { assert.Check(t, controller.Run(ctx)) })
		endAttempts(controller, "v1", ResultSucceeded, 500)
		endAttempts(controller, "v2", ResultFailed, 6)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		assert.Equal(t, controller.Choose("usta", "gauge"), "v1")
		share, _ := peer.Share("usta")
		assert.Equal(t, share, 0.0)
		assert.Assert(t, len(r.proposals) > 0)
		assert.Equal(t, r.proposals[0].Stage, StageRolledBack)
		move := testMove
		move.Stage = StageRolledBack
		controller.Apply([]Move{move})
		proposed := len(r.proposals)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		assert.Equal(t, len(r.proposals), proposed)
		cancel()
		running.Wait()
	})
}

// TestControllerCompletes checks that a healthy version gets all traffic in
// time.
func TestControllerCompletes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{}
		controller := newTestController(r, "host-1")
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { assert.Check(t, controller.Run(ctx)) })
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			for range 200 {
				endAttempts(controller, controller.Choose("usta", "gauge"), ResultSucceeded, 1)
			}
		}
		cancel()
		running.Wait()
		last := r.events[len(r.events)-1]
		assert.Equal(t, last.Stage, StageDone)
		assert.Equal(t, len(r.events), len(rampSteps))
		assert.Equal(t, r.proposals[len(r.proposals)-1].Stage, StageDone)
	})
}

// TestControllerReportsExceededDeadlineOnce checks that operators are notified
// once of a move that still has too little evidence at its deadline.
func TestControllerReportsExceededDeadlineOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{}
		controller := newTestController(r, "host-1")
		for range 100 {
			time.Sleep(time.Second)
			controller.Step(time.Now())
		}
		assert.Equal(t, len(r.events), 1)
		assert.Assert(t, r.events[0].DeadlineExceeded)
		assert.Equal(t, r.events[0].Reason, "overdue: hold after 1m0s: too few results (0 results at this stage)")
	})
}

func TestLateRequestsCountBeforeTheyEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := newTestController(&recorder{}, "host-1")
		attempt := Attempt{Service: "usta", Version: "v1", Route: "gauge", ExpectedFirstToken: 100 * time.Millisecond}
		for range minTimingsForLimit {
			controller.Track(attempt).End(ResultSucceeded, 1, 100*time.Millisecond)
		}
		controller.Step(time.Now())
		attempt.Version = "v2"
		tracker := controller.Track(attempt)
		coldAttempt := attempt
		coldAttempt.Cold = true
		coldTracker := controller.Track(coldAttempt)
		counter := &controller.table.Load().moves["usta"].route("gauge").newArm.firstToken
		time.Sleep(time.Second)
		synctest.Wait()
		want := LatencyCounts{Timed: 1, Late: 1, VeryLate: 1}
		assert.Equal(t, counter.read(), want)
		tracker.FirstToken(time.Second)
		tracker.End(ResultSucceeded, 1, time.Second)
		coldTracker.End(ResultSucceeded, 1, time.Second)
		assert.Equal(t, counter.read(), want)
	})
}

func TestTrackerCounts(t *testing.T) {
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
				controller := newTestController(&recorder{}, "host-1")
				endAttempts(controller, "v2", test.result, 2)
				assert.Equal(t, controller.table.Load().moves["usta"].route("gauge").newArm.read(), test.want)
			})
		})
	}
	controller := newTestController(&recorder{}, "host-1")
	assert.Assert(t, controller.Track(Attempt{Service: "usta", Version: "v3", Route: "gauge"}) == nil)
	endAttempts(controller, "v3", ResultFailed, 1)
}

func TestHandleEvidence(t *testing.T) {
	controller := newTestController(&recorder{}, "host-1")
	delta := Delta{Move: testMove.MoveID, Stage: StageRolledBack, Reason: "host-2 said so"}
	body, err := cbor.Marshal([]Delta{delta})
	assert.NilError(t, err)
	from := identity.Incarnation{Host: "host-2", Number: 3}
	_, err = controller.HandleEvidence(t.Context(), from, body)
	assert.NilError(t, err)
	assert.Equal(t, controller.Choose("usta", "gauge"), "v1")
	_, err = controller.HandleEvidence(t.Context(), from, []byte("garbage"))
	assert.Assert(t, err != nil)
}

// blockedCaller blocks each call until its context ends.
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

func TestBroadcastSkipsBusyPeers(t *testing.T) {
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
