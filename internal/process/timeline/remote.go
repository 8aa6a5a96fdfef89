package timeline

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"mustarddoor/internal/connection/mesh"
	"mustarddoor/internal/process/identity"
)

// KindQuery asks a host for a part of its ring: Query to Slice.
const KindQuery mesh.Kind = "timeline.query"

// Path is where Service is mounted for operators.
const Path = "/v1/timeline"

const (
	// pageEvents bounds the events of one message.
	pageEvents = 1000
	// collectTimeout bounds the collection from all hosts.
	collectTimeout = 5 * time.Second
	// collectAtOnce bounds how many hosts are asked at the same time.
	collectAtOnce = 16
	// maxCollected bounds the events of a merged time line; each host gives the
	// newest of an equal share.
	maxCollected = 1 << 16
)

// Query asks for a part of a ring: the first page of the newest events, or the
// page after a sequence number.
type Query struct {
	Filter Filter `cbor:"1,keyasint"`
	After  uint64 `cbor:"2,keyasint,omitempty"`
	// Newest is how many events are wanted altogether. It counts if After is
	// zero.
	Newest int `cbor:"3,keyasint,omitempty"`
}

// Register lets other hosts query the ring.
func Register(router mesh.Router, ring *Ring) {
	router.Handle(KindQuery, func(_ context.Context, _ identity.Incarnation, body cbor.RawMessage) (any, error) {
		var query Query
		if err := cbor.Unmarshal(body, &query); err != nil {
			return nil, eris.Wrap(err, "decoding a time line query")
		}
		return ring.answer(query, pageEvents), nil
	})
}

// answer gives one page of at most limit events.
func (r *Ring) answer(query Query, limit int) Slice {
	if query.After > 0 || query.Newest <= 0 {
		return r.Slice(query.Filter, query.After, limit)
	}
	before := r.Before(query.Filter, query.Newest)
	slice := r.Slice(query.Filter, before, limit)
	slice.Dropped = max(slice.Dropped, before)
	return slice
}

// Service answers queries with the merged time line of all hosts.
type Service struct {
	// Ring is this host's own.
	Ring *Ring
	// Caller reaches the other hosts.
	Caller mesh.Caller
	// Peers gives the other hosts that are worth asking.
	Peers func() []identity.Host
}

// Collect merges this host's events and its peers'. Peers that do not answer
// leave a gap, and so do hosts that have died or left since this one started.
func (s *Service) Collect(ctx context.Context, filter Filter) Merged {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	var (
		mutex    sync.Mutex
		group    sync.WaitGroup
		failures []Gap
	)
	peers := s.Peers()
	query := Query{Filter: filter, Newest: maxCollected / (len(peers) + 1)}
	parts := []Slice{s.Ring.answer(query, query.Newest)}
	turns := make(chan struct{}, collectAtOnce)
	for _, peer := range peers {
		group.Go(func() {
			turns <- struct{}{}
			defer func() { <-turns }()
			pages, err := s.ask(ctx, peer, query)
			mutex.Lock()
			defer mutex.Unlock()
			parts = append(parts, pages...)
			if err != nil {
				failures = append(failures, Gap{Host: peer.Incarnation, Failure: err.Error()})
			}
		})
	}
	group.Wait()
	return Merge(parts, append(failures, s.Ring.gone(parts, failures)...))
}

// ask reads a peer's ring page by page.
func (s *Service) ask(ctx context.Context, peer identity.Host, query Query) ([]Slice, error) {
	var pages []Slice
	for {
		var page Slice
		if err := s.Caller.Call(ctx, peer.MeshAddress, KindQuery, query, &page); err != nil {
			return pages, err
		}
		pages = append(pages, page)
		if !page.More {
			return pages, nil
		}
		query.After = page.Next
	}
}

// ServeHTTP answers a GET with the parameters of a filter by Merged in JSON.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	filter, err := ParseFilter(r.URL.Query(), time.Now())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// An error here means that the client has gone.
	_ = json.NewEncoder(w).Encode(s.Collect(r.Context(), filter))
}
