// Package gateway is the daemon's composition for a platform that has a keyed
// log: it serves callers, follows the platform's records, and shares with the
// other hosts what must hold over all of them. All names and formats of the
// platform come from outside, through Ports.
package gateway

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/rcrowley/go-metrics"

	"mustarddoor/internal/process/fleet"
	"mustarddoor/internal/process/keyed"
	"mustarddoor/internal/request/relay"
	"mustarddoor/internal/version/canary"
	"mustarddoor/internal/version/routing"
)

// Settings are what a host is told at its start.
type Settings struct {
	Name string
	// Domain is the host's failure domain.
	Domain string
	// FrontendAddress is where callers connect, MetricsAddress where the metrics are served,
	// Link where the other hosts reach this one.
	FrontendAddress, MetricsAddress string
	PeerAddress                     netip.AddrPort
	// Seeds are links of hosts that may be there.
	Seeds []netip.AddrPort
	// MemoryMB bounds the process, in MB.
	MemoryMB int
	// Cores is the number of processors.
	Cores int
	// LinkMbps is what the host's network link carries, in megabits a second.
	LinkMbps int
	// Grace is the time from a request to stop until the process is killed.
	Grace time.Duration
	// RetryBudgetRatio is the number of repeats that each request earns, RetryBudgetSlack
	// those allowed beside that in each RepeatWindow, over all hosts.
	RetryBudgetRatio, RetryBudgetSlack float64
	RetryBudgetWindow                  time.Duration
	// TeamLimitWindow is the stretch of time over which teams' limits hold.
	TeamLimitWindow time.Duration
	// TeamLimitOvershoot is the part of a team's limit, and TeamLimitSlack the amount in
	// the team's unit, by which it may be exceeded over all hosts.
	TeamLimitOvershoot, TeamLimitSlack float64
	// FirstStart tells that the whole fleet starts for the first time.
	FirstStart bool
}

// Topics are the names of the followed topics.
type Topics struct {
	// Operator holds the operator's records, Endpoints the endpoints' entries,
	// Hosts what the hosts say of themselves.
	Operator, Endpoints, Hosts string
	// Copies holds copies of the operator's records.
	Copies string
	// Reports holds what the operator is told.
	Reports string
}

// OperatorRecord is a decoded record of the operator; at most one field is set.
type OperatorRecord struct {
	Config *routing.Config
	// EvacuatedDomain is a failure domain that is to get no requests.
	EvacuatedDomain string
	// Move asks for a service to move to another version.
	Move *canary.Order
}

// Ports are what the platform's side provides.
type Ports struct {
	Store    keyed.Store
	Topics   Topics
	Protocol relay.Protocol
	// DecodeOperatorRecord decodes a record of the operator.
	DecodeOperatorRecord func(key string, value []byte) (OperatorRecord, error)
	// EncodeReport encodes what the operator is told of a move, and DecodeReport
	// reads it.
	EncodeReport func(order canary.Order, stage canary.Stage) (keyed.Record, error)
	DecodeReport func(record keyed.Record) (service, target string, stage canary.Stage, err error)
	// DecodeEntry decodes an endpoint's entry.
	DecodeEntry func(id string, value []byte) (fleet.Entry, error)
	// Servers are further HTTP servers of the platform's side, by address.
	Servers func(View) map[string]http.Handler
	// Metrics is where counters are registered.
	Metrics metrics.Registry
	// Log is where log lines go.
	Log io.Writer
	// Reload is called on SIGHUP.
	Reload func(ctx context.Context) error
}

// View is what the platform's side may ask.
type View interface {
	// IsReady reports whether the host takes callers.
	IsReady() bool
	// FrontendAddresses are the callers' addresses of the hosts that take callers.
	FrontendAddresses() []string
}
