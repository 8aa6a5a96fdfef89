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
	"golang.org/x/time/rate"

	"mustarddoor/internal/connection/transfer"
	"mustarddoor/internal/process/keyed"
)

// recordsPath is where hosts read records from each other.
const recordsPath = "/records"

// sharedReadStore lets one host of each failure domain read the platform's log
// and the others read from that host, so that the load on the log does not grow
// with the fleet. It implements keyed.Store for the topics that all hosts
// follow.
//
// A host whose reader fails, or has not read the log lately itself, reads the log
// immediately, so that losing the reader costs at most the timeout of one call.
type sharedReadStore struct {
	gateway      *Gateway
	client       *http.Client
	relayedReads metrics.Counter
	failedRelays metrics.Counter
	// limiter bounds the bytes of records sent to other hosts, refusedReplies counts the
	// replies that were not sent for that.
	limiter        *rate.Limiter
	refusedReplies metrics.Counter
	logReads       logReads
	// packed holds the compressed replies of each topic.
	packed map[*keyed.Topic]*packedReplies

	mu sync.Mutex
	// avoidedUntil holds the hosts whose records could not be read, and until
	// when to skip them.
	avoidedUntil map[netip.AddrPort]time.Time
}

const (
	// relayMaxWait is how long a read from another host waits for records, and
	// relayReplyTimeout how much longer the reply may take to begin, and to continue.
	// Their sum is well below the time within which a change must be known.
	relayMaxWait      = 500 * time.Millisecond
	relayReplyTimeout = 300 * time.Millisecond
	// relayMinWait keeps reads from a host whose replies confirm nothing apart.
	relayMinWait = 50 * time.Millisecond
	// maxUnconfirmed is how long ago the log may have been read of which another host
	// reports that nothing has changed. A host that reads the log for others confirms
	// that more often. Together with one read of the log it is well below the time
	// within which a change must be known.
	maxUnconfirmed = 1100 * time.Millisecond
	// neverConfirmedAge is reported by a host that has not read the log itself.
	neverConfirmedAge = time.Hour
	// avoidDuration is how long a host that did not reply is skipped.
	avoidDuration = 2 * time.Second
	// maxRecordsBytes limits the size of a reply.
	maxRecordsBytes = 8 << 20
)

// Poll policies of the topics.
var (
	// operatorPollPolicy confirms that nothing has changed within maxUnconfirmed. Its
	// MaxWait depends on how fast the store replies.
	operatorPollPolicy = keyed.PollPolicy{ResponseTimeout: 700 * time.Millisecond, RetryDelay: 150 * time.Millisecond}
	// endpointsPollPolicy has a shorter interval than an endpoint's writes. Some
	// entry changes all the time, so waiting for records would cost a call for
	// each record.
	endpointsPollPolicy = keyed.PollPolicy{MinInterval: 600 * time.Millisecond, ResponseTimeout: 700 * time.Millisecond, RetryDelay: 300 * time.Millisecond}
	// relayPollPolicy is for reading either topic from another host. The
	// response timeout includes that of the log, which is read if the host fails.
	relayPollPolicy = keyed.PollPolicy{MaxWait: relayMaxWait, ResponseTimeout: relayReplyTimeout + 700*time.Millisecond, RetryDelay: 100 * time.Millisecond}
	// hostsPollPolicy is slow because hosts learn of others from each other.
	// Only log readers poll: each side of a partitioned fleet has one.
	hostsPollPolicy = keyed.PollPolicy{MinInterval: 5 * time.Second, ResponseTimeout: time.Second, RetryDelay: time.Second}
)

func newSharedReadStore(g *Gateway) *sharedReadStore {
	return &sharedReadStore{
		gateway: g, avoidedUntil: map[netip.AddrPort]time.Time{},
		client:       &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}},
		relayedReads: metrics.GetOrRegisterCounter("store.reads_relayed", g.registry),
		failedRelays: metrics.GetOrRegisterCounter("store.relays_failed", g.registry),

		refusedReplies: metrics.GetOrRegisterCounter("store.replies_refused", g.registry),
		limiter:        newRecordsLimiter(g.settings.LinkMbps),
	}
}

