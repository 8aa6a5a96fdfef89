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
	// maxPageEvents bounds the events of one message.
	maxPageEvents = 1000
	// collectTimeout bounds the collection from all hosts.
	collectTimeout = 5 * time.Second
	// maxConcurrentQueries bounds how many hosts are asked at the same time.
	maxConcurrentQueries = 16
	// maxCollectedEvents bounds the events of a merged time line; each host gives the
	// newest of an equal share.
	maxCollectedEvents = 1 << 16
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
		return ring.queryPage(query, maxPageEvents), nil
	})
}

// queryPage gives one page of at most limit events.
func (r *Ring) queryPage(query Query, limit int) Page {
	if query.After > 0 || query.Newest <= 0 {
		return r.Page(query.Filter, query.After, limit)
	}
	before := r.SequenceBeforeNewest(query.Filter, query.Newest)
	page := r.Page(query.Filter, before, limit)
	page.Dropped = max(page.Dropped, before)
	return page
}

// Collector answers queries with the merged time line of all hosts.
type Collector struct {
	// Ring is this host's own.
	Ring *Ring
	// Caller reaches the other hosts.
	Caller mesh.Caller
	// Peers gives the other hosts that are worth asking.
	Peers func() []identity.Host
}

// Collect merges this host's events and its peers'. Peers that do not answer
// leave a gap, and so do hosts that have died or left since this one started.
func (c *Collector) Collect(ctx context.Context, filter Filter) Merged {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	var (
		mutex    sync.Mutex
		group    sync.WaitGroup
		failures []Gap
	)
	peers := c.Peers()
	query := Query{Filter: filter, Newest: maxCollectedEvents / (len(peers) + 1)}
	pages := []Page{c.Ring.queryPage(query, query.Newest)}
	semaphore := make(chan struct{}, maxConcurrentQueries)
	for _, peer := range peers {
		group.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			peerPages, err := c.queryPeer(ctx, peer, query)
			mutex.Lock()
			defer mutex.Unlock()
			pages = append(pages, peerPages...)
			if err != nil {
				failures = append(failures, Gap{Host: peer.Incarnation, Failure: err.Error()})
			}
		})
	}
	group.Wait()
	return Merge(pages, append(failures, c.Ring.endedHostGaps(pages, failures)...))
}

// queryPeer reads a peer's ring page by page.
func (c *Collector) queryPeer(ctx context.Context, peer identity.Host, query Query) ([]Page, error) {
	var pages []Page
	for {
		var page Page
		if err := c.Caller.Call(ctx, peer.MeshAddress, KindQuery, query, &page); err != nil {
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
func (c *Collector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	filter, err := ParseFilter(r.URL.Query(), time.Now())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// An error here means that the client has gone.
	_ = json.NewEncoder(w).Encode(c.Collect(r.Context(), filter))
}
