package witness

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/connection/mesh"
	"mustarddoor/internal/process/identity"
)

// ErrUnknownHost is returned when the witness incarnation is not a known host.
// The intent was not sent.
var ErrUnknownHost = eris.New("witness is not known")

// Hosts finds the addresses of host incarnations.
type Hosts interface {
	// Find returns the host if this very incarnation is known.
	Find(incarnation identity.Incarnation) (identity.Host, bool)
}

// SenderConfig is what a sender needs.
type SenderConfig struct {
	Caller mesh.Caller
	Hosts  Hosts
	// Local is this host's own register. It keeps the records of sessions
	// without a witness until the log has them.
	Local *Register
	// Now is the clock of Local.
	Now func() time.Time
	// IntentTimeout is how long a witness may take to acknowledge.
	IntentTimeout time.Duration
	// OutcomeInterval is how often outcomes are sent.
	OutcomeInterval time.Duration
}

// Sender sends intents and outcomes to their witnesses, in batches. It
// implements owner.Intender and owner.Recorder and is safe for concurrent use.
// Outcomes are sent while Run runs.
type Sender struct {
	config   SenderConfig
	mu       sync.RWMutex
	batchers map[string]*batcher
	outcomes outcomeQueue
}

// NewSender returns a sender.
func NewSender(config SenderConfig) *Sender {
	return &Sender{config: config, batchers: make(map[string]*batcher)}
}

// SendIntent sends an intent to its key's witness and returns the verdict. It fails
// with ErrNoWitness, ErrBusy, a mesh error or the context's error; the intent
// may stand after the last two.
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

// maxBatchers bounds the batchers that are kept; idle ones are then dropped.
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
