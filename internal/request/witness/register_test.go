package witness_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/request/key"
	"mustarddoor/internal/request/outcome"
	"mustarddoor/internal/request/witness"
)

var (
	ownerHost   = identity.Incarnation{Host: "host-1", Number: 1}
	witnessHost = identity.Incarnation{Host: "host-2", Number: 5}
	start       = time.UnixMilli(5_000_000)
)

func newRegister(records int) *witness.Register {
	return witness.NewRegister(witness.Config{
		Self:      witnessHost,
		Limits:    witness.Limits{MaxRecords: records, MaxBytes: 1 << 20, MaxOwners: 4},
		Retention: func() time.Duration { return time.Minute },
	})
}

func newIntent(part string, issued int64) witness.Intent {
	session := key.Session{Owner: ownerHost, Witness: witnessHost, Nonce: 1, IssuedMillis: issued}
	return witness.Intent{Key: key.Key{Session: session, Part: part}, Attempt: 1, Endpoint: "voz-1", SendWithinMillis: 2000}
}

func TestFirstWriteWins(t *testing.T) {
	register := newRegister(10)
	first, second := newIntent("a", 1), newIntent("b", 1)
	assert.Equal(t, register.RecordIntent(start, first), witness.Accepted)
	assert.Equal(t, register.RecordIntent(start, first), witness.Stale)
	reply := register.VoidOrGet(start.Add(500*time.Millisecond), first.Key)
	assert.Equal(t, reply.State, witness.StateIntended)
	assert.Equal(t, reply.Intent.SendWithinMillis, int64(1500))
	assert.Equal(t, register.VoidOrGet(start, second.Key).State, witness.StateVoid)
	assert.Equal(t, register.RecordIntent(start, second), witness.Voided)
	next := first
	next.Attempt, next.Endpoint = 2, "voz-2"
	assert.Equal(t, register.RecordIntent(start, next), witness.Accepted)
	assert.Equal(t, register.VoidOrGet(start, first.Key).Intent.Endpoint, "voz-2")
}

func TestOtherWitnessesHoldNothing(t *testing.T) {
	register := newRegister(10)
	other := newIntent("a", 1)
	other.Key.Session.Witness.Number--
	assert.Equal(t, register.RecordIntent(start, other), witness.NotWitness)
	assert.Equal(t, register.VoidOrGet(start, other.Key).State, witness.StateUnknown)
}

func TestDroppedKeysAreNeverVoided(t *testing.T) {
	register := newRegister(10)
	old := newIntent("a", 100)
	assert.Equal(t, register.RecordIntent(start, old), witness.Accepted)
	register.Sweep(start.Add(time.Minute))
	assert.Equal(t, register.Len(), 0)
	assert.Equal(t, register.VoidOrGet(start, old.Key).State, witness.StateUnknown)
	assert.Equal(t, register.RecordIntent(start, old), witness.Expired)
	assert.Equal(t, register.VoidOrGet(start, newIntent("b", 101).Key).State, witness.StateVoid)
}

func TestLoggedRecordsKeepTheirHash(t *testing.T) {
	register := newRegister(10)
	intent := newIntent("a", 1)
	register.RecordIntent(start, intent)
	running := register.TakeUnlogged(0, 10)
	register.RecordOutcome(witness.Outcome{Key: intent.Key, Result: witness.Result{Outcome: outcome.Done}})
	register.MarkLogged(running)
	assert.Equal(t, register.VoidOrGet(start, intent.Key).State, witness.StateFinished)
	held := register.Bytes()
	register.MarkLogged(register.TakeUnlogged(0, 10))
	assert.Equal(t, register.VoidOrGet(start, intent.Key).State, witness.StateLogged)
	assert.Equal(t, register.RecordIntent(start, intent), witness.Stale)
	assert.Assert(t, register.Bytes() < held)
}

func TestFullRegisterRefuses(t *testing.T) {
	register := newRegister(1)
	assert.Equal(t, register.RecordIntent(start, newIntent("a", 1)), witness.Accepted)
	assert.Equal(t, register.RecordIntent(start, newIntent("b", 1)), witness.Full)
	assert.Equal(t, register.VoidOrGet(start, newIntent("b", 1).Key).State, witness.StateUnknown)
}
