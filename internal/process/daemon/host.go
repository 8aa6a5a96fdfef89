package daemon

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"mustarddoor/internal/connection/caller"
	"mustarddoor/internal/connection/engine"
	"mustarddoor/internal/connection/mesh"
	"mustarddoor/internal/connection/platform"
	"mustarddoor/internal/process/hlc"
	"mustarddoor/internal/process/home"
	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/process/loadpoll"
	"mustarddoor/internal/process/member"
	"mustarddoor/internal/process/placement"
	"mustarddoor/internal/process/settings"
	"mustarddoor/internal/process/timeline"
	"mustarddoor/internal/request/journal"
	"mustarddoor/internal/request/owner"
	"mustarddoor/internal/request/session"
	"mustarddoor/internal/request/witness"
	"mustarddoor/internal/version/bundle"
	"mustarddoor/internal/version/config"
	"mustarddoor/internal/version/rollout"
)

// host is one running daemon with all its parts.
type host struct {
	settings *settings.Settings
	self     identity.Host
	logger   *logrus.Logger
	metrics  metrics.Registry
	clock    *hlc.Clock
	ring     *timeline.Ring
	gate     *mesh.CutGate

	listeners  listeners
	meshServer *mesh.Server
	members    *member.Driver
	// meshCaller calls other hosts. After a failed call, members probes the
	// called host.
	meshCaller mesh.Caller

	log      platform.Log
	follower *config.Follower
	operator *config.Operator
	index    atomic.Pointer[bundle.Index]

	endpoints *engine.Client
	homes     *home.Manager
	orders    *home.Orders
	placer    *placement.Placer
	loads     *loadpoll.Poller
	rollouts  *rollout.Controller
	// reapply is signaled when homes change, so that the placement view is built
	// again.
	reapply chan struct{}

	sessionClock *session.Clock
	register     *witness.Register
	sender       *witness.Sender
	registry     *owner.Registry
	issuer       *session.Issuer
	journal      *journal.Writer
	requests     *callerRequests
	callerServer *caller.Server

	stopping atomic.Bool
	// allServicesHadHome is set once every service has an endpoint with a home;
	// it is never reset.
	allServicesHadHome atomic.Bool
}

// listeners are opened before all other parts, so that a port in use is
// reported before anything else starts.
type listeners struct {
	caller net.Listener
	mesh   net.Listener
	admin  net.Listener
}

// newHost creates a host with all its parts. addActors adds the parts to a run
// group.
func newHost(loaded *settings.Settings, logger *logrus.Logger) (*host, error) {
	h := &host{
		settings:     loaded,
		self:         newIdentity(loaded),
		logger:       logger,
		metrics:      metrics.NewRegistry(),
		clock:        hlc.NewClock(time.Now),
		gate:         &mesh.CutGate{},
		endpoints:    engine.NewClient(),
		sessionClock: session.NewClock(),
		reapply:      make(chan struct{}, 1),
	}
	h.ring = timeline.NewRing(h.self.Incarnation, h.clock, loaded.Limits.MaxTimelineEvents)
	steps := []func() error{
		h.listen,
		h.initMesh,
		h.initConfig,
		h.initHomes,
		h.initRollout,
		h.initPlacement,
		h.initRecords,
		h.initRequests,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return h, nil
}

// newIdentity returns the identity of this process. The incarnation number is
// the start time in microseconds; it increases from one start to the next as
// long as the clock has advanced by a microsecond.
func newIdentity(loaded *settings.Settings) identity.Host {
	return identity.Host{
		Incarnation: identity.Incarnation{Host: loaded.Host.Name, Number: uint64(time.Now().UnixMicro())},
		Domain:      loaded.Host.Domain,
		Region:      loaded.Host.Region,
		Address:     loaded.Address,
		MeshAddress: loaded.MeshAddress,
	}
}

func (h *host) listen() error {
	for _, l := range []struct {
		address  string
		listener *net.Listener
	}{
		{h.settings.Address, &h.listeners.caller},
		{h.settings.MeshAddress, &h.listeners.mesh},
		{h.settings.AdminAddress, &h.listeners.admin},
	} {
		opened, err := net.Listen("tcp", l.address)
		if err != nil {
			return eris.Wrap(err, "opening a listener")
		}
		*l.listener = opened
	}
	return nil
}

// notReadyReason returns why this host must not receive new requests, or an
// empty string if it is ready.
func (h *host) notReadyReason() string {
	if h.stopping.Load() {
		return "host is stopping"
	}
	if reason := h.notConfiguredReason(); reason != "" {
		return reason
	}
	return h.noHomeReason()
}

// notConfiguredReason returns why this host cannot serve any request, or an
// empty string if it can. A stopping host still serves the requests that it
// owns.
func (h *host) notConfiguredReason() string {
	if ready, reason := h.follower.Ready(); !ready {
		return reason
	}
	if h.index.Load() == nil {
		return "no bundle is in force"
	}
	return ""
}

// Live implements session.Peers. It returns the other hosts that may become
// witnesses.
func (h *host) Live() []identity.Host {
	live := []identity.Host{}
	for _, m := range h.members.View().Usable() {
		if m.Incarnation != h.self.Incarnation {
			live = append(live, m.Host)
		}
	}
	return live
}

// otherHosts returns the known other hosts, apart from those that are gone.
func (h *host) otherHosts() []identity.Host { return h.members.View().Peers() }

// Find implements witness.Hosts.
func (h *host) Find(incarnation identity.Incarnation) (identity.Host, bool) {
	m, found := h.members.View().ByIncarnation(incarnation)
	return m.Host, found
}

// peerAddresses returns the peer addresses of the other hosts.
func (h *host) peerAddresses() []string {
	addresses := []string{}
	for _, peer := range h.otherHosts() {
		addresses = append(addresses, peer.MeshAddress)
	}
	return addresses
}

// addActors adds the background tasks and servers of the host to the group.
func (h *host) addActors(group *run.Group) {
	addRunActor(group, h.members.Run)
	addRunActor(group, h.followHostList)
	addRunActor(group, h.follower.Run)
	addRunActor(group, h.followConfig)
	addRunActor(group, h.homes.Run)
	addRunActor(group, h.orders.Run)
	addRunActor(group, h.placer.Run)
	addRunActor(group, h.loads.Run)
	addRunActor(group, h.rollouts.Run)
	addRunActor(group, h.sender.Run)
	addRunActor(group, h.journal.Run)
	addRunActor(group, h.sweep)
	addServerActor(group, h.listeners.mesh, h.newMeshHTTPServer())
	addServerActor(group, h.listeners.admin, h.newHTTPServer(h.adminHandler()))
	addServerActor(group, h.listeners.caller, h.newHTTPServer(h.callerServer))
	h.ring.Record(timeline.Event{Kind: timeline.HostStarted})
	h.logger.WithFields(logrus.Fields{
		"host":    h.self.Incarnation.String(),
		"address": h.self.Address,
	}).Info("listening on " + h.self.Address)
}

// newHTTPServer returns an HTTP server with the timeouts of the settings.
func (h *host) newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: h.settings.Limits.HeaderTimeout(),
		IdleTimeout:       h.settings.Limits.IdleTimeout(),
	}
}

func (h *host) newMeshHTTPServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle(mesh.Path, h.meshServer)
	server := h.newHTTPServer(mux)
	server.RegisterOnShutdown(h.meshServer.Close)
	return server
}
