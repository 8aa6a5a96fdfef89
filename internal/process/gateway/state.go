package gateway

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"mustarddoor/internal/connection/transfer"
	"mustarddoor/internal/process/keyed"
	"mustarddoor/internal/process/pause"
	"mustarddoor/internal/process/peers"
)

// statePath is where hosts fetch each other's copy of the platform's records.
const statePath = "/state"

// stateReply is the state that a host serves to others.
type stateReply struct {
	Operator  *keyed.Snapshot `cbor:"1,keyasint,omitempty"`
	Endpoints *keyed.Snapshot `cbor:"2,keyasint,omitempty"`
	// PackedOperator and PackedEndpoints are compressed packedContents. They replace Operator
	// and Endpoints if the host asked for a compressed reply and the snapshots are large
	// enough; otherwise they are empty.
	PackedOperator  []byte `cbor:"3,keyasint,omitempty"`
	PackedEndpoints []byte `cbor:"4,keyasint,omitempty"`
}

// stateTopicField is the query field that names the requested topics; all if it is missing.
// Hosts of older versions ignore it and send all.
const stateTopicField = "topic"

// serveState serves this host's copy of the records, unless the link could not deliver it in
// time.
func (g *Gateway) serveState(w http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	s := stateReply{}
	s.Operator, s.PackedOperator = g.snapshotFor(query, g.operator, g.ports.Topics.Operator)
	s.Endpoints, s.PackedEndpoints = g.snapshotFor(query, g.endpoints, g.ports.Topics.Endpoints)
	g.writeReplyIf(w, s, g.sharedReads.mayWrite)
}

// snapshotFor returns the content of a topic that another host asks for, compressed if it
// reads that.
func (g *Gateway) snapshotFor(query url.Values, topic *keyed.Topic, name string) (*keyed.Snapshot, []byte) {
	if topics := query[stateTopicField]; len(topics) > 0 && !slices.Contains(topics, name) {
		return nil, nil
	}
	snapshot, known := topic.Snapshot()
	if !known {
		return nil, nil
	}
	if !acceptsPacked(query) {
		return &snapshot, nil
	}
	packed, err := g.sharedReads.packed[topic].get(snapshotKey(&snapshot), packedContent{Snapshot: &snapshot})
	if err != nil {
		g.log.Entry().WithError(err).Error("cannot compress the state for another host")
	}
	if len(packed) == 0 {
		return &snapshot, nil
	}
	return nil, packed
}

// unpack restores Operator and Endpoints.
func (s *stateReply) unpack() error {
	for _, packed := range []struct {
		data []byte
		into **keyed.Snapshot
	}{{s.PackedOperator, &s.Operator}, {s.PackedEndpoints, &s.Endpoints}} {
		if len(packed.data) == 0 {
			continue
		}
		content, err := unpackContent(packed.data)
		if err != nil {
			return err
		}
		*packed.into = content.Snapshot
	}
	return nil
}

const (
	// catchUpInterval is the time between checks for hosts with newer records.
	catchUpInterval = 100 * time.Millisecond
	// maxOperatorLag and maxEndpointsLag are how long another host may be ahead
	// before its state is fetched. The log itself usually delivers the records
	// first: the operator's records immediately, and endpoints' entries within
	// their poll interval.
	maxOperatorLag  = 250 * time.Millisecond
	maxEndpointsLag = 800 * time.Millisecond
	// maxRemoteLag is how much longer a host may be ahead if another one of this
	// host's failure domain is to fetch its state first.
	maxRemoteLag = 600 * time.Millisecond
	// fetchTimeout is how long another host may take to begin its reply, and to continue it.
	fetchTimeout = time.Second
	// maxStateBytes limits the size of a state.
	maxStateBytes = 16 << 20
)

// catchUp fetches the state of hosts that have newer records until ctx is done.
func (g *Gateway) catchUp(ctx context.Context) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	operator, endpoints := &lagDetector{allowed: maxOperatorLag}, &lagDetector{allowed: maxEndpointsLag}
	restored := &restoredLagDetector{}
	for pause.For(ctx, catchUpInterval) {
		now := g.membership.Now()
		operatorNext, known := g.operator.Next()
		topics := []string{g.ports.Topics.Operator}
		address := operator.check(g.membership.FindReachable, now, known, operatorNext, func(s peers.Status) keyed.Position { return s.OperatorPosition() })
		if !address.IsValid() {
			endpointsNext, known := g.endpoints.Next()
			topics = []string{g.ports.Topics.Endpoints}
			address = endpoints.check(g.membership.FindReachable, now, known, endpointsNext, func(s peers.Status) keyed.Position { return s.EndpointsPosition() })
		}
		if !address.IsValid() {
			topics = nil
			address = restored.check(g.membership, now, g.operator, g.endpoints)
		}
		if !address.IsValid() {
			continue
		}
		if err := g.fetchState(ctx, client, address, topics); err != nil {
			g.log.Entry().WithError(err).WithField("link", address.String()).Warn("cannot fetch the state of another host")
		}
	}
	return nil
}

