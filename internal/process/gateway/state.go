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

// state is what a host hands over.
type state struct {
	Operator  *keyed.Snapshot `cbor:"1,keyasint,omitempty"`
	Endpoints *keyed.Snapshot `cbor:"2,keyasint,omitempty"`
}

// serveState hands over what this host knows.
func (g *Gateway) serveState(w http.ResponseWriter, _ *http.Request) {
	s := state{}
	if snapshot, known := g.operator.Snapshot(); known {
		s.Operator = &snapshot
	}
	if snapshot, known := g.endpoints.Snapshot(); known {
		s.Endpoints = &snapshot
	}
	g.sendTo(w, s)
}

const (
	// catchUpEvery is the pause between looks at what the others know.
	catchUpEvery = 100 * time.Millisecond
	// operatorLag and endpointsLag are how long another host may know more
	// before its state is fetched. The log's own answer mostly comes first: at
	// once for the operator's records, and with endpoints' entries within the
	// pace at which they are read.
	operatorLag  = 250 * time.Millisecond
	endpointsLag = 800 * time.Millisecond
	// fetchTimeout bounds the fetching of a state.
	fetchTimeout = time.Second
	// maxState bounds a state in bytes.
	maxState = 16 << 20
)

// catchUp fetches the state of hosts that know more, until the context ends.
func (g *Gateway) catchUp(ctx context.Context) error {
	client := &http.Client{Timeout: fetchTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	operator, endpoints := &lag{allowed: operatorLag}, &lag{allowed: endpointsLag}
	for pause.For(ctx, catchUpEvery) {
		now := time.Now()
		operatorNext, known := g.operator.Next()
		link := operator.check(g.roster, now, known, operatorNext, func(s peers.Status) uint64 { return s.ConfigNext })
		if !link.IsValid() {
			endpointsNext, known := g.endpoints.Next()
			link = endpoints.check(g.roster, now, known, endpointsNext, func(s peers.Status) uint64 { return s.EntriesNext })
		}
		if !link.IsValid() {
			continue
		}
		if err := g.fetch(ctx, client, link); err != nil {
			g.log.Entry().WithError(err).WithField("link", link.String()).Warn("state of a host not fetched")
		}
	}
	return nil
}

// lag notices that other hosts have known more for too long.
type lag struct {
	allowed time.Duration
	next    uint64
	since   time.Time
}

// check returns the link of a host that is ahead, once the lag is too long.
func (l *lag) check(roster *peers.Roster, now time.Time, known bool, next uint64, of func(peers.Status) uint64) netip.AddrPort {
	link := roster.Ahead(func(s peers.Status) bool { return of(s) > next }, now)
	if !link.IsValid() {
		l.since = time.Time{}
		return netip.AddrPort{}
	}
	if !known {
		return link
	}
	if l.since.IsZero() || next != l.next {
		l.since, l.next = now, next
	}
	if now.Sub(l.since) < l.allowed {
		return netip.AddrPort{}
	}
	l.since = now
	return link
}

// fetch takes over what another host knows.
func (g *Gateway) fetch(ctx context.Context, client *http.Client, link netip.AddrPort) error {
	s := state{}
	if err := fetchFrom(ctx, client, link, statePath, maxState, &s); err != nil {
		return err
	}
	fields := logrus.Fields{"link": link.String()}
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
