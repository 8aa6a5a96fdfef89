package scenario

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// processesKey is the key of the process table among a script's values.
type processesKey struct{}

// Bounds on waiting. They only end a script that hangs; no result depends on
// durations.
const (
	waitTimeout  = 60 * time.Second
	pollInterval = 20 * time.Millisecond
)

// listeningPrefix is what each daemon and stand-in prints when it accepts
// connections.
var listeningPrefix = []byte("listening on")

// process is a process that a script started.
type process struct {
	command *exec.Cmd
	logFile string
	exited  chan struct{}
}

// processTable holds the processes of a script by name.
type processTable struct {
	dir       string
	processes map[string]*process
}

func newProcessTable(dir string) *processTable {
	return &processTable{dir: dir, processes: map[string]*process{}}
}

func (p *processTable) killAll() {
	for _, proc := range p.processes {
		proc.command.Process.Kill()
		<-proc.exited
	}
}

func processTableOf(ts *testscript.TestScript) *processTable {
	return ts.Value(processesKey{}).(*processTable)
}

func (p *processTable) get(ts *testscript.TestScript, name string) *process {
	proc, found := p.processes[name]
	if !found {
		ts.Fatalf("process %s has not been started", name)
	}
	return proc
}

// cmdStart implements "start NAME PROGRAM ARG...": it starts a process and
// waits until it is listening. The output goes to NAME.log; that of an earlier
// process of the same name is kept in NAME.log.old.
func cmdStart(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: start NAME PROGRAM ARG...")
	}
	startProcesses(ts, []processSpec{{name: args[0], program: args[1], args: args[2:]}})
}

// processSpec describes a process to start.
type processSpec struct {
	name    string
	program string
	args    []string
}

// startProcesses starts several processes and waits until all of them are
// listening.
func startProcesses(ts *testscript.TestScript, specs []processSpec) {
	for _, spec := range specs {
		spec.start(ts)
	}
	for _, spec := range specs {
		waitForListening(ts, spec.name)
	}
}

func (s processSpec) start(ts *testscript.TestScript) {
	table := processTableOf(ts)
	logFile := filepath.Join(table.dir, s.name+".log")
	if old, found := table.processes[s.name]; found {
		<-old.exited
		ts.Check(os.Rename(logFile, logFile+".old"))
	}
	out, err := os.Create(logFile)
	ts.Check(err)
	command := newCommand(ts, s.program, s.args)
	command.Stdout = out
	command.Stderr = out
	ts.Check(command.Start())
	out.Close()
	proc := &process{command: command, logFile: logFile, exited: make(chan struct{})}
	table.processes[s.name] = proc
	go func() {
		command.Wait()
		close(proc.exited)
	}()
}

func newCommand(ts *testscript.TestScript, program string, args []string) *exec.Cmd {
	for _, dir := range filepath.SplitList(ts.Getenv("PATH")) {
		path := filepath.Join(dir, program)
		if _, err := os.Stat(path); err == nil {
			command := exec.Command(path, args...)
			command.Dir = ts.MkAbs(".")
			// The kernel kills stopped processes in a process group whose
			// leader has exited. A group of its own keeps a process that a
			// script has stopped alive if the process that started the tests
			// exits.
			command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
			command.Env = append(os.Environ(), "PATH="+ts.Getenv("PATH"), "GORACE="+ts.Getenv("GORACE"))
			return command
		}
	}
	ts.Fatalf("program %s is not in PATH", program)
	return nil
}

func waitForListening(ts *testscript.TestScript, name string) {
	proc := processTableOf(ts).processes[name]
	waitFor(ts, name+" to listen", func() bool {
		content, _ := os.ReadFile(proc.logFile)
		select {
		case <-proc.exited:
			ts.Fatalf("%s exited before it was listening: %s", name, content)
		default:
		}
		return bytes.Contains(content, listeningPrefix)
	})
}

// waitFor polls until the condition holds.
func waitFor(ts *testscript.TestScript, what string, condition func() bool) {
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if condition() {
			return
		}
	}
	ts.Fatalf("timed out waiting for %s", what)
}

var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL,
	"TERM": syscall.SIGTERM,
	"STOP": syscall.SIGSTOP,
	"CONT": syscall.SIGCONT,
}

// cmdSignal implements "signal KILL|TERM|STOP|CONT NAME...". After KILL it
// waits until the processes have exited.
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: signal KILL|TERM|STOP|CONT NAME...")
	}
	signal, found := signals[args[0]]
	if !found {
		ts.Fatalf("unknown signal %s", args[0])
	}
	for _, name := range args[1:] {
		proc := processTableOf(ts).get(ts, name)
		ts.Check(proc.command.Process.Signal(signal))
		if signal == syscall.SIGKILL {
			<-proc.exited
		}
	}
}

// cmdStopped implements "stopped NAME...": it waits until the processes have
// exited and fails if one of them did not exit with status 0.
func cmdStopped(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		proc := processTableOf(ts).get(ts, name)
		select {
		case <-proc.exited:
		case <-time.After(waitTimeout):
			ts.Fatalf("%s did not exit in time", name)
		}
		if code := proc.command.ProcessState.ExitCode(); code != 0 {
			content, _ := os.ReadFile(proc.logFile)
			ts.Fatalf("%s exited with status %d: %s", name, code, content)
		}
	}
}

// cmdEventually implements "[!] eventually REGEXP PROGRAM ARG...": it runs the
// program repeatedly until its output matches or, with "!", does not match.
func cmdEventually(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: eventually REGEXP PROGRAM ARG...")
	}
	pattern, err := regexp.Compile(args[0])
	ts.Check(err)
	var last []byte
	matches := false
	defer func() {
		ts.Logf("%s", last)
		if !matches {
			logProcessOutput(ts)
		}
	}()
	waitFor(ts, fmt.Sprintf("%q", args), func() bool {
		last, _ = newCommand(ts, args[1], args[2:]).CombinedOutput()
		matches = pattern.Match(last) != neg
		return matches
	})
}

// logProcessOutput logs the output of all processes, to diagnose a wait that
// timed out.
func logProcessOutput(ts *testscript.TestScript) {
	for name, proc := range processTableOf(ts).processes {
		content, err := os.ReadFile(proc.logFile)
		ts.Logf("log of %s (%v):\n%s", name, err, content)
	}
}
