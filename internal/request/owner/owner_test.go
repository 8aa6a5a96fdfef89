package owner_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/request/key"
	"mustarddoor/internal/request/outcome"
	"mustarddoor/internal/request/owner"
	"mustarddoor/internal/request/witness"
)

var self = identity.Incarnation{Host: "host-1", Number: 1}

// fixture is a registry with a clock that is set by the test.
type fixture struct {
	*owner.Registry
	now      time.Time
	verdict  witness.Verdict
	recorded []witness.Outcome
}

func (f *fixture) SendIntent(context.Context, witness.Intent) (witness.Verdict, error) {
	return f.verdict, nil
}

func (f *fixture) RecordOutcome(requestOutcome witness.Outcome) {
	f.recorded = append(f.recorded, requestOutcome)
}

func newFixture(limits owner.Limits) *fixture {
	f := &fixture{now: time.UnixMilli(1_000_000), verdict: witness.Accepted}
	f.Registry = owner.NewRegistry(owner.Config{
		Self: self, Limits: limits, IntentSender: f, OutcomeRecorder: f,
		Now:       func() time.Time { return f.now },
		Retention: func() time.Duration { return time.Minute },
	})
	return f
}

func (f *fixture) key(part string) key.Key {
	session := key.Session{Owner: self, Nonce: 1, IssuedMillis: f.now.UnixMilli()}
	return key.Key{Session: session, Part: part}
}

// A key that was refused because the registry was full stays refused after the
// registry has room again.
func TestFullRegistryClosesRefusedKeysForGood(t *testing.T) {
	f := newFixture(owner.Limits{MaxRequests: 1, MaxResponseBytes: 1, MaxWindowBytes: 1})
	first, _, refusal := f.Open(f.key("a"), 0)
	assert.Assert(t, refusal == nil)
	first.Refuse(outcome.ReasonCanceled, 0)
	f.now = f.now.Add(30 * time.Second)
	refused := f.key("b")
	_, _, refusal = f.Open(refused, 0)
	assert.Equal(t, refusal.Outcome, outcome.NotRun)
	f.now = f.now.Add(31 * time.Second)
	f.Sweep()
	assert.Equal(t, f.Len(), 0)
	_, _, refusal = f.Open(refused, 0)
	assert.Assert(t, refusal != nil && refusal.Outcome == outcome.NotRun)
	_, _, refusal = f.Open(f.key("c"), 0)
	assert.Assert(t, refusal == nil)
}

func TestOpen(t *testing.T) {
	f := newFixture(owner.Limits{MaxRequests: 10, MaxResponseBytes: 100, MaxWindowBytes: 10})
	k := f.key("a")
	_, joined, _ := f.Open(k, 7)
	assert.Assert(t, !joined)
	_, joined, refusal := f.Open(k, 7)
	assert.Assert(t, joined && refusal == nil)
	_, _, refusal = f.Open(k, 8)
	assert.Equal(t, refusal.Reason, outcome.ReasonKeyReused)
	f.now = f.now.Add(2 * time.Minute)
	_, _, refusal = f.Open(key.Key{Session: k.Session, Part: "late"}, 0)
	assert.DeepEqual(t, *refusal, outcome.Refuse(outcome.Unknown, outcome.ReasonExpired))
	f.Stop()
	_, _, refusal = f.Open(f.key("new"), 0)
	assert.DeepEqual(t, *refusal, outcome.Refuse(outcome.NotRun, outcome.ReasonStopping))
}

func TestDispatchAfterSendDeadlineIsRefused(t *testing.T) {
	f := newFixture(owner.Limits{MaxRequests: 10, MaxResponseBytes: 100, MaxWindowBytes: 10})
	request, _, _ := f.Open(f.key("a"), 0)
	assert.Assert(t, request.ObtainPermit(context.Background(), owner.Target{}, time.Second) == nil)
	f.now = f.now.Add(time.Second)
	assert.DeepEqual(t, *request.Dispatch(), outcome.Refuse(outcome.NotRun, outcome.ReasonSendBy))
	assert.Equal(t, len(f.recorded), 1)
	assert.Equal(t, request.State(), owner.StateRefused)
}

func TestVerdictsOtherThanAcceptedRefuse(t *testing.T) {
	verdicts := map[witness.Verdict]outcome.Reason{
		witness.Voided:     outcome.ReasonVoided,
		witness.Full:       outcome.ReasonMemory,
		witness.NotWitness: outcome.ReasonWitnessLost,
		witness.Expired:    outcome.ReasonExpired,
		witness.Stale:      outcome.ReasonWitnessLost,
		0:                  outcome.ReasonWitnessLost,
	}
	for verdict, reason := range verdicts {
		f := newFixture(owner.Limits{MaxRequests: 10, MaxResponseBytes: 100, MaxWindowBytes: 10})
		f.verdict = verdict
		request, _, _ := f.Open(f.key("a"), 0)
		refusal := request.ObtainPermit(context.Background(), owner.Target{}, time.Second)
		assert.DeepEqual(t, *refusal, outcome.Refuse(outcome.NotRun, reason))
		assert.Assert(t, request.Dispatch() != nil)
	}
}

func TestResponseReadersAreIndependent(t *testing.T) {
	response := owner.NewResponse(1 << 20)
	ctx := context.Background()
	response.Begin(owner.Head{Status: 200})
	for _, piece := range []string{"one ", "two ", "three"} {
		_, err := response.Append([]byte(piece))
		assert.NilError(t, err)
	}
	response.End(outcome.Refusal{})
	for offset := range int64(14) {
		got := []byte{}
		for {
			segment, err := response.ReadAt(ctx, offset+int64(len(got)))
			assert.NilError(t, err)
			if segment.End {
				break
			}
			got = append(got, segment.Bytes...)
		}
		assert.Equal(t, string(got), "one two three"[offset:])
	}
	_, err := response.ReadAt(ctx, 14)
	assert.ErrorIs(t, err, owner.ErrOffset)
}

func TestResponseExceedsItsWindow(t *testing.T) {
	response := owner.NewResponse(8192)
	for range 5 {
		_, err := response.Append(make([]byte, 4096))
		assert.NilError(t, err)
	}
	_, err := response.ReadAt(context.Background(), 0)
	assert.ErrorIs(t, err, owner.ErrTrimmed)
	segment, err := response.ReadAt(context.Background(), 5*4096-1)
	assert.NilError(t, err)
	assert.Equal(t, len(segment.Bytes), 1)
}
