package gateway

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"mustarddoor/internal/process/keyed"
)

// recordsPath is where hosts read each other's topics.
const recordsPath = "/records"

// readers makes one host of each failure domain read the platform's log, and
// the others read from it, so that the log's load does not grow with the hosts.
// It implements keyed.Store for the topics that all hosts follow.
//
// A host whose reader fails reads the log itself at once, so that a lost reader
// costs no more than the time-out of one call.
type readers struct {
	gateway *Gateway
	client  *http.Client
	relayed metrics.Counter
	failed  metrics.Counter

	mu sync.Mutex
	// avoided are hosts whose records could not be read, until a time.
	avoided map[netip.AddrPort]time.Time
}

const (
	// relayWait is how long a read at another host waits for records, and
	// relayAnswer how much longer the answer may take: together well under
	// the time within which a change must be known.
	relayWait   = 500 * time.Millisecond
	relayAnswer = 300 * time.Millisecond
	// avoidTime is how long a host is passed over that did not answer.
	avoidTime = 2 * time.Second
	// maxRecords bounds an answer in bytes.
	maxRecords = 8 << 20
)

// Paces at which the topics are read.
var (
	// operatorPace bounds how late a change is seen when a connection to the
	// log falls silent; a change ends the wait.
	operatorPace = keyed.Pace{Wait: 1200 * time.Millisecond, Answer: 700 * time.Millisecond, Retry: 150 * time.Millisecond}
	// endpointsPace is below the endpoints' own pace of writing. Entries change
	// all the time, so waiting for a record would mean a call for each.
	endpointsPace = keyed.Pace{Every: 600 * time.Millisecond, Answer: 700 * time.Millisecond, Retry: 300 * time.Millisecond}
	// relayPace is for both topics at another host. The answer may take as long
	// as the log's, which is asked if the host fails.
	relayPace = keyed.Pace{Wait: relayWait, Answer: relayAnswer + 700*time.Millisecond, Retry: 100 * time.Millisecond}
	// hostsPace is slow, since hosts tell each other of further ones. Only the
	// readers keep to it: hosts that are cut from each other have one each.
	hostsPace = keyed.Pace{Every: 5 * time.Second, Answer: time.Second, Retry: time.Second}
)

func newReaders(g *Gateway) *readers {
	return &readers{
		gateway: g, avoided: map[netip.AddrPort]time.Time{},
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}},
		relayed: metrics.GetOrRegisterCounter("store.reads_relayed", g.registry),
		failed:  metrics.GetOrRegisterCounter("store.relays_failed", g.registry),
	}
}

// reader is the host to read from, or the zero link to read the log itself.
func (r *readers) reader() netip.AddrPort {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	avoid := func(link netip.AddrPort) bool { return now.Before(r.avoided[link]) }
	link := r.gateway.roster.Reader(avoid, !r.gateway.operator.IsLost(), now)
	if link == r.gateway.settings.Link {
		return netip.AddrPort{}
	}
	return link
}

func (r *readers) operatorPace() keyed.Pace { return r.pace(operatorPace) }

func (r *readers) endpointsPace() keyed.Pace { return r.pace(endpointsPace) }

// pace is that of reading at another host, or the log's own if there is none.
func (r *readers) pace(log keyed.Pace) keyed.Pace {
	if r.reader().IsValid() {
		return relayPace
	}
	log.Retry = lostRetry(log.Retry, r.gateway.roster.InDomain(time.Now()))
	return log
}

func (r *readers) hostsPace() keyed.Pace {
	pace := hostsPace
	pace.Idle = r.reader().IsValid()
	return pace
}

// lostRetryMost bounds the pause between a host's tries to reach a log that no
// host of its failure domain reaches: with the time of one call it is well
// under the time within which a change must be known.
const lostRetryMost = 1500 * time.Millisecond

// lostRetry is the pause between a host's tries while its whole failure domain
// has lost the log. It answers the load of an outage, in which each host reads
// for itself: together they try as often as a single one would, and the first
// that succeeds reads for all.
func lostRetry(alone time.Duration, hosts int) time.Duration {
	return min(alone*time.Duration(max(hosts, 1)), max(alone, lostRetryMost))
}

// Newest implements keyed.Store.
func (r *readers) Newest(ctx context.Context, part keyed.Part) ([]keyed.Record, uint64, error) {
	return r.gateway.ports.Store.Newest(ctx, part)
}

// Append implements keyed.Store.
func (r *readers) Append(ctx context.Context, part keyed.Part, record keyed.Record, at *uint64) (uint64, error) {
	return r.gateway.ports.Store.Append(ctx, part, record, at)
}

// Read implements keyed.Store.
func (r *readers) Read(ctx context.Context, part keyed.Part, from uint64, wait time.Duration) ([]keyed.Record, uint64, error) {
	link := r.reader()
	if !link.IsValid() {
		return r.gateway.ports.Store.Read(ctx, part, from, wait)
	}
	records, next, err := r.readAt(ctx, link, part, from)
	if err == nil {
		r.relayed.Inc(1)
		return records, next, nil
	}
	if ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled) {
		return nil, 0, eris.Wrap(keyed.ErrUnanswered, "stopped")
	}
	r.failed.Inc(1)
	r.mu.Lock()
	r.avoided[link] = time.Now().Add(avoidTime)
	r.mu.Unlock()
	r.gateway.log.Entry().WithError(err).WithField("link", link.String()).Info("reading the log instead of another host")
	return r.gateway.ports.Store.Read(ctx, part, from, 0)
}

// records is an answer to a read at another host.
type records struct {
	Records []keyed.Record `cbor:"1,keyasint,omitempty"`
	Next    uint64         `cbor:"2,keyasint"`
}

// readAt reads records at another host.
func (r *readers) readAt(ctx context.Context, link netip.AddrPort, part keyed.Part, from uint64) ([]keyed.Record, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, relayWait+relayAnswer)
	defer cancel()
	query := url.Values{"topic": {part.Topic}, "from": {strconv.FormatUint(from, 10)}}
	decoded := records{}
	if err := fetchFrom(ctx, r.client, link, recordsPath+"?"+query.Encode(), maxRecords, &decoded); err != nil {
		return nil, 0, err
	}
	return decoded.Records, decoded.Next, nil
}

// serve answers another host's read.
func (r *readers) serve(w http.ResponseWriter, request *http.Request) {
	from, err := strconv.ParseUint(request.URL.Query().Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	topic := r.gateway.operator
	if request.URL.Query().Get("topic") == r.gateway.ports.Topics.Endpoints {
		topic = r.gateway.endpoints
	}
	ctx, cancel := context.WithTimeout(request.Context(), relayWait)
	defer cancel()
	found, next, err := topic.Since(ctx, from)
	if err != nil {
		// The other host reads the log itself.
		w.WriteHeader(http.StatusGone)
		return
	}
	r.gateway.sendTo(w, records{Records: found, Next: next})
}
