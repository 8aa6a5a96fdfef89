package gateway

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"mustarddoor/internal/process/decisionlog"
	"mustarddoor/internal/process/dispatch"
	"mustarddoor/internal/process/fleet"
	"mustarddoor/internal/process/keyed"
	"mustarddoor/internal/process/pause"
	"mustarddoor/internal/process/peers"
	"mustarddoor/internal/request/relay"
	"mustarddoor/internal/version/routing"
)

// Gateway is one host's process.
type Gateway struct {
	settings Settings
	ports    Ports
	log      *decisionlog.Log
	registry metrics.Registry

	limits     *limits
	dispatcher *dispatch.Dispatcher
	relay      *relay.Relay
	roster     *peers.Roster
	link       *peers.Link
	operator   *keyed.Topic
	endpoints  *keyed.Topic
	hosts      *keyed.Topic
	copies     *copies
	readers    *readers
	moves      *moves

	table     atomic.Pointer[routing.Table]
	malformed metrics.Counter
	// stoppingAt is when the process was asked to stop; nil before.
	stoppingAt atomic.Pointer[time.Time]

	recordsMu sync.Mutex
	records   map[string]OperatorRecord
}

// New returns a gateway whose parts are not running yet.
func New(settings Settings, ports Ports) (*Gateway, error) {
	log := decisionlog.New(ports.Log, ports.Metrics)
	g := &Gateway{
		settings: settings, ports: ports, log: log, registry: ports.Metrics,
		records:   map[string]OperatorRecord{},
		malformed: metrics.GetOrRegisterCounter("endpoints.malformed", ports.Metrics),
	}
	g.limits = newLimits(&g.settings)
	g.dispatcher = dispatch.New(settings.Domain, metrics.GetOrRegisterCounter("endpoints.connections_opened", ports.Metrics), g.endpointChanged)
	g.relay = relay.New(relay.Config{
		Protocol: ports.Protocol, Dispatcher: g.dispatcher, Limits: g.limits,
		Table: g.table.Load, StopsAt: g.stopsAt, Log: log, Metrics: ports.Metrics,
	})
	self := peers.Host{
		Name: settings.Name, Link: settings.Link, Front: settings.Front,
		Domain: settings.Domain, Incarnation: time.Now().UnixNano(), Mbps: settings.LinkMbps,
	}
	g.roster = peers.NewRoster(self)
	for _, seed := range settings.Seeds {
		g.roster.Know(seed, time.Now())
	}
	link, err := peers.NewLink(g.roster, g.status, g.heard, ports.Metrics)
	if err != nil {
		return nil, eris.Wrap(err, "gateway")
	}
	g.link = link
	g.readers = newReaders(g)
	g.operator = keyed.NewTopic(keyed.Part{Topic: ports.Topics.Operator}, g.readers, g.readers.operatorPace, log.Entry(), g.operatorChanged)
	g.endpoints = keyed.NewTopic(keyed.Part{Topic: ports.Topics.Endpoints}, g.readers, g.readers.endpointsPace, log.Entry(), g.endpointsChanged)
	g.hosts = keyed.NewTopic(keyed.Part{Topic: ports.Topics.Hosts}, ports.Store, g.readers.hostsPace, log.Entry(), g.hostsChanged)
	g.copies = newCopies(g)
	g.moves = newMoves(g)
	return g, nil
}

// stopsAt is when the process will have stopped, or the zero time.
func (g *Gateway) stopsAt() time.Time {
	asked := g.stoppingAt.Load()
	if asked == nil {
		return time.Time{}
	}
	return asked.Add(g.settings.Grace - stopMargin)
}

func (g *Gateway) isStopping() bool { return g.stoppingAt.Load() != nil }

// IsReady implements View.
func (g *Gateway) IsReady() bool { return g.table.Load() != nil && !g.isStopping() }

// Fronts implements View.
func (g *Gateway) Fronts() []string {
	fronts := g.roster.Fronts(time.Now())
	if g.IsReady() {
		fronts = append(fronts, g.settings.Front)
	}
	slices.Sort(fronts)
	return fronts
}

// isWriter reports whether this host is the one that writes for the fleet: the
// lowest link that is heard and reaches the log. Two at a time do no harm: copies
// that are older are not taken, and reports are written on condition.
func (g *Gateway) isWriter() bool {
	return !g.operator.IsLost() &&
		g.roster.IsFirst(func(s peers.Status) bool { return !s.StoreLost && s.ConfigNext > 0 }, time.Now())
}

