package witness

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/connection/mesh"
	"mustarddoor/internal/process/identity"
)

// ErrUnknownHost is returned when an incarnation is not that of a known host.
// Nothing was sent to it.
var ErrUnknownHost = eris.New("no known host has this incarnation")

// Hosts resolves incarnations to hosts.
type Hosts interface {
	// Find returns the host if exactly this incarnation is known.
	Find(incarnation identity.Incarnation) (identity.Host, bool)
}

// SenderConfig configures a Sender.
type SenderConfig struct {
	Caller mesh.Caller
	Hosts  Hosts
	// Local is this host's own register. It holds the records of sessions without
	// a witness until they are in the log.
	Local *Register
	// Now is the clock of Local.
	Now func() time.Time
	// IntentTimeout is the timeout of a message to a witness.
	IntentTimeout time.Duration
	// OutcomeInterval is the time between two sends of queued outcomes.
	OutcomeInterval time.Duration
}

// Sender sends intents and outcomes to their witnesses in batches. It
// implements owner.IntentSender and owner.OutcomeRecorder and is safe for
// concurrent use. Outcomes are sent only while Run is running.
type Sender struct {
	config   SenderConfig
	mu       sync.RWMutex
	batchers map[string]*batcher
	outcomes outcomeQueue
}

// NewSender returns a Sender.
func NewSender(config SenderConfig) *Sender {
	return &Sender{config: config, batchers: make(map[string]*batcher)}
}

// SendIntent sends an intent to its key's witness and returns the verdict. It
// fails with ErrUnknownHost, ErrBusy, a mesh error or the context's error;
// after either of the last two the witness may have recorded the intent.
func (s *Sender) SendIntent(ctx context.Context, intent Intent) (Verdict, error) {
	incarnation := intent.Key.Session.Witness
	if incarnation.IsZero() {
		return s.config.Local.RecordLocalIntent(s.config.Now(), intent), nil
	}
	host, known := s.config.Hosts.Find(incarnation)
	if !known {
		return 0, eris.Wrap(ErrUnknownHost, incarnation.String())
	}
	results, err := s.batcherFor(host.MeshAddress).enqueue(intent)
	if err != nil {
		return 0, err
	}
	select {
	case result := <-results:
		return result.verdict, result.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// maxBatchers is the maximum number of batchers kept. When it is reached, all
// are removed; those with pending intents still send them.
const maxBatchers = 1024

func (s *Sender) batcherFor(address string) *batcher {
	s.mu.RLock()
	found := s.batchers[address]
	s.mu.RUnlock()
	if found != nil {
		return found
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if found := s.batchers[address]; found != nil {
		return found
	}
	if len(s.batchers) >= maxBatchers {
		clear(s.batchers)
	}
	added := &batcher{caller: s.config.Caller, address: address, timeout: s.config.IntentTimeout}
	s.batchers[address] = added
	return added
}
