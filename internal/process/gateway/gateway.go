package gateway

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"mustarddoor/internal/connection/downstream"
	"mustarddoor/internal/connection/intake"
	"mustarddoor/internal/connection/transfer"
	"mustarddoor/internal/process/decisionlog"
	"mustarddoor/internal/process/dispatch"
	"mustarddoor/internal/process/fleet"
	"mustarddoor/internal/process/keyed"
	"mustarddoor/internal/process/pause"
	"mustarddoor/internal/process/peers"
	"mustarddoor/internal/request/relay"
	"mustarddoor/internal/version/routing"
)

// Gateway serves callers on one host and exchanges state with the other hosts.
type Gateway struct {
	settings  Settings
	ports     Ports
	logAccess *logAccess
	startedAt time.Time
	// self describes this host to the others.
	self     peers.Host
	log      *decisionlog.Log
	registry metrics.Registry

	limits       *sharedLimits
	quarantine   *promptQuarantine
	carriers     *carriers
	delays       *delayMonitor
	usageHistory *usageHistory
	// duties is nil unless the settings call for duties.
	duties         *duties
	orders         *orderRunner
	dispatcher     *dispatch.Dispatcher
	relay          *relay.Relay
	membership     *peers.Membership
	transport      *peers.Transport
	operator       *keyed.Topic
	endpoints      *keyed.Topic
	hosts          *keyed.Topic
	snapshotCopies *snapshotCopies
	sharedReads    *sharedReadStore
	moveTracker    *moveTracker
	// callerConns tracks the callers' connections, peerConns the other hosts'.
	callerConns, peerConns *connections
	// frontend serves callers.
	frontend *http.Server
	// peerServer serves other hosts.
	peerServer *http.Server
	// listeners accept the connections of callers and other hosts.
	listeners  []net.Listener
	entryHosts *entryHosts
	// usage is used by the periodic tasks only.
	usage *usageMeter
	// guard bounds what callers and other hosts take before they are served.
	guard *downstream.Guard

	table atomic.Pointer[routing.Table]
	// carries is set if callers are sent to this host or it serves some.
	carries atomic.Bool
	// spent is the latest measurement of usage.
	spent            atomic.Pointer[peers.Usage]
	malformedEntries metrics.Counter
	// fetchedBytes counts what was fetched from other hosts.
	fetchedBytes transfer.Counters
	// stopRequestedAt is when the process was asked to stop at the earliest; nil before that.
	stopRequestedAt atomic.Pointer[time.Time]

	operatorRecordsMu sync.Mutex
	operatorRecords   map[string]OperatorRecord
}

// New returns a gateway that is not running yet.
func New(settings Settings, ports Ports) (*Gateway, error) {
	log := decisionlog.New(ports.Log, ports.Metrics)
	access := newLogAccess(ports.Store, keyed.Partition{Topic: ports.Topics.Operator}, log.Entry())
	ports.Store = access
	g := &Gateway{
		settings: settings, ports: ports, logAccess: access, log: log, registry: ports.Metrics, startedAt: time.Now(),
		operatorRecords:  map[string]OperatorRecord{},
		malformedEntries: metrics.GetOrRegisterCounter("endpoints.malformed", ports.Metrics),
		fetchedBytes:     transfer.NewCounters("peers.fetch", ports.Metrics),
	}
	g.limits = newSharedLimits(&g.settings)
	g.dispatcher = dispatch.New(settings.Domain, ports.DialEndpoint, metrics.GetOrRegisterCounter("endpoints.connections_opened", ports.Metrics), g.logEndpointChange)
	g.dispatcher.Use(settings.Dispatch, ports.Metrics)
	if !settings.FirstStart {
		g.dispatcher.HoldColdUntil(g.startedAt.Add(coldHoldTime))
	}
	g.quarantine = newPromptQuarantine(g)
	g.carriers = newCarriers(g)
	g.delays = newDelayMonitor(log.Entry(), ports.Metrics)
	g.duties = newDuties(g)
	g.guard = downstream.NewGuard(intake.LimitsOf(g.machine()), ports.Metrics)
	g.relay = relay.New(relay.Config{
		Guard:    g.guard,
		Protocol: ports.Protocol, Dispatcher: g.dispatcher, Limits: g.limits, Quarantine: g.quarantine, Carriers: g.carriers, Records: operatorProgress{g},
		Table: g.table.Load, Stop: g.stopInProgress, LongestDelay: g.delays.Longest, CountRun: g.duties.countRun(), Log: log, Metrics: ports.Metrics,
	})
	g.self = peers.Host{
		Name: settings.Name, PeerAddress: settings.PeerAddress, FrontendAddress: settings.FrontendAddress,
		Domain: settings.Domain, Incarnation: time.Now().UnixNano(),
		LinkMbps: settings.LinkMbps, Cores: settings.ProcessorCapacity, Connections: connectionCapacity(&g.settings),
	}
	g.callerConns, g.peerConns = newConnections(g), newConnections(g)
	g.usage = &usageMeter{relay: g.relay, conns: g.callerConns, log: log.Entry()}
	g.entryHosts = &entryHosts{gateway: g}
	g.membership = peers.NewMembership(g.self)
	g.membership.SetMaxForgotten(settings.MaxForgottenHosts)
	for _, seed := range settings.Seeds {
		g.membership.AddSeed(seed, g.membership.Now())
	}
	transport, err := peers.NewTransport(g.membership, g.localStatus, g.handlePeerMessage, ports.Metrics)
	if err != nil {
		return nil, eris.Wrap(err, "gateway")
	}
	g.transport = transport
	g.sharedReads = newSharedReadStore(g)
	g.operator = keyed.NewTopic(keyed.Partition{Topic: ports.Topics.Operator}, g.sharedReads, g.sharedReads.operatorPolicy, g.operatorRestorePolicy(), log.Entry(), g.applyOperatorChange)
	g.endpoints = keyed.NewTopic(keyed.Partition{Topic: ports.Topics.Endpoints}, g.sharedReads, g.sharedReads.endpointsPolicy, g.endpointsRestorePolicy(), log.Entry(), g.applyEndpointsChange)
	// Endpoints order their entries by number: one that arrives late must not replace another.
	g.endpoints.KeepReplaced(cmp.Or(settings.RecentBytes, defaultRecentBytes))
	g.hosts = keyed.NewTopic(keyed.Partition{Topic: ports.Topics.Hosts}, ports.Store, g.sharedReads.hostsPolicy, g.hostsRestorePolicy(), log.Entry(), g.applyHostsChange)
	g.sharedReads.packed = newPackedReplies(ports.Metrics, g.operator, g.endpoints)
	for name, topic := range map[string]*keyed.Topic{"operator": g.operator, "endpoints": g.endpoints} {
		ports.Metrics.GetOrRegister("store."+name+"_unconfirmed_ms", metrics.NewFunctionalGauge(func() int64 { return unconfirmedMillis(topic.ConfirmedAt()) }))
	}
	g.snapshotCopies = newSnapshotCopies(g)
	g.moveTracker = newMoveTracker(g)
	g.usageHistory = &usageHistory{gateway: g}
	g.orders = newOrderRunner(g, g.DutyHolder())
	return g, nil
}

