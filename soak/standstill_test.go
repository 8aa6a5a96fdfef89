package soak

import (
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/platform/standin"
)

// A host that had stood still answered its callers' directory queries with its own address
// alone until its next periodic check.
func TestDirectoryNamesOthersAfterStandstill(t *testing.T) {
	t.Parallel()
	program, err := os.Executable()
	assert.NilError(t, err)
	dir := t.TempDir()
	f, err := newFleet(t.Context(), Options{
		Dir: dir, Programs: []Program{{Path: program, Env: []string{hostEnv + "=1", "GORACE=atexit_sleep_ms=0"}}},
		Size: Size{Hosts: 3, Endpoints: 1},
	})
	t.Cleanup(f.close)
	assert.NilError(t, err)
	h := f.hosts[0]
	namesAll := func() bool {
		addresses, err := standin.FrontendAddresses(t.Context(), h.ip)
		return err == nil && len(addresses) == len(f.hosts)
	}
	for deadline := time.Now().Add(maxRecoveryTime); !namesAll(); time.Sleep(readyPollInterval) {
		assert.Assert(t, time.Now().Before(deadline))
	}
	assert.NilError(t, h.sendSignal(syscall.SIGSTOP))
	time.Sleep(2 * time.Second)
	assert.NilError(t, h.sendSignal(syscall.SIGCONT))
	for end := time.Now().Add(300 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		assert.Check(t, namesAll())
	}
	if t.Failed() {
		logHostLogs(t, dir)
	}
}
