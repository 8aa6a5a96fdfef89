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

// KindQuery requests a page of a host's ring. The request is a Query, the
// response a Page.
const KindQuery mesh.Kind = "timeline.query"

// Path is the URL path of Collector on the admin address.
const Path = "/v1/timeline"

const (
	// maxPageEvents limits the number of events in one message.
	maxPageEvents = 1000
	// collectTimeout limits the duration of a collection from all hosts.
	collectTimeout = 5 * time.Second
	// maxConcurrentQueries limits the number of hosts that are queried at the
	// same time.
	maxConcurrentQueries = 16
	// maxCollectedEvents limits the number of events in a merged timeline. Each
	// host contributes its newest events up to an equal share.
	maxCollectedEvents = 1 << 16
)

// Query requests a page of a ring: the first page of the newest events, or the
// page after a sequence number.
type Query struct {
	Filter Filter `cbor:"1,keyasint"`
	After  uint64 `cbor:"2,keyasint,omitempty"`
	// Newest is the number of newest events to read, over all pages. It is used
	// only if After is zero.
	Newest int `cbor:"3,keyasint,omitempty"`
}

// Register handles queries of other hosts with the ring.
func Register(router mesh.Router, ring *Ring) {
	router.Handle(KindQuery, func(_ context.Context, _ identity.Incarnation, body cbor.RawMessage) (any, error) {
		var query Query
		if err := cbor.Unmarshal(body, &query); err != nil {
			return nil, eris.Wrap(err, "decoding a timeline query")
		}
		return ring.queryPage(query, maxPageEvents), nil
	})
}

// queryPage returns the page that a query requests, of at most limit events.
func (r *Ring) queryPage(query Query, limit int) Page {
	if query.After > 0 || query.Newest <= 0 {
		return r.Page(query.Filter, query.After, limit)
	}
	before := r.SequenceBeforeNewest(query.Filter, query.Newest)
	page := r.Page(query.Filter, before, limit)
	page.Dropped = max(page.Dropped, before)
	return page
}

// Collector serves the merged timeline of all hosts.
type Collector struct {
	// Ring is the ring of this host.
	Ring *Ring
	// Caller calls the other hosts.
	Caller mesh.Caller
	// Peers returns the other hosts to query.
	Peers func() []identity.Host
}

// Collect merges the events of this host and its peers. It adds a gap for each
// peer that does not respond, and for each host that died or left since this one
// started.
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

// queryPeer reads the ring of a peer page by page.
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

// ServeHTTP responds to a GET, with a filter as query parameters, with Merged as
// JSON.
func (c *Collector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	filter, err := ParseFilter(r.URL.Query(), time.Now())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// An error here means that the client closed the connection.
	_ = json.NewEncoder(w).Encode(c.Collect(r.Context(), filter))
}
