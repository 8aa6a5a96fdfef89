package config

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"mustarddoor/internal/connection/platform"
)

// runFollowers runs followers until the test function returns.
func runFollowers(t *testing.T, followers []*Follower, test func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(t.Context())
	for _, f := range followers {
		go func() { _ = f.Run(ctx) }()
	}
	test(ctx)
	cancel()
	synctest.Wait()
}

// advance lets virtual time pass and waits until all goroutines are blocked.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// A host must become ready, or report why it is not ready, whether the log is
// available, unavailable, slow, trimmed or empty, with and without peers that
// have the configuration.
func TestReadyAfterStart(t *testing.T) {
	cases := []struct {
		name   string
		log    func(l *memoryLog)
		peers  bool
		ready  bool
		reason string
	}{
		{"log available", func(*memoryLog) {}, false, true, ""},
		{"log available, peers", func(*memoryLog) {}, true, true, ""},
		{"log unavailable", func(l *memoryLog) { l.down = true }, false, false, "log service has been unavailable"},
		{"log unavailable, peers", func(l *memoryLog) { l.down = true }, true, true, ""},
		{"log slow", func(l *memoryLog) { l.readDelay = 2 * time.Second }, false, true, ""},
		{"log slow, peers", func(l *memoryLog) { l.readDelay = 2 * time.Second }, true, true, ""},
		{"log slower than the test", func(l *memoryLog) { l.readDelay, l.down = time.Hour, true }, false, false, "reading the log: at offset 0"},
		{"log trimmed", func(l *memoryLog) { l.first = 3 }, false, false, "records 1 to 2 are gone"},
		{"log trimmed, peers", func(l *memoryLog) { l.first = 3 }, true, true, ""},
		{"log trimmed completely", func(l *memoryLog) { l.first = 4 }, false, false, "records 1 to 3 are gone"},
		{"log empty", func(l *memoryLog) { l.records = nil }, false, false, "no bundle has been rolled"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newFixture(t)
				log, n := newMemoryLog(), newNetwork()
				entries := c.publishAndRoll(0, testBundle("first", false))
				log.appendAll(entries...)
				if test.peers {
					newTestFollower("host-9", c, newMemoryLog(), n).applyEntries(entries)
				}
				test.log(log)
				f := newTestFollower("host-1", c, log, n)
				runFollowers(t, []*Follower{f}, func(context.Context) {
					advance(20 * time.Second)
					ready, reason := f.Ready()
					assert.Equal(t, ready, test.ready, reason)
					assert.Assert(t, is.Contains(reason, test.reason))
					assert.Equal(t, f.Current().Bundle != nil, test.ready)
				})
			})
		})
	}
}

// If two operators publish concurrently through two hosts, one record must be
// accepted and the other must lose the race to it.
func TestConcurrentPublishThroughTwoHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFixture(t)
		log, n := newMemoryLog(), newNetwork()
		hosts := []*Follower{newTestFollower("host-1", c, log, n), newTestFollower("host-2", c, log, n)}
		runFollowers(t, hosts, func(ctx context.Context) {
			advance(time.Second)
			outcomes := make(chan Outcome, 2)
			for i, signer := range []*Signer{c.alma, c.berta} {
				record := signer.Publish(Draft{Bundle: testBundle("of-"+signer.Name(), false)}, 1)
				go func() { outcomes <- NewOperator(hosts[i]).Submit(ctx, record.Raw) }()
			}
			a, b := <-outcomes, <-outcomes
			if a.Result != ResultAccepted {
				a, b = b, a
			}
			assert.Equal(t, a.Result, ResultAccepted)
			assert.Equal(t, b.Result, ResultLostRace)
			assert.Equal(t, b.Winner.Publisher, a.Signer)
		})
	})
}

// If the reply to an append is lost and the operator submits the record again
// through another host, it must be appended and take effect only once.
func TestResubmitAfterLostReplyTakesEffectOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFixture(t)
		log, n := newMemoryLog(), newNetwork()
		hosts := []*Follower{newTestFollower("host-1", c, log, n), newTestFollower("host-2", c, log, n)}
		runFollowers(t, hosts, func(ctx context.Context) {
			advance(time.Second)
			log.configure(func() { log.loseReplies = 1 })
			record := c.alma.Publish(Draft{Bundle: testBundle("first", false)}, 1)
			first := NewOperator(hosts[0]).Submit(ctx, record.Raw)
			assert.Equal(t, first.Result, ResultUncertain)
			advance(time.Second)
			second := NewOperator(hosts[1]).Submit(ctx, record.Raw)
			assert.Equal(t, second.Result, ResultAccepted)
			assert.Equal(t, log.countKind(KindPublish), 1)
		})
	})
}

func TestSubmitRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFixture(t)
		log := newMemoryLog()
		f := newTestFollower("host-1", c, log, newNetwork())
		log.appendAll(c.publishAndRoll(0, testBundle("first", false))...)
		runFollowers(t, []*Follower{f}, func(ctx context.Context) {
			advance(time.Second)
			operator := NewOperator(f)
			farAhead := Stamp{Millis: time.Now().Add(time.Hour).UnixMilli()}
			cases := []struct {
				record Record
				reason Reason
			}{
				{Record{Raw: []byte("x")}, ReasonSyntax},
				{c.stranger.Roll(1, "", 1), ReasonUnknownSigner},
				{c.host.Roll(1, "", 1), ReasonRole},
				{c.alma.Mark("nowhere", true, "", operator.Status().Stamp, 1), ReasonUnknownDomain},
				{c.alma.Mark("a", true, "", farAhead, 1), ReasonStampAhead},
				{c.alma.Mark("a", true, strings.Repeat("x", MaxReasonBytes+1), operator.Status().Stamp, 1), ReasonSyntax},
				{c.alma.Publish(Draft{Bundle: testBundle("x", false)}, 1), ReasonReplay},
			}
			for _, test := range cases {
				outcome := operator.Submit(ctx, test.record.Raw)
				assert.Equal(t, outcome.Result, ResultRefused, "%+v", outcome)
				assert.Equal(t, outcome.Reason, test.reason)
			}
			assert.Equal(t, len(operator.Status().Refused), len(cases))
		})
	})
}

// A mark that is submitted while the log is unavailable must reach all hosts by
// the mesh. One host must append it, once, when the log is available again.
func TestMarkDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFixture(t)
		log, n := newMemoryLog(), newNetwork()
		log.appendAll(c.publishAndRoll(0, testBundle("first", false))...)
		hosts := []*Follower{}
		for i := range 5 {
			hosts = append(hosts, newTestFollower(fmt.Sprintf("host-%d", i), c, log, n))
		}
		runFollowers(t, hosts, func(ctx context.Context) {
			advance(time.Second)
			log.configure(func() { log.down = true })
			operator := NewOperator(hosts[0])
			mark := c.alma.Mark("a", true, "frost", operator.Status().Stamp, c.nextSequence())
			assert.Equal(t, operator.Submit(ctx, mark.Raw).Result, ResultAccepted)
			advance(time.Second)
			for _, f := range hosts {
				assert.Assert(t, f.Current().IsExcluded("a"), f.options.Host)
			}
			assert.Equal(t, operator.Status().Domains[0].Logged, false)
			publish := c.alma.Publish(Draft{Base: 1, Bundle: testBundle("second", false)}, c.nextSequence())
			assert.Equal(t, operator.Submit(ctx, publish.Raw).Result, ResultUnavailable)
			advance(time.Minute)
			log.configure(func() { log.down = false })
			advance(time.Minute)
			assert.Equal(t, log.countKind(KindMark), 1)
			assert.Equal(t, operator.Status().Domains[0].Logged, true)
		})
	})
}

// A verdict must spread over the mesh and be in the log only once, also if the
// reply to the first append is lost.
func TestVerdictReachesLogOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFixture(t)
		log, n := newMemoryLog(), newNetwork()
		log.appendAll(c.publishAndRoll(0, testBundle("first", true))...)
		hosts := []*Follower{newTestFollower("host-1", c, log, n), newTestFollower("host-2", c, log, n)}
		runFollowers(t, hosts, func(context.Context) {
			advance(time.Second)
			log.configure(func() { log.loseReplies = 1 })
			move, found := hosts[0].Current().Move("voz")
			assert.Assert(t, found)
			hosts[0].JoinMove(move.ID, MoveState{Stage: 4, Verdict: VerdictBad, Reason: "errors"})
			advance(time.Minute)
			move, _ = hosts[1].Current().Move("voz")
			assert.DeepEqual(t, move.State, MoveState{Stage: 4, Verdict: VerdictBad, Reason: "errors"})
			assert.Equal(t, log.countKind(KindVerdict), 1)
		})
	})
}

