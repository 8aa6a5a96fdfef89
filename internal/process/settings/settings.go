// Package settings reads the settings of one daemon from a JSON file.
//
// Settings say where a host stands and whom it can reach. What the fleet does
// is the configuration bundle's matter, which reaches the daemon through the
// log service.
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

// Settings are what one daemon needs to know before it knows a bundle.
type Settings struct {
	Host Host `json:"host"`
	// Address is where callers connect, IP:port.
	Address string `json:"address"`
	// MeshAddress is where other hosts connect, IP:port.
	MeshAddress string `json:"mesh_address"`
	// AdminAddress is where operators and monitoring connect, IP:port.
	AdminAddress string `json:"admin_address"`
	// Peers are mesh addresses to ask first; the platform's list adds to them.
	Peers    []string `json:"peers"`
	Platform Platform `json:"platform"`
	// Operators are the ed25519 public keys, base64, by operator name.
	Operators map[string]string `json:"operators"`
	// FleetSecret authenticates records that hosts write themselves.
	FleetSecret string `json:"fleet_secret"`
	Log         Log    `json:"log"`
	Limits      Limits `json:"limits"`
	// TestGate lets scenarios cut mesh links through the admin address.
	TestGate bool `json:"test_gate"`
}

// Host says where the host stands.
type Host struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	Region string `json:"region"`
}

// Platform holds the addresses of the platform's services, IP:port.
type Platform struct {
	Log string `json:"log"`
	// HostList is empty if the platform has none.
	HostList string `json:"host_list"`
	// LogRetentionSeconds is how long the log keeps records; zero means
	// config.DefaultLogRetention.
	LogRetentionSeconds int `json:"log_retention_seconds"`
}

// LogRetention is how long the log keeps records; zero means the default.
func (p Platform) LogRetention() time.Duration {
	return time.Duration(p.LogRetentionSeconds) * time.Second
}

// Log says how log lines are written.
type Log struct {
	Format telemetry.Format `json:"format"`
	Level  string           `json:"level"`
}

// Limits bound what the daemon holds and waits for. Zero means the default.
type Limits struct {
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes        int64 `json:"body_bytes"`
	HeaderTimeoutMillis int   `json:"header_timeout_ms"`
	IdleTimeoutMillis   int   `json:"idle_timeout_ms"`
	// StopTimeoutMillis is how long a planned stop waits for running requests.
	StopTimeoutMillis int `json:"stop_timeout_ms"`
	// MaxHeldResponseBytes bounds the answers that are held for duplicates and resumes.
	MaxHeldResponseBytes int64 `json:"answer_bytes"`
	// MaxRegisterBytes bounds the witness registers.
	MaxRegisterBytes int64 `json:"register_bytes"`
	// MaxTimelineEvents bounds the ring of events.
	MaxTimelineEvents int `json:"timeline_events"`
}

// DefaultLimits gives the limits of a host whose settings have none.
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

// Load reads and checks a settings file. It fails with ErrRead or
// jsoncheck.ErrInvalid.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(ErrRead, err.Error())
	}
	return Parse(file, data)
}

// Parse checks settings and fills in the defaults. It fails with
// jsoncheck.ErrInvalid.
func Parse(file string, data []byte) (*Settings, error) {
	settings := &Settings{}
	if err := schema.Decode(file, data, settings); err != nil {
		return nil, err
	}
	settings.Limits = settings.Limits.withDefaults()
	return settings, nil
}

// withDefaults gives the limits with defaults in place of zeros.
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

// HeaderTimeout is how long a caller may take to send its request's header.
func (l Limits) HeaderTimeout() time.Duration {
	return time.Duration(l.HeaderTimeoutMillis) * time.Millisecond
}

// IdleTimeout is how long an idle connection of a caller is kept.
func (l Limits) IdleTimeout() time.Duration {
	return time.Duration(l.IdleTimeoutMillis) * time.Millisecond
}

// StopTimeout is how long a planned stop waits for running requests.
func (l Limits) StopTimeout() time.Duration {
	return time.Duration(l.StopTimeoutMillis) * time.Millisecond
}
