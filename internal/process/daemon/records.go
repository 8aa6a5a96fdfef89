package daemon

import (
	"context"
	"time"

	"mustarddoor/internal/connection/platform"
	"mustarddoor/internal/request/journal"
	"mustarddoor/internal/request/owner"
	"mustarddoor/internal/request/witness"
)

// Bounds and periods of the request records.
const (
	registerRecords   = 1 << 18
	registerOwners    = 1024
	answerWindowBytes = 1 << 20
	intentTimeout     = time.Second
	outcomeInterval   = 20 * time.Millisecond
	journalTimeout    = 5 * time.Second
	// sweepInterval is how often expired records are dropped.
	sweepInterval = time.Second
)

// makeRecords makes what keeps request records: for other hosts as a witness,
// for this host's own requests, and in the log.
func (h *host) makeRecords() error {
	h.makeWitness()
	h.makeRegistry()
	h.journal = journal.NewWriter(journal.WriterConfig{
		Self:     h.self.Incarnation,
		Register: h.register,
		Log:      logAppender{h.log},
		Interval: h.journalInterval,
		Timeout:  journalTimeout,
		Metrics:  h.metrics,
	})
	return nil
}

// makeWitness makes the register of other hosts' requests and the sender to
// this host's own witnesses.
func (h *host) makeWitness() {
	now := h.sessionClock.Now
	h.register = witness.NewRegister(witness.Config{
		Self:      h.self.Incarnation,
		Limits:    witness.Limits{MaxRecords: registerRecords, MaxBytes: h.settings.Limits.RegisterBytes, MaxOwners: registerOwners},
		Retention: h.retention,
	})
	h.register.AddHandlers(h.meshServer, now)
	h.sender = witness.NewSender(witness.SenderConfig{
		Caller:          h.caller,
		Hosts:           h,
		Local:           h.register,
		Now:             now,
		IntentTimeout:   intentTimeout,
		OutcomeInterval: outcomeInterval,
	})
}

// makeRegistry makes the registry of the requests that this host owns.
func (h *host) makeRegistry() {
	h.registry = owner.NewRegistry(owner.Config{
		Self: h.self.Incarnation,
		Limits: owner.Limits{
			MaxRequests:      registerRecords,
			MaxResponseBytes: h.settings.Limits.AnswerBytes,
			MaxWindowBytes:   answerWindowBytes,
		},
		IntentSender:    h.sender,
		OutcomeRecorder: h.sender,
		Now:             h.sessionClock.Now,
		Retention:       h.retention,
	})
	h.meshServer.Handle(owner.KindLocate, h.registry.Handle)
}

// journalInterval spreads the fleet's appends over its hosts.
func (h *host) journalInterval() time.Duration {
	return journal.AppendInterval(len(h.otherHosts()) + 1)
}

// logAppender appends to the log service for the journal.
type logAppender struct{ log platform.Log }

// Append implements journal.Appender.
func (l logAppender) Append(ctx context.Context, stream string, records []platform.AppendRecord) (uint64, error) {
	return l.log.Append(ctx, platform.Batch{Stream: stream, Records: records})
}

// sweep drops expired request records until the context ends.
func (h *host) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			h.registry.Sweep()
			h.register.Sweep(h.sessionClock.Now())
		}
	}
}