// Over many retention periods, snapshots must keep the configuration in the log,
// so that a host that starts later needs no peer. The hosts must not append more
// than a few snapshots per retention period together.
func TestSnapshotsKeepConfigurationBeyondRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFixture(t)
		log, n := newMemoryLog(), newNetwork()
		log.retention = 10 * time.Minute
		log.appendAll(c.publishAndRoll(0, testBundle("first", false))...)
		hosts := []*Follower{}
		for i := range 9 {
			hosts = append(hosts, newTestFollower(fmt.Sprintf("host-%d", i), c, log, n))
			hosts[i].options.LogRetention = log.retention
		}
		runFollowers(t, hosts, func(context.Context) {
			advance(2 * time.Hour)
			assert.Assert(t, log.countKind(KindSnapshot) >= 12, "%d", log.countKind(KindSnapshot))
			assert.Assert(t, log.countKind(KindSnapshot) <= 36, "%d", log.countKind(KindSnapshot))
		})
		late := newTestFollower("late", c, log, newNetwork())
		runFollowers(t, []*Follower{late}, func(context.Context) {
			advance(time.Minute)
			ready, reason := late.Ready()
			assert.Assert(t, ready, reason)
			assert.Equal(t, late.Current().Version.Name, "first")
		})
	})
}

// A host that loses access to the log until records that it has not read are
// trimmed must report the gap and serve the old version. An operator's restart
// must close the gap.
func TestGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFixture(t)
		log := newMemoryLog()
		log.appendAll(c.publishAndRoll(0, testBundle("first", false))...)
		f := newTestFollower("host-1", c, log, newNetwork())
		runFollowers(t, []*Follower{f}, func(ctx context.Context) {
			advance(time.Second)
			log.configure(func() { log.down = true })
			advance(time.Minute)
			log.configure(func() { log.down = false })
			log.appendAll(c.publishAndRoll(1, testBundle("second", false))...)
			log.configure(func() { log.first = 6 })
			advance(time.Minute)
			operator := NewOperator(f)
			status := operator.Status()
			assert.Equal(t, status.Log.GapTo, uint64(5))
			assert.Equal(t, status.Serving.Name, "first")
			assert.Equal(t, status.Ready, true)
			third := testBundle("third", false)
			sequence := NextSequence(0, time.Now())
			draft := Draft{Bundle: third, RestartAt: status.Log.Next}
			outcome := operator.Submit(ctx, c.alma.Publish(draft, sequence).Raw)
			assert.Equal(t, outcome.Result, ResultAccepted, "%+v", outcome)
			digest := string(third.Digest())
			operator.Submit(ctx, c.berta.Approve(outcome.Offset, digest, sequence+1).Raw)
			operator.Submit(ctx, c.alma.Roll(outcome.Offset, digest, sequence+2).Raw)
			assert.Equal(t, f.Current().Version.Name, "third")
			assert.Equal(t, operator.Status().Log.GapTo, uint64(0))
		})
	})
}

func TestSubscribeHoldsLastView(t *testing.T) {
	c := newFixture(t)
	f := newTestFollower("host-1", c, newMemoryLog(), newNetwork())
	views, cancel := f.Subscribe()
	f.applyEntries(c.publishAndRoll(0, testBundle("first", false)))
	f.applyEntries([]platform.Record{c.logEntry(c.alma.Mark("a", true, "", c.nextStamp("h"), c.nextSequence()))})
	assert.Assert(t, (<-views).IsExcluded("a"))
	cancel()
	f.applyEntries([]platform.Record{c.logEntry(c.alma.Mark("a", false, "", c.nextStamp("h"), c.nextSequence()))})
	assert.Equal(t, len(views), 0)
}

func TestPeerRecordsAreVerified(t *testing.T) {
	c := newFixture(t)
	f := newTestFollower("host-1", c, newMemoryLog(), newNetwork())
	f.mergeDelta(delta{Marks: [][]byte{c.stranger.Mark("a", true, "", Stamp{}, 1).Raw, []byte("x")}})
	f.mergeSnapshot(State{Log: LogState{Offset: 5}}.encodeSnapshot(c.alma, 1).Raw)
	f.mergeSnapshot([]byte("x"))
	assert.Equal(t, f.currentState().Log.Offset, uint64(0))
	assert.Equal(t, len(f.currentState().Marks), 0)
	assert.Equal(t, len(f.outcomes.refused), 4)
}
