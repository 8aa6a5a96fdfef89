package soak

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The rule finds a version that is late or missing at a host that reaches the store, and no
// other.
func TestCheckVersions(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	history := History{Now: at(60), Versions: []Version{{Number: 5, AcknowledgedAt: at(10)}, {Number: 6, AcknowledgedAt: at(11)}}}
	check := func(inForce ...VersionInForce) int {
		history.InForce = map[int][]VersionInForce{0: inForce}
		return len(checkVersions(history))
	}
	assert.Equal(t, check(VersionInForce{Number: 5, At: at(10.1)}, VersionInForce{Number: 6, At: at(13.9)}), 0)
	assert.Equal(t, check(VersionInForce{Number: 6, At: at(12.9)}), 0, "a later version is in force")
	assert.Equal(t, check(VersionInForce{Number: 5, At: at(13.1)}, VersionInForce{Number: 6, At: at(13.2)}), 1, "late by .1 s")
	assert.Equal(t, check(VersionInForce{Number: 5, At: at(10.1)}), 1, "6 is missing")
	assert.Equal(t, check(VersionInForce{Number: 6, At: at(11.1)}, VersionInForce{Number: 5, At: at(11.2)}), 1, "an older one comes back")
	assert.Equal(t, check(VersionInForce{Number: 6, At: at(11.1)}, VersionInForce{Number: 5, At: at(11.2), Process: 1}), 0, "another process")
	history.Disruptions = []Disruption{{Scope: Scope{ScopeHost, 0}, Interval: Interval{From: at(4), To: at(8)}}}
	assert.Equal(t, check(), 0, "the host was cut off shortly before")
	history.Disruptions[0].Interval = Interval{From: at(4), To: at(5)}
	assert.Equal(t, check(), 2)
	history.Now = at(12)
	assert.Equal(t, check(), 0, "not due yet")
}

func TestVersionsInLog(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	assert.NilError(t, os.WriteFile(path, []byte(`{"msg":"start","time":"2026-12-06T06:04:15.920Z"}
{"config_version":3,"msg":"configuration in force","source":"log","time":"2026-12-06T06:04:16.433Z"}
{"config_version":4,"msg":"configuration in fo
{"msg":"start","time":"2026-12-06T06:04:17.920Z"}
{"config_version":5,"msg":"configuration in force","source":"reader","time":"2026-12-06T06:04:18.5Z"}
`), 0o600))
	versions, err := versionsInLog(path)
	assert.NilError(t, err)
	assert.DeepEqual(t, versions, []VersionInForce{
		{Number: 3, At: time.Date(2026, 12, 6, 6, 4, 16, 433e6, time.UTC), Source: "log", Process: 1},
		{Number: 5, At: time.Date(2026, 12, 6, 6, 4, 18, 500e6, time.UTC), Source: "reader", Process: 2},
	})
}

// Hosts that reached the log kept an old configuration while the host that read it for them
// was cut off: its empty replies passed for "nothing has changed".
func TestConfigurationInForceAsReadersLoseTheLog(t *testing.T) {
	t.Parallel()
	program, err := os.Executable()
	assert.NilError(t, err)
	f, err := newFleet(t.Context(), Options{
		Dir: t.TempDir(), Programs: []Program{{Path: program, Env: []string{hostEnv + "=1", "GORACE=atexit_sleep_ms=0"}}},
		Size: Size{Hosts: 12, Endpoints: 1},
	})
	t.Cleanup(f.close)
	assert.NilError(t, err)
	time.Sleep(settleTime)
	f.cutReaders(t.Context(), Fault{Kind: ReadersLoseStore, Target: 10, Duration: 6 * time.Second})
	time.Sleep(maxConfigDelay)
	history := f.record.History()
	history.InForce, err = f.versionsInForce()
	assert.NilError(t, err)
	assert.Equal(t, len(checkVersions(history)), 0, "%v", checkVersions(history))
}
