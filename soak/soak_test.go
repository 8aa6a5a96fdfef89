package soak

import (
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/platform"
)

// hostEnv makes the test binary run as a host, so that the hosts use the code just
// built, with the race detector if the tests have it.
const hostEnv = "MUSTARDDOOR_SOAK_HOST"

func TestMain(m *testing.M) {
	if os.Getenv(hostEnv) != "" {
		if err := platform.Main(nil); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// Runs a few seeds for a short time. A seed that has failed stays in the list, with
// a comment on the cause.
func TestSoak(t *testing.T) {
	program, err := os.Executable()
	assert.NilError(t, err)
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			report, err := Run(t.Context(), Options{
				Seed: seed, Dir: dir, Programs: []Program{{Path: program, Env: []string{hostEnv + "=1", "GORACE=atexit_sleep_ms=0"}}},
				Size: Size{Hosts: 3, Endpoints: 4, Callers: 8, Traffic: 8 * time.Second, Faults: 12},
				Load: DefaultLoad,
			})
			assert.NilError(t, err)
			if len(report.Violations) > 0 {
				logHostLogs(t, dir)
			}
			assert.Equal(t, len(report.Violations), 0, "%v", report)
			assert.Assert(t, report.Served > report.Requests/2, "%v", report)
		})
	}
}

// logHostLogs logs the contents of the hosts' logs.
func logHostLogs(t *testing.T, dir string) {
	for n := range 3 {
		content, err := os.ReadFile((&host{number: n, dir: dir}).logPath())
		t.Logf("log of host %d (%v):\n%s", n, err, content)
	}
}
