// Package settings reads the settings of one daemon from a JSON file.
//
// Settings hold the identity and the addresses of a host. The behavior of the
// fleet is set by the configuration bundle, which the daemon receives through
// the log service.
package settings

import (
	"cmp"
	_ "embed"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/process/jsoncheck"
	"mustarddoor/internal/process/telemetry"
)

//go:embed schema.json
var schemaJSON []byte

var schema = jsoncheck.MustCompile("settings.json", schemaJSON)

// ErrRead is returned if the settings file cannot be read.
var ErrRead = eris.New("settings cannot be read")

// Settings are the settings that a daemon needs before it has a bundle.
type Settings struct {
	Host Host `json:"host"`
	// Address is the frontend address for callers, IP:port.
	Address string `json:"address"`
	// MeshAddress is the peer address for other hosts, IP:port.
	MeshAddress string `json:"mesh_address"`
	// AdminAddress is the address for operators and monitoring, IP:port.
	AdminAddress string `json:"admin_address"`
	// Peers are the mesh addresses that the host contacts first. Addresses of
	// the platform's host list are added to them.
	Peers    []string `json:"peers"`
	Platform Platform `json:"platform"`
	// Operators maps operator names to ed25519 public keys in base64.
	Operators map[string]string `json:"operators"`
	// FleetSecret authenticates the records that hosts write themselves.
	FleetSecret string `json:"fleet_secret"`
	Log         Log    `json:"log"`
	Limits      Limits `json:"limits"`
	// TestGate lets tests cut mesh links through the admin address.
	TestGate bool `json:"test_gate"`
}

// Host identifies the host and its location.
type Host struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	Region string `json:"region"`
}

// Platform holds the addresses of the platform's services, IP:port.
type Platform struct {
	Log string `json:"log"`
	// HostList is empty if the platform has no host list.
	HostList string `json:"host_list"`
	// LogRetentionSeconds is how long the log keeps records; zero means
	// config.DefaultLogRetention.
	LogRetentionSeconds int `json:"log_retention_seconds"`
}

// LogRetention returns how long the log keeps records; zero means the default.
func (p Platform) LogRetention() time.Duration {
	return time.Duration(p.LogRetentionSeconds) * time.Second
}

// Log sets the format and the level of log lines.
type Log struct {
	Format telemetry.Format `json:"format"`
	Level  string           `json:"level"`
}

// Limits bound the memory and the waiting times of the daemon. Zero means the
// default.
type Limits struct {
	// MaxBodyBytes bounds one request body.
	MaxBodyBytes        int64 `json:"body_bytes"`
	HeaderTimeoutMillis int   `json:"header_timeout_ms"`
	IdleTimeoutMillis   int   `json:"idle_timeout_ms"`
	// StopTimeoutMillis is how long a planned stop waits for running requests.
	StopTimeoutMillis int `json:"stop_timeout_ms"`
	// MaxHeldResponseBytes bounds the responses that are held for duplicate and
	// resumed requests.
	MaxHeldResponseBytes int64 `json:"answer_bytes"`
	// MaxRegisterBytes bounds the witness register.
	MaxRegisterBytes int64 `json:"register_bytes"`
	// MaxTimelineEvents bounds the ring buffer of timeline events.
	MaxTimelineEvents int `json:"timeline_events"`
}

// DefaultLimits returns the limits that apply where the settings give none.
func DefaultLimits() Limits {
	return Limits{
		MaxBodyBytes:         4 << 20,
		HeaderTimeoutMillis:  5_000,
		IdleTimeoutMillis:    60_000,
		StopTimeoutMillis:    30_000,
		MaxHeldResponseBytes: 64 << 20,
		MaxRegisterBytes:     16 << 20,
		MaxTimelineEvents:    1 << 14,
	}
}

// Load reads and validates a settings file. It fails with ErrRead or
// jsoncheck.ErrInvalid.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(ErrRead, err.Error())
	}
	return Parse(file, data)
}

// Parse validates settings and fills in the defaults. It fails with
// jsoncheck.ErrInvalid.
func Parse(file string, data []byte) (*Settings, error) {
	settings := &Settings{}
	if err := schema.Decode(file, data, settings); err != nil {
		return nil, err
	}
	settings.Limits = settings.Limits.withDefaults()
	return settings, nil
}

// withDefaults returns the limits with zeros replaced by defaults.
func (l Limits) withDefaults() Limits {
	defaults := DefaultLimits()
	return Limits{
		MaxBodyBytes:         cmp.Or(l.MaxBodyBytes, defaults.MaxBodyBytes),
		HeaderTimeoutMillis:  cmp.Or(l.HeaderTimeoutMillis, defaults.HeaderTimeoutMillis),
		IdleTimeoutMillis:    cmp.Or(l.IdleTimeoutMillis, defaults.IdleTimeoutMillis),
		StopTimeoutMillis:    cmp.Or(l.StopTimeoutMillis, defaults.StopTimeoutMillis),
		MaxHeldResponseBytes: cmp.Or(l.MaxHeldResponseBytes, defaults.MaxHeldResponseBytes),
		MaxRegisterBytes:     cmp.Or(l.MaxRegisterBytes, defaults.MaxRegisterBytes),
		MaxTimelineEvents:    cmp.Or(l.MaxTimelineEvents, defaults.MaxTimelineEvents),
	}
}

// HeaderTimeout returns how long a client may take to send a request's header.
func (l Limits) HeaderTimeout() time.Duration {
	return time.Duration(l.HeaderTimeoutMillis) * time.Millisecond
}

// IdleTimeout returns how long an idle client connection is kept open.
func (l Limits) IdleTimeout() time.Duration {
	return time.Duration(l.IdleTimeoutMillis) * time.Millisecond
}

// StopTimeout returns how long a planned stop waits for running requests.
func (l Limits) StopTimeout() time.Duration {
	return time.Duration(l.StopTimeoutMillis) * time.Millisecond
}
