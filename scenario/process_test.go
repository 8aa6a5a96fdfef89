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

// processesKey finds the process table among a script's values.
type processesKey struct{}

// Bounds on waiting. They only end a script that hangs; no verdict depends on
// how long something takes.
const (
	waitTimeout  = 60 * time.Second
	pollInterval = 20 * time.Millisecond
)

// listeningPrefix is what each daemon and stand-in prints once it serves.
var listeningPrefix = []byte("listening on")

// process is one process that a script started.
type process struct {
	command *exec.Cmd
	logFile string
	exited  chan struct{}
}

// processTable holds a script's processes by name.
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
		ts.Fatalf("no process %s", name)
	}
	return proc
}

// cmdStart runs "start NAME PROGRAM ARG...": it starts a process and waits
// until it says that it listens. Its output goes to NAME.log, and that of the
// process of the same name before it to NAME.log.old.
func cmdStart(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: start NAME PROGRAM ARG...")
	}
	startProcesses(ts, []processSpec{{name: args[0], program: args[1], args: args[2:]}})
}

// processSpec is a process to start.
type processSpec struct {
	name    string
	program string
	args    []string
}

// startProcesses starts several processes and then waits for all of them.
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
			// In a process group whose leader has ended, the kernel ends processes
			// that a test has stopped; whoever starts the tests may end.
			command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
			command.Env = append(os.Environ(), "PATH="+ts.Getenv("PATH"), "GORACE="+ts.Getenv("GORACE"))
			return command
		}
	}
	ts.Fatalf("no program %s", program)
	return nil
}

func waitForListening(ts *testscript.TestScript, name string) {
	proc := processTableOf(ts).processes[name]
	waitFor(ts, name+" to listen", func() bool {
		content, _ := os.ReadFile(proc.logFile)
		select {
		case <-proc.exited:
			ts.Fatalf("%s ended: %s", name, content)
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
	ts.Fatalf("gave up waiting for %s", what)
}

var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL,
	"TERM": syscall.SIGTERM,
	"STOP": syscall.SIGSTOP,
	"CONT": syscall.SIGCONT,
}

// cmdSignal runs "signal KILL|TERM|STOP|CONT NAME...". After KILL it waits for
// the end of the processes.
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

// cmdStopped runs "stopped NAME...": it waits until the processes have ended
// and fails if one of them did not exit with status 0.
func cmdStopped(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		proc := processTableOf(ts).get(ts, name)
		select {
		case <-proc.exited:
		case <-time.After(waitTimeout):
			ts.Fatalf("%s did not stop", name)
		}
		if code := proc.command.ProcessState.ExitCode(); code != 0 {
			content, _ := os.ReadFile(proc.logFile)
			ts.Fatalf("%s exited with %d: %s", name, code, content)
		}
	}
}

// cmdEventually runs "[!] eventually REGEXP PROGRAM ARG...": it runs the
// program again and again until its output matches (with "!", until it does
// not).
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

// logProcessOutput shows what the processes have logged, so that a wait that was
// given up can be traced.
func logProcessOutput(ts *testscript.TestScript) {
	for name, proc := range processTableOf(ts).processes {
		content, err := os.ReadFile(proc.logFile)
		ts.Logf("log of %s (%v):\n%s", name, err, content)
	}
}
