// Package gateway assembles the daemon for a platform with a keyed log. It serves
// callers, follows the platform's records, and shares with the other hosts the
// state that the limits depend on. Names and formats specific to the platform are
// supplied through Ports.
package gateway

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/rcrowley/go-metrics"

	"mustarddoor/internal/connection/upstream"
	"mustarddoor/internal/process/dispatch"
	"mustarddoor/internal/process/duty"
	"mustarddoor/internal/process/fleet"
	"mustarddoor/internal/process/keyed"
	"mustarddoor/internal/request/relay"
	"mustarddoor/internal/version/canary"
	"mustarddoor/internal/version/routing"
)

// Settings are the startup settings of a host.
type Settings struct {
	Name string
	// Domain is the host's failure domain.
	Domain string
	// FrontendAddress is where callers connect, MetricsAddress where metrics are
	// served, and PeerAddress where the other hosts reach this one.
	FrontendAddress, MetricsAddress string
	PeerAddress                     netip.AddrPort
	// Seeds are the peer addresses of possible other hosts.
	Seeds []netip.AddrPort
	// MaxForgottenHosts is the number of hosts that were silent for so long that they no
	// longer count, and whose addresses are kept to look for them; 0 means the default.
	MaxForgottenHosts int
	// MemoryMB is the memory limit of the process in MB.
	MemoryMB int
	// Cores is the number of CPU cores to use.
	Cores int
	// ProcessorCapacity is the processor time that the process may use, in
	// cores, FileDescriptors the number of descriptors; 0 means unknown.
	ProcessorCapacity float64
	FileDescriptors   int
	// MaxRecordBytes is the size of the largest record that the log takes; 0 means unknown.
	MaxRecordBytes int
	// RecentBytes is the size of the latest entries of endpoints that are kept for other
	// hosts to read; 0 means the default.
	RecentBytes int
	// DeletedBytes is the size of the deleted records that are remembered of each topic,
	// in case the log is restored from an older copy; 0 means the default.
	DeletedBytes int
	// LinkMbps is the capacity of the host's network link in Mbit/s.
	LinkMbps int
	// GracePeriod is the time from a stop request until the process is killed.
	GracePeriod time.Duration
	// RetryBudgetRatio is the number of retries that each request adds to the
	// budget, and RetryBudgetSlack the number allowed in addition in each
	// RetryBudgetWindow, across all hosts.
	RetryBudgetRatio, RetryBudgetSlack float64
	RetryBudgetWindow                  time.Duration
	// TeamLimitWindow is the time window over which teams' limits hold.
	TeamLimitWindow time.Duration
	// TeamLimitOvershoot is the fraction of a team's limit, and TeamLimitSlack
	// the amount in the team's unit, by which all hosts together may exceed it.
	TeamLimitOvershoot, TeamLimitSlack float64
	// EndpointHeartbeat is the interval at which endpoints write their entries; 0
	// means unknown.
	EndpointHeartbeat time.Duration
	// FirstStart means that the whole fleet is starting for the first time.
	FirstStart bool
	// Dispatch are the decisions under load that the deployment switches on.
	Dispatch dispatch.Options
	// Duties configures the singleton duties; the zero value means none.
	Duties DutySettings
}

// DutySettings are the settings of the singleton duties.
type DutySettings struct {
	// ReportsUsage is set if the hosts report the teams' usage, OrdersEndpoints if
	// they order the number of endpoints.
	ReportsUsage, OrdersEndpoints bool
	// CallsPerSecond is what the platform accepts of all hosts together.
	CallsPerSecond float64
	// IsFenced is set if the platform refuses calls with an old fencing token.
	IsFenced bool
	// LeaseDuration is the time within which the duties must not return to a host.
	LeaseDuration time.Duration
	// UsageWindow is the length of a window of usage. UsageTolerance is the share by
	// which a report may be off, UsageLateness the time after the end of a window
	// until which its report is due.
	UsageWindow, UsageLateness time.Duration
	UsageTolerance             float64
}

// Topics are the names of the log topics that the daemon uses.
type Topics struct {
	// Operator holds the operator's records, Endpoints the endpoints' entries,
	// Hosts the peer addresses of the hosts.
	Operator, Endpoints, Hosts string
	// Copies holds copies of the operator's records.
	Copies string
	// Reports holds the reports to the operator.
	Reports string
	// Duties holds the claims and records of the singleton duties.
	Duties string
}

// OperatorRecord is a decoded record of the operator; at most one field is set.
type OperatorRecord struct {
	Config *routing.Config
	// EvacuatedDomain is a failure domain that must receive no requests.
	EvacuatedDomain string
	// Move orders a service to move to another version.
	Move *canary.Order
}

// Ports are the functions and services that the platform adapter provides.
type Ports struct {
	Store    keyed.Store
	Topics   Topics
	Protocol relay.Protocol
	// DecodeOperatorRecord decodes a record of the operator.
	DecodeOperatorRecord func(key string, value []byte) (OperatorRecord, error)
	// EncodeReport encodes the report of a move to the operator; DecodeReport
	// decodes it.
	EncodeReport func(order canary.Order, stage canary.Stage) (keyed.Record, error)
	DecodeReport func(record keyed.Record) (service, target string, stage canary.Stage, err error)
	// DecodeEntry decodes an endpoint's entry.
	DecodeEntry func(id string, value []byte) (fleet.Entry, error)
	// Duties sends the calls of the singleton duties; nil if there are none.
	Duties duty.Platform
	// DialEndpoint opens connections to endpoints.
	DialEndpoint upstream.DialFunc
	// Servers returns additional HTTP handlers by listen address.
	Servers func(View) map[string]http.Handler
	// Metrics is the registry for counters and timers.
	Metrics metrics.Registry
	// Log is the destination of log lines.
	Log io.Writer
	// Reload is called on SIGHUP.
	Reload func(ctx context.Context) error
}

// View is the host's state as exposed to the platform adapter.
type View interface {
	// IsReady reports whether the host accepts callers.
	IsReady() bool
	// EntryAddresses returns the frontend addresses of the hosts that callers
	// are sent to.
	EntryAddresses() []string
}