const (
	// recordsBandwidthShare is the fraction of a host's network link that records for
	// other hosts may use; the rest is for requests.
	recordsBandwidthShare = 0.5
	// recordsBurstDuration is how much of that rate may be sent as one burst. The link
	// delivers it within relayReplyTimeout.
	recordsBurstDuration = 500 * time.Millisecond
)

// newRecordsLimiter limits the bytes of records that a host sends to others for a link
// capacity in Mbit/s. There is no limit if the capacity is unknown.
func newRecordsLimiter(mbps int) *rate.Limiter {
	if mbps <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	bytes := float64(mbps) * 1e6 / 8 * recordsBandwidthShare
	return rate.NewLimiter(rate.Limit(bytes), int(bytes*recordsBurstDuration.Seconds()))
}

// readerAddress returns the address of the host to read from, or the zero
// address to read the log directly.
func (s *sharedReadStore) readerAddress() netip.AddrPort {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	avoid := func(address netip.AddrPort) bool { return now.Before(s.avoidedUntil[address]) }
	address := s.gateway.membership.LogReader(avoid, !s.gateway.logAccess.isLost(), s.gateway.membership.Now())
	if address == s.gateway.settings.PeerAddress {
		return netip.AddrPort{}
	}
	return address
}

func (s *sharedReadStore) operatorPolicy() keyed.PollPolicy {
	direct := operatorPollPolicy
	direct.MaxWait = s.logReads.operatorWait(time.Since(s.gateway.operator.ConfirmedAt()))
	return s.pollPolicy(direct)
}

func (s *sharedReadStore) endpointsPolicy() keyed.PollPolicy {
	return s.pollPolicy(endpointsPollPolicy)
}

// pollPolicy returns the policy for reading from another host, or the given one
// if this host reads the log itself.
func (s *sharedReadStore) pollPolicy(direct keyed.PollPolicy) keyed.PollPolicy {
	if s.readerAddress().IsValid() {
		return relayPollPolicy
	}
	direct.RetryDelay = outageRetryDelay(direct.RetryDelay, s.gateway.membership.ReachableInDomain(s.gateway.membership.Now()))
	return direct
}

func (s *sharedReadStore) hostsPolicy() keyed.PollPolicy {
	policy := hostsPollPolicy
	policy.Paused = s.readerAddress().IsValid()
	return policy
}

// maxOutageRetryDelay limits the delay between a host's attempts to reach a log
// that no host of its failure domain can reach. Together with the timeout of one
// call it is well below the time within which a change must be known.
const maxOutageRetryDelay = 1500 * time.Millisecond

// outageRetryDelay returns the delay between a host's attempts while its whole
// failure domain has no access to the log. Each host then reads for itself, so
// the delay grows with the number of hosts: together they retry as often as a
// single host would, and the first that succeeds reads for all.
func outageRetryDelay(base time.Duration, hosts int) time.Duration {
	return min(base*time.Duration(max(hosts, 1)), max(base, maxOutageRetryDelay))
}

// Newest implements keyed.Store.
func (s *sharedReadStore) Newest(ctx context.Context, partition keyed.Partition) (keyed.Snapshot, error) {
	address := s.readerAddress()
	if !address.IsValid() {
		return s.gateway.ports.Store.Newest(ctx, partition)
	}
	reply, err := s.fetchRecords(ctx, address, partition, url.Values{"snapshot": {"1"}}, relayMaxWait)
	if err == nil && reply.Snapshot == nil {
		err = eris.New("no snapshot in the reply")
	}
	if known, _ := s.topic(partition.Topic).Next(); err == nil && reply.Snapshot.Position.Compare(known) < 0 {
		err = keyed.ErrOutdated
	}
	if err == nil && reply.isOutdated() {
		err = errUnconfirmed
	}
	if err != nil {
		s.avoid(address, err)
		return s.gateway.ports.Store.Newest(ctx, partition)
	}
	s.relayedReads.Inc(1)
	return *reply.Snapshot, nil
}

// Append implements keyed.Store.
func (s *sharedReadStore) Append(ctx context.Context, partition keyed.Partition, record keyed.Record, expectedEnd *uint64) (keyed.Position, error) {
	return s.gateway.ports.Store.Append(ctx, partition, record, expectedEnd)
}