// findHost returns the address of a reachable host that satisfies a condition, as
// Membership.FindReachable does.
type findHost func(condition func(peers.Status) bool, now time.Time) (found netip.AddrPort, isRemote bool)

// lagDetector detects that this host has been behind another one for too long.
type lagDetector struct {
	allowed time.Duration
	// target is a position that another host has reached, since is when this host was
	// first found not to have reached it.
	target keyed.Position
	since  time.Time
}

// check returns the address of a host that is ahead once the lag exceeds the
// allowed time.
func (d *lagDetector) check(find findHost, now time.Time, known bool, next keyed.Position, nextOf func(peers.Status) keyed.Position) netip.AddrPort {
	newest := next
	address, isRemote := find(func(s peers.Status) bool {
		if nextOf(s).Compare(newest) > 0 {
			newest = nextOf(s)
		}
		return nextOf(s).Compare(next) > 0
	}, now)
	if !address.IsValid() {
		d.since = time.Time{}
		return netip.AddrPort{}
	}
	if !known {
		return address
	}
	if d.since.IsZero() || next.Compare(d.target) >= 0 {
		d.since, d.target = now, newest
	}
	allowed := d.allowed
	if isRemote {
		allowed += maxRemoteLag
	}
	if now.Sub(d.since) < allowed {
		return netip.AddrPort{}
	}
	d.since, d.target = now, newest
	return address
}

// restoredLagDetector detects that another host keeps records that this one had not
// read before the store was restored from an older copy. The store delivers them only
// once they are written again.
type restoredLagDetector struct {
	checkedAt, behindSince time.Time
}

// check returns the address of such a host, at most once in maxOperatorLag.
func (d *restoredLagDetector) check(membership *peers.Membership, now time.Time, operator, endpoints *keyed.Topic) netip.AddrPort {
	if now.Sub(d.checkedAt) < maxOperatorLag {
		return netip.AddrPort{}
	}
	isBehind := func(topic *keyed.Topic, reported *keyed.Position, era uint64) bool {
		next, isLoaded := topic.Next()
		earlier, _ := topic.Kept()
		return isLoaded && reported != nil && next.Era == era && reported.Compare(earlier) > 0
	}
	address, isRemote := membership.FindReachable(func(s peers.Status) bool {
		return isBehind(operator, s.OperatorEarlier, s.StoreEra) || isBehind(endpoints, s.EndpointsEarlier, s.StoreEra)
	}, now)
	if !address.IsValid() {
		d.behindSince = time.Time{}
		return address
	}
	if d.behindSince.IsZero() {
		d.behindSince = now
	}
	if isRemote && now.Sub(d.behindSince) < maxRemoteLag {
		return netip.AddrPort{}
	}
	d.checkedAt = now
	return address
}

// earlierPosition returns how far a topic had been read before the store was restored,
// or nil if it keeps no records from then.
func earlierPosition(topic *keyed.Topic) *keyed.Position {
	earlier, kept := topic.Kept()
	if kept == 0 {
		return nil
	}
	return &earlier
}

// fetchState adopts the records of another host: those of some topics, or of all if none is
// named.
func (g *Gateway) fetchState(ctx context.Context, client *http.Client, address netip.AddrPort, topics []string) error {
	ctx, cancel := transfer.WithTimeout(ctx, 0, fetchTimeout)
	defer cancel()
	s := stateReply{}
	query := url.Values{packedField: {"1"}, stateTopicField: topics}
	if err := g.fetchFromHost(ctx, client, address, statePath+"?"+query.Encode(), maxStateBytes, &s); err != nil {
		return err
	}
	if err := s.unpack(); err != nil {
		return err
	}
	fields := logrus.Fields{"link": address.String()}
	if s.Operator != nil {
		fields["operator_next"] = s.Operator.Offset
		s.Operator.Source = keyed.SourceState
		g.operator.Adopt(*s.Operator)
	}
	if s.Endpoints != nil {
		fields["endpoints_next"] = s.Endpoints.Offset
		s.Endpoints.Source = keyed.SourceState
		g.endpoints.Adopt(*s.Endpoints)
	}
	g.log.Entry().WithFields(fields).Info("adopted the state of another host")
	return nil
}
