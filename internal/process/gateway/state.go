package gateway

import (
	"context"
	"net/http"
	"net/netip"
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
}

// serveState serves this host's copy of the records.
func (g *Gateway) serveState(w http.ResponseWriter, _ *http.Request) {
	s := stateReply{}
	if snapshot, known := g.operator.Snapshot(); known {
		s.Operator = &snapshot
	}
	if snapshot, known := g.endpoints.Snapshot(); known {
		s.Endpoints = &snapshot
	}
	g.writeReply(w, s)
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
		address := operator.check(g.membership.FindReachable, now, known, operatorNext, func(s peers.Status) keyed.Position { return s.OperatorPosition() })
		if !address.IsValid() {
			endpointsNext, known := g.endpoints.Next()
			address = endpoints.check(g.membership.FindReachable, now, known, endpointsNext, func(s peers.Status) keyed.Position { return s.EndpointsPosition() })
		}
		if !address.IsValid() {
			address = restored.check(g.membership, now, g.operator, g.endpoints)
		}
		if !address.IsValid() {
			continue
		}
		if err := g.fetchState(ctx, client, address); err != nil {
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

// fetchState adopts the records of another host.
func (g *Gateway) fetchState(ctx context.Context, client *http.Client, address netip.AddrPort) error {
	ctx, cancel := transfer.WithTimeout(ctx, 0, fetchTimeout)
	defer cancel()
	s := stateReply{}
	if err := g.fetchFromHost(ctx, client, address, statePath, maxStateBytes, &s); err != nil {
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
