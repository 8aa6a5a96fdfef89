package gateway

import (
	"encoding/json"
	"net/http"

	"mustarddoor/internal/process/dispatch"
	"mustarddoor/internal/process/entryset"
	"mustarddoor/internal/process/quarantine"
)

// PathHost is the path at the metrics address that serves a HostState.
const PathHost = "/host"

// HostState is the state of a host as shown to operators.
type HostState struct {
	Host     string `json:"host"`
	Domain   string `json:"domain"`
	Ready    bool   `json:"ready"`
	Stopping bool   `json:"stopping"`
	// ConfigVersion is 0 until a configuration is in force.
	ConfigVersion uint64 `json:"config_version"`
	// OperatorNext and EndpointsNext are the log offsets read so far.
	OperatorNext  uint64 `json:"operator_next"`
	EndpointsNext uint64 `json:"endpoints_next"`
	// StoreEra rises each time the log is restored from an older copy.
	StoreEra uint64 `json:"store_era"`
	// KeptRecords is the number of records that the host had read before that, and
	// that were not written again.
	KeptRecords int `json:"kept_records"`
	// LogUnavailable is set if this host cannot access the platform's log. It may get the
	// records from another host.
	LogUnavailable bool `json:"log_lost"`
	// Reader is the host that reads the log on behalf of this one; empty if it
	// reads the log itself.
	Reader string `json:"reader"`
	// OperatorUnconfirmedMillis and EndpointsUnconfirmedMillis are the times in ms since
	// the log is known to have held no record that this host lacks, -1 if that was never
	// known.
	OperatorUnconfirmedMillis  int64 `json:"operator_unconfirmed_ms"`
	EndpointsUnconfirmedMillis int64 `json:"endpoints_unconfirmed_ms"`
	// Hosts is the number of hosts that share the limits, Heard the number of
	// those that are reachable.
	Hosts     int `json:"hosts"`
	Reachable int `json:"heard"`
	// Forgotten is the number of hosts that no longer count and are still looked for.
	Forgotten int `json:"forgotten"`
	// Carries is set if callers are sent to this host or it serves some.
	// EntryAddresses are the hosts that it sends callers to; Demand is what they
	// need of all hosts, as far as this host has heard.
	Carries        bool               `json:"carries"`
	EntryAddresses []string           `json:"entry"`
	Demand         entryset.Resources `json:"demand"`
	// Active is the number of hosts that share cold endpoints and the slack of
	// retry budgets, Relay the host from which this one hears of the others;
	// empty if it hears them itself.
	Active int    `json:"active"`
	Relay  string `json:"relay"`
	// LostServices are the services of which this host can reach less than half of the
	// endpoints; other hosts carry its requests to them.
	LostServices []string `json:"lost_services"`
	// QuarantinedParts are the prompt parts that requests must not have.
	QuarantinedParts []quarantine.Part `json:"quarantined_parts"`
	// Duties is absent unless the settings call for duties.
	Duties *DutiesState `json:"duties,omitempty"`
	// EndpointOrders are the newest orders of endpoints, on the host that holds the duties.
	EndpointOrders []EndpointOrderState     `json:"endpoint_orders,omitempty"`
	Endpoints      []dispatch.EndpointState `json:"endpoints"`
	// TeamShares are the teams' shares of slot time, if fair shares are on.
	TeamShares []dispatch.TeamShare `json:"team_shares,omitempty"`
}

// State returns the host's current state.
func (g *Gateway) State() HostState {
	addresses, reachable := g.membership.SharingHosts(g.membership.Now())
	s := HostState{
		Host: g.settings.Name, Domain: g.settings.Domain, Ready: g.IsReady(), Stopping: g.isStopping(),
		LogUnavailable: g.logAccess.isLost(), Hosts: len(addresses), Reachable: reachable, Forgotten: g.membership.ForgottenCount(), Endpoints: g.dispatcher.EndpointStates(),
	}
	if table := g.table.Load(); table != nil {
		s.ConfigVersion = table.Version
	}
	operatorNext, _ := g.operator.Next()
	endpointsNext, _ := g.endpoints.Next()
	s.OperatorNext, s.EndpointsNext, s.StoreEra = operatorNext.Offset, endpointsNext.Offset, operatorNext.Era
	_, keptOperator := g.operator.Kept()
	_, keptEndpoints := g.endpoints.Kept()
	s.KeptRecords = keptOperator + keptEndpoints
	s.Carries, s.EntryAddresses, s.Demand = g.carries.Load(), g.entryHosts.selected(), g.entryHosts.demand()
	s.OperatorUnconfirmedMillis, s.EndpointsUnconfirmedMillis = unconfirmedMillis(g.operator.ConfirmedAt()), unconfirmedMillis(g.endpoints.ConfirmedAt())
	s.Active = len(g.membership.ActiveHosts(g.membership.Now()))
	s.LostServices, s.Duties = g.dispatcher.LostServices(), g.duties.hostState()
	s.TeamShares = g.dispatcher.TeamShares()
	s.QuarantinedParts = g.quarantine.tracker.Quarantined()
	s.EndpointOrders = g.orders.states()
	if relay := g.membership.Relay(); relay.IsValid() {
		s.Relay = relay.String()
	}
	if reader := g.sharedReads.readerAddress(); reader.IsValid() {
		s.Reader = reader.String()
	}
	return s
}

func (g *Gateway) serveHost(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(g.State()); err != nil {
		g.log.Entry().WithError(err).Warn("cannot send the host's state")
	}
}
