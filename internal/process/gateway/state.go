package gateway

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"mustarddoor/internal/process/keyed"
	"mustarddoor/internal/process/pause"
	"mustarddoor/internal/process/peers"
)

// statePath is where hosts hand each other what they know of the platform's
// log.
const statePath = "/state"

// stateResponse is what a host hands over.
type stateResponse struct {
	Operator  *keyed.Snapshot `cbor:"1,keyasint,omitempty"`
	Endpoints *keyed.Snapshot `cbor:"2,keyasint,omitempty"`
}

// serveState hands over what this host knows.
func (g *Gateway) serveState(w http.ResponseWriter, _ *http.Request) {
	s := stateResponse{}
	if snapshot, known := g.operator.Snapshot(); known {
		s.Operator = &snapshot
	}
	if snapshot, known := g.endpoints.Snapshot(); known {
		s.Endpoints = &snapshot
	}
	g.writeToHost(w, s)
}

const (
	// catchUpInterval is the pause between looks at what the others know.
	catchUpInterval = 100 * time.Millisecond
	// maxOperatorLag and endpointsLag are how long another host may know more
	// before its state is fetched. The log's own answer mostly comes first: at
	// once for the operator's records, and with endpoints' entries within the
	// pace at which they are read.
	maxOperatorLag  = 250 * time.Millisecond
	maxEndpointsLag = 800 * time.Millisecond
	// fetchTimeout bounds the fetching of a state.
	fetchTimeout = time.Second
	// maxStateBytes bounds a state in bytes.
	maxStateBytes = 16 << 20
)

// catchUp fetches the state of hosts that know more, until the context ends.
func (g *Gateway) catchUp(ctx context.Context) error {
	client := &http.Client{Timeout: fetchTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	operator, endpoints := &lagDetector{allowed: maxOperatorLag}, &lagDetector{allowed: maxEndpointsLag}
	for pause.For(ctx, catchUpInterval) {
		now := time.Now()
		operatorNext, known := g.operator.Next()
		address := operator.check(g.membership, now, known, operatorNext, func(s peers.Status) uint64 { return s.OperatorNext })
		if !address.IsValid() {
			endpointsNext, known := g.endpoints.Next()
			address = endpoints.check(g.membership, now, known, endpointsNext, func(s peers.Status) uint64 { return s.EndpointsNext })
		}
		if !address.IsValid() {
			continue
		}
		if err := g.fetchState(ctx, client, address); err != nil {
			g.log.Entry().WithError(err).WithField("link", address.String()).Warn("state of a host not fetched")
		}
	}
	return nil
}

// lagDetector notices that other hosts have known more for too long.
type lagDetector struct {
	allowed time.Duration
	next    uint64
	since   time.Time
}

// check returns the link of a host that is ahead, once the lag is too long.
func (d *lagDetector) check(membership *peers.Membership, now time.Time, known bool, next uint64, nextOf func(peers.Status) uint64) netip.AddrPort {
	address := membership.FindReachable(func(s peers.Status) bool { return nextOf(s) > next }, now)
	if !address.IsValid() {
		d.since = time.Time{}
		return netip.AddrPort{}
	}
	if !known {
		return address
	}
	if d.since.IsZero() || next != d.next {
		d.since, d.next = now, next
	}
	if now.Sub(d.since) < d.allowed {
		return netip.AddrPort{}
	}
	d.since = now
	return address
}

// fetchState takes over what another host knows.
func (g *Gateway) fetchState(ctx context.Context, client *http.Client, address netip.AddrPort) error {
	s := stateResponse{}
	if err := fetchFromHost(ctx, client, address, statePath, maxStateBytes, &s); err != nil {
		return err
	}
	fields := logrus.Fields{"link": address.String()}
	if s.Operator != nil {
		fields["operator_next"] = s.Operator.Next
		g.operator.Adopt(*s.Operator)
	}
	if s.Endpoints != nil {
		fields["endpoints_next"] = s.Endpoints.Next
		g.endpoints.Adopt(*s.Endpoints)
	}
	g.log.Entry().WithFields(fields).Info("state taken over from a host")
	return nil
}