// Read implements keyed.Store.
func (s *sharedReadStore) Read(ctx context.Context, partition keyed.Partition, from keyed.Position, wait time.Duration) (keyed.Batch, error) {
	address := s.readerAddress()
	if !address.IsValid() {
		return s.logReads.read(ctx, s.gateway.ports.Store, partition, from, wait)
	}
	batch, err := s.readFromHost(ctx, address, partition, from)
	if err == nil {
		s.relayedReads.Inc(1)
		return batch, nil
	}
	if ctx.Err() != nil {
		// This process stops, or did not run when the other host replied.
		return keyed.Batch{}, eris.Wrap(keyed.ErrUnanswered, ctx.Err().Error())
	}
	s.avoid(address, err)
	direct, err := s.logReads.read(ctx, s.gateway.ports.Store, partition, from, 0)
	if err != nil && len(batch.Records) > 0 {
		// Without the log, records of a host that has not read it lately are the newest.
		return batch, nil
	}
	return direct, err
}

// avoid records that a host did not serve its records.
func (s *sharedReadStore) avoid(address netip.AddrPort, err error) {
	s.failedRelays.Inc(1)
	s.mu.Lock()
	s.avoidedUntil[address] = time.Now().Add(avoidDuration)
	s.mu.Unlock()
	s.gateway.log.Entry().WithError(err).WithField("link", address.String()).Info("cannot read from another host, reading the log directly")
}

// readFromHost reads records from another host. If that host replies with a
// snapshot instead, the topic adopts it.
func (s *sharedReadStore) readFromHost(ctx context.Context, address netip.AddrPort, partition keyed.Partition, from keyed.Position) (keyed.Batch, error) {
	// What is known here holds until it counts as unconfirmed. A reader that is silent is
	// noticed then.
	wait := min(max(maxUnconfirmed-time.Since(s.topic(partition.Topic).ConfirmedAt()), relayMinWait), relayMaxWait)
	reply, err := s.fetchRecords(ctx, address, partition, url.Values{
		"from": {strconv.FormatUint(from.Offset, 10)}, "era": {strconv.FormatUint(from.Era, 10)}, relayWaitField: {strconv.FormatInt(wait.Milliseconds(), 10)},
	}, wait)
	if err != nil {
		return keyed.Batch{}, err
	}
	if reply.Snapshot != nil {
		s.topic(partition.Topic).Adopt(*reply.Snapshot)
	}
	if reply.Era == 0 {
		reply.Era = from.Era
	}
	batch := keyed.Batch{
		Records: reply.Records, Offsets: reply.Offsets, Next: keyed.Position{Era: reply.Era, Offset: reply.Next}, Source: keyed.SourceReader, ConfirmedAt: reply.confirmedAt(),
	}
	isUnknown := reply.ConfirmedMillis == nil && isOutdated(s.topic(partition.Topic).ConfirmedAt())
	if isUnknown || reply.isOutdated() {
		return batch, errUnconfirmed
	}
	return batch, nil
}

// fetchRecords requests a topic's records from another host, which may wait for them.
func (s *sharedReadStore) fetchRecords(ctx context.Context, address netip.AddrPort, partition keyed.Partition, query url.Values, wait time.Duration) (receivedRecords, error) {
	ctx, cancel := transfer.WithTimeout(ctx, wait, relayReplyTimeout)
	defer cancel()
	query.Set("topic", partition.Topic)
	query.Set(packedField, "1")
	query.Set(sparseField, "1")
	reply := receivedRecords{requestedAt: time.Now()}
	err := s.gateway.fetchFromHost(ctx, s.client, address, recordsPath+"?"+query.Encode(), maxRecordsBytes, &reply.recordsReply)
	if err == nil {
		err = reply.unpack()
	}
	if reply.Snapshot != nil {
		reply.Snapshot.Source, reply.Snapshot.ConfirmedAt = keyed.SourceReader, reply.confirmedAt()
	}
	return reply, err
}

// topic returns the followed topic of a name.
func (s *sharedReadStore) topic(name string) *keyed.Topic {
	if name == s.gateway.ports.Topics.Endpoints {
		return s.gateway.endpoints
	}
	return s.gateway.operator
}