// endpointChanged logs a changed belief about an endpoint.
func (g *Gateway) endpointChanged(b dispatch.EndpointChange) {
	g.log.Entry().WithFields(logrus.Fields{
		"endpoint": b.Entry.ID, "service": b.Entry.Service, "domain": b.Entry.Domain, "version": b.Entry.Version,
		"sequence": b.Entry.Sequence, "failed_share": b.FailureRate, "failures_in_row": b.ConsecutiveFailures,
	}).Info("endpoint " + b.Kind)
}

// status is what this host tells the others. A full one also names the teams
// that have spent nothing, so that the others know where their counting begins.
func (g *Gateway) status(isFull bool) peers.Status {
	loads, waiting := g.dispatcher.Loads()
	status := peers.Status{
		Ready: g.IsReady(), Leaving: g.isStopping(), Waiting: waiting, Spent: g.limits.Spent(isFull),
		StoreLost: g.operator.IsLost(),
	}
	if next, known := g.operator.Next(); known {
		status.ConfigNext = next
	}
	if next, known := g.endpoints.Next(); known {
		status.EntriesNext = next
	}
	for _, move := range g.moves.states() {
		status.Moves = append(status.Moves, peers.Move{Service: move.Order.Service, Target: move.Order.Target, Stage: move.Stage, Evidence: move.Evidence})
	}
	for hash, load := range loads {
		status.Work = append(status.Work, peers.Work{Endpoint: hash, Running: load.Running, Pending: int(load.PendingTokens)})
	}
	return status
}

// heard takes in a message of another host.
func (g *Gateway) heard(message peers.Message, isBack bool) {
	from := message.From.Link.String()
	if isBack {
		g.log.Entry().WithFields(logrus.Fields{"host": message.From.Name, "link": from, "incarnation": message.From.Incarnation}).
			Info("host heard")
	}
	loads := make(map[uint32]fleet.Load, len(message.Status.Work))
	for _, work := range message.Status.Work {
		loads[work.Endpoint] = fleet.Load{Running: work.Running, PendingTokens: float64(work.Pending)}
	}
	g.dispatcher.RecordHostLoads(from, loads, message.Status.Waiting)
	for _, move := range message.Status.Moves {
		if g.dispatcher.RecordMoveReport(from, move.Service, move.Target, move.Stage, move.Evidence) {
			g.moves.raised(move.Service, move.Target, move.Stage, from)
		}
	}
	g.limits.Hear(from, message.From.Incarnation, message.Status.Spent)
}

// tickEvery is the pause between looks at what is due.
const tickEvery = 100 * time.Millisecond

// tick does what is due until the context ends.
func (g *Gateway) tick(ctx context.Context) error {
	seen := map[string]bool{}
	still := newStillness(g.log.Entry())
	for pause.For(ctx, tickEvery) {
		if stood := still.check(); stood > 0 {
			g.log.Entry().WithField("stood_ms", stood.Milliseconds()).Warn("the host stood still, what it has heard is forgotten")
			g.roster.Silence()
		}
		now := time.Now()
		links, heard := g.roster.Spenders(now)
		hosts := len(links)
		g.limits.SetHosts(hosts, heard)
		g.dispatcher.SetHosts(g.settings.Link, links)
		for _, name := range g.roster.Lost(seen, now) {
			g.log.Entry().WithFields(logrus.Fields{"host": name, "hosts": hosts, "heard": heard}).Info("host not heard")
		}
		g.dispatcher.Tick()
	}
	return nil
}

// parseLink reads a host's record in its topic.
func parseLink(value []byte) (netip.AddrPort, error) {
	link, err := netip.ParseAddrPort(string(value))
	return link, eris.Wrapf(err, "link %q", value)
}

// announceEvery is the pause between tries to write this host's record.
const announceEvery = 2 * time.Second

// announce writes where this host is, until it has succeeded. The record is
// the same each time, so writing it again does no harm.
func (g *Gateway) announce(ctx context.Context) error {
	record := keyed.Record{Key: g.settings.Name, Value: []byte(g.settings.Link.String())}
	for {
		writing, cancel := context.WithTimeout(ctx, time.Second)
		_, err := g.ports.Store.Append(writing, keyed.Part{Topic: g.ports.Topics.Hosts}, record, nil)
		cancel()
		if err == nil {
			break
		}
		g.log.Entry().WithError(err).Warn("host's record not written")
		if !pause.For(ctx, announceEvery) {
			return nil
		}
	}
	<-ctx.Done()
	return nil
}