// defaultRecentBytes is the default of Settings.RecentBytes.
const defaultRecentBytes = 1 << 20

// stopInProgress returns the shutdown in progress, or nil.
func (g *Gateway) stopInProgress() *relay.Stop {
	requestedAt := g.stopRequestedAt.Load()
	if requestedAt == nil {
		return nil
	}
	return &relay.Stop{RequestedAt: *requestedAt, EndsAt: g.stopEnd(*requestedAt)}
}

// stopEnd returns when a shutdown ends at the latest that was requested at a time.
func (g *Gateway) stopEnd(requestedAt time.Time) time.Time {
	return requestedAt.Add(g.settings.GracePeriod - exitMargin)
}

func (g *Gateway) isStopping() bool { return g.stopRequestedAt.Load() != nil }

// IsReady implements View.
func (g *Gateway) IsReady() bool { return g.table.Load() != nil && !g.isStopping() }

// EntryAddresses implements View.
func (g *Gateway) EntryAddresses() []string { return g.entryHosts.selected() }

// isWriter reports whether this host writes on behalf of the fleet: the leader of
// the reachable hosts that can access the log, once it has run for
// minWriterUptime. Two writers at a time are harmless: older copies are ignored, and reports are written with a
// conditional append.
func (g *Gateway) isWriter() bool { return g.uptime() >= minWriterUptime && g.isLeader() }

// isLeader reports whether this host is the leader of the reachable hosts that can
// access the log.
func (g *Gateway) isLeader() bool {
	return !g.logAccess.isLost() &&
		g.membership.IsLeader(func(s peers.Status) bool { return !s.StoreUnavailable && s.Loaded }, g.membership.Now())
}

// logEndpointChange logs a change in an endpoint's state.
func (g *Gateway) logEndpointChange(change dispatch.EndpointChange) {
	g.log.Entry().WithFields(logrus.Fields{
		"endpoint": change.Entry.ID, "service": change.Entry.Service, "domain": change.Entry.Domain, "version": change.Entry.Version,
		"sequence": change.Entry.Sequence, "failed_share": change.FailureRate, "failures_in_row": change.ConsecutiveFailures,
		"rate_limit": change.RateLimit,
	}).Info("endpoint " + change.Kind)
}