// serveRecords serves records, or a snapshot, to another host.
func (s *sharedReadStore) serveRecords(w http.ResponseWriter, request *http.Request) {
	arrivedAt := time.Now()
	query := request.URL.Query()
	topic := s.topic(query.Get("topic"))
	if query.Get("snapshot") != "" {
		s.serveSnapshot(w, query, topic, keyed.Position{}, arrivedAt)
		return
	}
	from, err := parsePosition(query, topic)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	// The other host is to read the log itself as soon as this one may have missed records.
	wait := min(relayWait(query), maxUnconfirmed-time.Since(topic.ConfirmedAt()))
	ctx, cancel := context.WithTimeout(request.Context(), wait)
	defer cancel()
	batch, err := topic.Since(ctx, from)
	if err == nil && !batch.IsConsecutive(from) && query.Get(sparseField) == "" {
		err = keyed.ErrTrimmed
	}
	switch {
	case errors.Is(err, keyed.ErrTrimmed):
		s.serveSnapshot(w, query, topic, from, arrivedAt)
	case err != nil, len(batch.Records) == 0 && isOutdated(batch.ConfirmedAt):
		// The other host then reads the log itself.
		w.WriteHeader(http.StatusGone)
	default:
		reply := newRecordsReply(batch.Next, arrivedAt, batch.ConfirmedAt)
		reply.Records = batch.Records
		if !batch.IsConsecutive(from) {
			reply.Offsets = batch.Offsets
		}
		s.writeRecords(w, query, topic, reply, packedKey{from: from, next: batch.Next})
	}
}

// writeRecords sends a reply to a query, compressed if the other host reads that, unless the
// link could not deliver it in time. The other host then reads the log itself.
func (s *sharedReadStore) writeRecords(w http.ResponseWriter, query url.Values, topic *keyed.Topic, reply recordsReply, key packedKey) {
	if acceptsPacked(query) {
		packed, err := s.packed[topic].get(key, packedContent{Records: reply.Records, Snapshot: reply.Snapshot})
		if err != nil {
			s.gateway.log.Entry().WithError(err).Error("cannot compress records for another host")
		}
		if len(packed) > 0 {
			reply.Records, reply.Snapshot, reply.Packed = nil, nil, packed
		}
	}
	s.gateway.writeReplyIf(w, reply, s.mayWrite)
}

// mayWrite reports whether the link can deliver a reply of a size in bytes to another host,
// and counts it if so. One that is larger than the limiter's burst takes all of it.
func (s *sharedReadStore) mayWrite(size int) bool {
	isAllowed := s.limiter.Limit() == rate.Inf || s.limiter.AllowN(time.Now(), min(size, s.limiter.Burst()))
	if !isAllowed {
		s.refusedReplies.Inc(1)
	}
	return isAllowed
}

// sparseField is the query field with which a host asks for records without those that a later
// one replaces. Hosts of older versions do not send it, and receive a snapshot instead.
const sparseField = "sparse"

// relayWaitField is the query field for the time in ms that a read from another host
// waits for records.
const relayWaitField = "wait"

// relayWait returns how long a read waits for records at most. A host that runs a version
// that does not send it waits for relayMaxWait.
func relayWait(query url.Values) time.Duration {
	millis, err := strconv.ParseUint(query.Get(relayWaitField), 10, 32)
	if err != nil {
		return relayMaxWait
	}
	return min(time.Duration(millis)*time.Millisecond, relayMaxWait)
}

// parsePosition returns the position from which another host reads a topic. A host
// that runs a version that does not send the era is taken to know the newest.
func parsePosition(query url.Values, topic *keyed.Topic) (from keyed.Position, err error) {
	from, _ = topic.Next()
	if from.Offset, err = strconv.ParseUint(query.Get("from"), 10, 64); err != nil {
		return from, eris.Wrap(err, "from")
	}
	if era := query.Get("era"); era != "" {
		from.Era, err = strconv.ParseUint(era, 10, 64)
	}
	return from, eris.Wrap(err, "era")
}

// serveSnapshot serves a topic's content.
func (s *sharedReadStore) serveSnapshot(w http.ResponseWriter, query url.Values, topic *keyed.Topic, next keyed.Position, arrivedAt time.Time) {
	snapshot, known := topic.Snapshot()
	if !known {
		w.WriteHeader(http.StatusGone)
		return
	}
	reply := newRecordsReply(next, arrivedAt, snapshot.ConfirmedAt)
	reply.Snapshot = &snapshot
	s.writeRecords(w, query, topic, reply, snapshotKey(&snapshot))
}
