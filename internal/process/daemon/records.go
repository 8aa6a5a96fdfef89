package daemon

import (
	"context"
	"time"

	"mustarddoor/internal/connection/platform"
	"mustarddoor/internal/request/journal"
	"mustarddoor/internal/request/owner"
	"mustarddoor/internal/request/session"
	"mustarddoor/internal/request/witness"
)

// Bounds and intervals of the request records.
const (
	maxRegisterRecords = 1 << 18
	maxRegisterOwners  = 1024
	maxWindowBytes     = 1 << 20
	intentTimeout      = time.Second
	outcomeInterval    = 20 * time.Millisecond
	journalTimeout     = 5 * time.Second
	// sweepInterval is how often expired records are removed.
	sweepInterval = time.Second
)

// initRecords creates the stores of request records: the witness register for
// other hosts, the registry of this host's own requests, and the journal in the
// log.
func (h *host) initRecords() error {
	h.initWitness()
	h.initRegistry()
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

// initWitness creates the register of other hosts' requests and the sender that
// reports this host's requests to their witnesses.
func (h *host) initWitness() {
	now := h.sessionClock.Now
	h.register = witness.NewRegister(witness.Config{
		Self:      h.self.Incarnation,
		Limits:    witness.Limits{MaxRecords: maxRegisterRecords, MaxBytes: h.settings.Limits.MaxRegisterBytes, MaxOwners: maxRegisterOwners},
		Retention: h.retention,
	})
	h.register.AddHandlers(h.meshServer, now)
	h.sender = witness.NewSender(witness.SenderConfig{
		Caller:          h.meshCaller,
		Hosts:           h,
		Local:           h.register,
		Now:             now,
		IntentTimeout:   intentTimeout,
		OutcomeInterval: outcomeInterval,
	})
}

// initRegistry creates the registry of the requests that this host owns.
func (h *host) initRegistry() {
	h.issuer = session.NewIssuer(h.self, h, h.sessionClock)
	h.registry = owner.NewRegistry(owner.Config{
		Self: h.self.Incarnation,
		Limits: owner.Limits{
			MaxRequests:      maxRegisterRecords,
			MaxResponseBytes: h.settings.Limits.MaxHeldResponseBytes,
			MaxWindowBytes:   maxWindowBytes,
		},
		IntentSender:    lostWitnessRecorder{h.sender, h.issuer},
		OutcomeRecorder: h.sender,
		Now:             h.sessionClock.Now,
		Retention:       h.retention,
	})
	h.meshServer.Handle(owner.KindLocate, h.registry.Handle)
}

// lostWitnessRecorder tells the issuer of sessions which witnesses do not reply.
type lostWitnessRecorder struct {
	owner.IntentSender
	issuer *session.Issuer
}

// SendIntent implements owner.IntentSender.
func (r lostWitnessRecorder) SendIntent(ctx context.Context, intent witness.Intent) (witness.Verdict, error) {
	verdict, err := r.IntentSender.SendIntent(ctx, intent)
	if err != nil && ctx.Err() == nil {
		r.issuer.MarkLost(intent.Key.Session.Witness)
	}
	return verdict, err
}

// journalInterval returns the append interval of this host. It grows with the
// number of hosts, which bounds the append rate of the fleet.
func (h *host) journalInterval() time.Duration {
	return journal.AppendInterval(len(h.otherHosts()) + 1)
}

// logAppender adapts platform.Log to journal.Appender.
type logAppender struct{ log platform.Log }

// Append implements journal.Appender.
func (l logAppender) Append(ctx context.Context, stream string, records []platform.AppendRecord) (uint64, error) {
	return l.log.Append(ctx, platform.Batch{Stream: stream, Records: records})
}

// sweep removes expired request records until the context ends.
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