// localStatus returns the status that this host sends to the others. If isFull is
// set, it includes the teams without usage, so that the others have a baseline
// for their totals.
func (g *Gateway) localStatus(isFull bool) peers.Status {
	loads, waiting := g.dispatcher.Loads()
	status := peers.Status{
		Ready: g.IsReady(), Leaving: g.isStopping(), WaitingServices: waiting, Usage: g.limits.Usage(isFull),
		StoreUnavailable: g.logAccess.isLost(), Spent: g.spent.Load(), Carries: g.carries.Load(),
		Quarantine: g.quarantine.evidence(isFull), LostServices: g.carriers.lostServices(),
		Demands: g.orders.demands(),
	}
	status.CountsUsage = g.duties.countsUsage()
	operatorNext, isOperatorKnown := g.operator.Next()
	endpointsNext, areEndpointsKnown := g.endpoints.Next()
	status.SetPositions(operatorNext, endpointsNext)
	status.OperatorEarlier, status.EndpointsEarlier = earlierPosition(g.operator), earlierPosition(g.endpoints)
	status.Loaded = isOperatorKnown && areEndpointsKnown
	for _, move := range g.moveTracker.states() {
		status.Moves = append(status.Moves, peers.Move{Service: move.Order.Service, Target: move.Order.Target, Stage: move.Stage, Evidence: move.Evidence})
		status.MoveSlowdowns = append(status.MoveSlowdowns, peers.MoveSlowdowns{New: move.Evidence.New.Slowdowns, Old: move.Evidence.Old.Slowdowns})
	}
	for hash, limit := range g.dispatcher.RateLimits(isFull) {
		status.RateLimits = append(status.RateLimits, peers.EndpointRateLimit{
			Endpoint: hash, IsNamed: limit.IsNamed, PerSecond: limit.PerSecond, AgeMillis: time.Since(limit.ObservedAt).Milliseconds(),
		})
	}
	for hash, load := range loads {
		status.Loads = append(status.Loads, peers.EndpointLoad{Endpoint: hash, Running: load.Running, PendingTokens: int(load.PendingTokens)})
	}
	return status
}

// handlePeerMessage applies a message from another host. It logs the host if it
// has become reachable.
func (g *Gateway) handlePeerMessage(message peers.Message, isNewlyReachable bool) {
	from := message.From.PeerAddress.String()
	if isNewlyReachable {
		g.log.Entry().WithFields(logrus.Fields{"host": message.From.Name, "link": from, "incarnation": message.From.Incarnation}).
			Info("host heard")
	}
	loads := make(map[uint32]fleet.Load, len(message.Status.Loads))
	for _, load := range message.Status.Loads {
		loads[load.Endpoint] = fleet.Load{Running: load.Running, PendingTokens: float64(load.PendingTokens)}
	}
	if !message.IsSummary {
		g.dispatcher.RecordHostLoads(from, loads, message.Status.WaitingServices)
	}
	evidences := message.Status.Evidences()
	for i, move := range message.Status.Moves {
		if g.dispatcher.RecordMoveReport(from, move.Service, move.Target, move.Stage, evidences[i]) {
			g.moveTracker.logRaised(move.Service, move.Target, move.Stage, from)
		}
	}
	limits := make(map[uint32]fleet.RateLimit, len(message.Status.RateLimits))
	for _, limit := range message.Status.RateLimits {
		observedAt := time.Now().Add(-time.Duration(limit.AgeMillis) * time.Millisecond)
		limits[limit.Endpoint] = fleet.RateLimit{IsNamed: limit.IsNamed, PerSecond: limit.PerSecond, ObservedAt: observedAt}
	}
	g.dispatcher.AdoptRateLimits(limits)
	g.quarantine.merge(from, message.Status.Quarantine)
	g.limits.RecordMessage(from, message)
}

// tickInterval is the time between periodic tasks.
const tickInterval = 100 * time.Millisecond

// tick runs the periodic tasks until ctx is done.
func (g *Gateway) tick(ctx context.Context) error {
	seen := map[string]bool{}
	suspension := newSuspendDetector(g.log.Entry())
	for pause.For(ctx, tickInterval) {
		if suspended := suspension.check(); suspended > 0 {
			g.log.Entry().WithField("stood_ms", suspended.Milliseconds()).Warn("process did not run")
			g.membership.MarkAllOutdated()
			if suspended >= longSuspension {
				g.membership.MarkAllUnreachable(g.membership.Now())
			}
		}
		now := time.Now()
		g.usage.update(now)
		g.spent.Store(g.usage.spent)
		g.entryHosts.update(now)
		g.carries.Store(g.entryHosts.includesSelf() || g.usage.servesCallers(now))
		g.membership.SetCarries(g.carries.Load())
		runTime := g.membership.Now()
		active := g.membership.ActiveHosts(runTime)
		g.limits.SetHosts(g.membership.Sharers(runTime), activeShare(g.settings.PeerAddress, active))
		g.dispatcher.SetHosts(g.settings.PeerAddress, active)
		for _, name := range g.membership.NewlyUnreachable(seen, runTime) {
			addresses, reachable := g.membership.SharingHosts(runTime)
			g.log.Entry().WithFields(logrus.Fields{"host": name, "hosts": len(addresses), "heard": reachable}).Info("host not heard")
		}
		g.dispatcher.Tick()
	}
	return nil
}

// activeShare returns this host's share of a limit that the active hosts divide
// evenly. An idle host has none.
func activeShare(self netip.AddrPort, active []netip.AddrPort) float64 {
	if !slices.Contains(active, self) {
		return 0
	}
	return 1 / float64(len(active))
}

// parsePeerAddress parses a host's record in the hosts topic.
func parsePeerAddress(value []byte) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(string(value))
	return address, eris.Wrapf(err, "peer address %q", value)
}
