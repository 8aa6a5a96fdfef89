package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"mustarddoor/internal/process/dispatch"
)

// PathHost takes a GET at the metrics address and answers a HostState.
const PathHost = "/host"

// HostState is what a host knows and believes, for people.
type HostState struct {
	Host     string `json:"host"`
	Domain   string `json:"domain"`
	Ready    bool   `json:"ready"`
	Stopping bool   `json:"stopping"`
	// ConfigVersion is 0 while no configuration is known.
	ConfigVersion uint64 `json:"config_version"`
	// OperatorNext and EndpointsNext are how far the log was followed.
	OperatorNext  uint64 `json:"operator_next"`
	EndpointsNext uint64 `json:"endpoints_next"`
	// LogLost tells that the platform's log does not answer.
	LogLost bool `json:"log_lost"`
	// Reader is the host that reads the log for this one; empty if it reads
	// itself.
	Reader string `json:"reader"`
	// Hosts is the number of hosts that share what is limited, Heard that of
	// those that are heard.
	Hosts     int                      `json:"hosts"`
	Heard     int                      `json:"heard"`
	Endpoints []dispatch.EndpointState `json:"endpoints"`
}

// State describes the host.
func (g *Gateway) State() HostState {
	links, heard := g.roster.Spenders(time.Now())
	s := HostState{
		Host: g.settings.Name, Domain: g.settings.Domain, Ready: g.IsReady(), Stopping: g.isStopping(),
		LogLost: g.operator.IsLost(), Hosts: len(links), Heard: heard, Endpoints: g.dispatcher.EndpointStates(),
	}
	if table := g.table.Load(); table != nil {
		s.ConfigVersion = table.Version
	}
	s.OperatorNext, _ = g.operator.Next()
	s.EndpointsNext, _ = g.endpoints.Next()
	if reader := g.readers.reader(); reader.IsValid() {
		s.Reader = reader.String()
	}
	return s
}

func (g *Gateway) serveHost(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(g.State()); err != nil {
		g.log.Entry().WithError(err).Warn("host's state not sent")
	}
}
