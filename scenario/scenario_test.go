// Package scenario runs the scripts in testdata. Each starts a fleet of
// separate processes on loopback addresses and injects faults.
package scenario

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"mustarddoor/internal/command"
	"mustarddoor/internal/process/daemon"
	"mustarddoor/internal/standin"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"mustarddoord": func() { os.Exit(daemon.Main(os.Args[1:])) },
		"mustarddoor":  func() { os.Exit(command.Main(os.Args[1:])) },
		"standin":      func() { os.Exit(standin.Main(os.Args[1:])) },
	})
}

// raceDetectorOptions disables the delay of one second at the exit of a process
// under the race detector.
const raceDetectorOptions = "atexit_sleep_ms=0"

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			if err := setUpNetwork(env); err != nil {
				return err
			}
			env.Setenv("GORACE", raceDetectorOptions)
			processes := newProcessTable(env.WorkDir)
			env.Values[processesKey{}] = processes
			env.Values[loadKey{}] = &loadHolder{}
			env.Defer(processes.killAll)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet":      cmdFleet,
			"start":      cmdStart,
			"signal":     cmdSignal,
			"stopped":    cmdStopped,
			"eventually": cmdEventually,
			"fetch":      cmdFetch,
			"load":       cmdLoad,
			"session":    cmdSession,
			"ran":        cmdRan,
			"started":    cmdStarted,
			"requests":   cmdRequests,
		},
		RequireExplicitExec: true,
	})
}
