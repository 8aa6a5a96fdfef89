package request_test

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/mesh"
	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/request/key"
	"mustarddoor/internal/request/outcome"
	"mustarddoor/internal/request/owner"
	"mustarddoor/internal/request/witness"
)

// handlerMap is a mesh.Router that records the handlers.
type handlerMap map[mesh.Kind]mesh.Handler

// Handle implements mesh.Router.
func (h handlerMap) Handle(kind mesh.Kind, handler mesh.Handler) { h[kind] = handler }

// FuzzMessages passes arbitrary bytes to the handlers of owner and witness. They
// must reply or return an error, and an unrelated record of the register must
// not change.
func FuzzMessages(f *testing.F) {
	intent := witness.Intent{Key: fuzzKey("a"), Attempt: 1, Endpoint: "voz-1"}
	for _, message := range []any{
		witness.IntendRequest{Intents: []witness.Intent{intent}},
		witness.VoidOrGetRequest{Key: intent.Key},
		witness.OutcomeRequest{Outcomes: []witness.Outcome{{Key: intent.Key, Result: witness.Result{Outcome: outcome.Done}}}},
		owner.LocateRequest{Key: intent.Key, CloseUnseen: true},
	} {
		seed, err := cbor.Marshal(message)
		assert.NilError(f, err)
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		register := newRegister(fuzzKey("").Session.Witness)
		assert.Equal(t, register.VoidOrGet(time.Now(), fuzzKey("void")).State, witness.StateVoid)
		registry := owner.NewRegistry(owner.Config{
			Self: fuzzKey("").Session.Owner, Limits: owner.Limits{MaxRequests: 8, MaxResponseBytes: 8, MaxWindowBytes: 8},
			Now: time.Now, Retention: func() time.Duration { return time.Hour },
		})
		handlers := handlerMap{owner.KindLocate: registry.Handle}
		register.AddHandlers(handlers, time.Now)
		for _, handler := range handlers {
			if reply, err := handler(context.Background(), identity.Incarnation{}, body); err == nil {
				_, err = cbor.Marshal(reply)
				assert.NilError(t, err)
			}
		}
		assert.Equal(t, register.VoidOrGet(time.Now(), fuzzKey("void")).State, witness.StateVoid)
	})
}

func fuzzKey(part string) key.Key {
	return key.Key{Part: part, Session: key.Session{
		Owner:   identity.Incarnation{Host: "host-1", Number: 1},
		Witness: identity.Incarnation{Host: "host-2", Number: 1},
	}}
}
