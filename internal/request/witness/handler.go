package witness

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mustarddoor/internal/connection/mesh"
	"mustarddoor/internal/process/identity"
)

// AddHandlers registers handlers for the message kinds of this package with the
// router. Now must be a monotonic clock.
func (r *Register) AddHandlers(router mesh.Router, now func() time.Time) {
	handlers := handlers{register: r, now: now}
	router.Handle(KindIntend, handlers.intend)
	router.Handle(KindVoidOrGet, handlers.voidOrGet)
	router.Handle(KindOutcome, handlers.outcome)
}

type handlers struct {
	register *Register
	now      func() time.Time
}

func (h handlers) intend(_ context.Context, _ identity.Incarnation, body cbor.RawMessage) (any, error) {
	var request IntendRequest
	if err := cbor.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	now := h.now()
	reply := IntendReply{Verdicts: make([]Verdict, len(request.Intents))}
	for i, intent := range request.Intents {
		reply.Verdicts[i] = h.register.RecordIntent(now, intent)
	}
	return reply, nil
}

func (h handlers) voidOrGet(_ context.Context, _ identity.Incarnation, body cbor.RawMessage) (any, error) {
	var request VoidOrGetRequest
	if err := cbor.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	return h.register.VoidOrGet(h.now(), request.Key), nil
}

func (h handlers) outcome(_ context.Context, _ identity.Incarnation, body cbor.RawMessage) (any, error) {
	var request OutcomeRequest
	if err := cbor.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	for _, outcome := range request.Outcomes {
		h.register.RecordOutcome(outcome)
	}
	return OutcomeReply{}, nil
}
