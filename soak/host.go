package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"mustarddoor/platform/standin"
)

const (
	// maxRecoveryTime is how long a fleet may take to serve again after faults. It
	// equals the platform's recovery bound.
	maxRecoveryTime = 15 * time.Second
	// readyPollInterval is the time between two polls of a host's readiness.
	readyPollInterval = 50 * time.Millisecond
	// restartDelay is the time after which the platform restarts a process that
	// exited unexpectedly.
	restartDelay = 200 * time.Millisecond
	// dumpTime is how long a process that did not stop may take to write its stacks.
	dumpTime = time.Second
)

// Program is the command that starts a host.
type Program struct {
	Path string
	// Env is added to the inherited environment.
	Env []string
}

// host is one host across all its processes.
type host struct {
	number int
	ip     string
	// programs are started in turn, from that of the host's number on.
	programs []Program
	dir      string
	frontend *Proxy
	store    *Proxy
	record   *Recorder

	// lifecycleMu is held while a fault stops the process and starts it again.
	lifecycleMu sync.Mutex

	mu         sync.Mutex
	process    *process
	startCount int
}

// process is one process of a host.
type process struct {
	command *exec.Cmd
	// done is closed after the process has exited and exitErr is set.
	done    chan struct{}
	exitErr error
	// isExitExpected is set before the soak stops the process.
	isExitExpected bool
}

// pid returns the process ID of the host's process, or 0 before the first one.
func (h *host) pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return 0
	}
	return h.process.command.Process.Pid
}

// start starts a process. Only the first process of a host gets the setting that
// bootstraps the fleet.
func (h *host) start(settings string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.startCount > 0 {
		settings = standin.WithoutBootstrap(settings)
	}
	path := filepath.Join(h.dir, fmt.Sprintf("host-%d.conf", h.number))
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return eris.Wrap(err, "write settings")
	}
	log, err := os.OpenFile(h.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	defer log.Close()
	program := h.programs[(h.number+h.startCount)%len(h.programs)]
	command := exec.Command(program.Path)
	command.Env = append(append(os.Environ(), program.Env...), standin.SettingsVariable+"="+path)
	command.Stdout, command.Stderr = log, log
	// A signal to the soak's process group must not reach the hosts.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := command.Start(); err != nil {
		return eris.Wrap(err, "start host")
	}
	p := &process{command: command, done: make(chan struct{})}
	h.process, h.startCount = p, h.startCount+1
	go h.supervise(p, settings)
	return nil
}

// supervise waits until a process exits. As on the platform, a process that exited
// unexpectedly is restarted.
func (h *host) supervise(p *process, settings string) {
	p.exitErr = p.command.Wait()
	close(p.done)
	h.mu.Lock()
	isEnding := p.isExitExpected
	h.mu.Unlock()
	if isEnding {
		return
	}
	h.record.AddProcessFailure(fmt.Sprintf("host %d, process %d: %v", h.number, p.command.Process.Pid, p.exitErr))
	time.Sleep(restartDelay)
	if err := h.start(settings); err != nil {
		h.record.AddProcessFailure(fmt.Sprintf("host %d cannot be restarted: %v", h.number, err))
	}
}

func (h *host) logPath() string { return filepath.Join(h.dir, fmt.Sprintf("host-%d.log", h.number)) }

// sendSignal sends a signal to the current process. It does nothing if the process
// has exited.
func (h *host) sendSignal(signal syscall.Signal) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	err := h.process.command.Process.Signal(signal)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// expectExit marks the exit of the current process as expected and returns the
// process.
func (h *host) expectExit() *process {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process.isExitExpected = true
	return h.process
}

// kill kills the process and waits for its exit.
func (h *host) kill() error {
	p := h.expectExit()
	err := p.command.Process.Kill()
	<-p.done
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// stop asks the process to stop and kills it after stopGracePeriod. A process that still
// runs then writes the stacks of its goroutines to its log.
func (h *host) stop() StopResult {
	p := h.expectExit()
	result := StopResult{Host: h.number, RequestedAt: time.Now()}
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		result.Failure = err.Error()
	}
	select {
	case <-p.done:
		if p.exitErr != nil {
			result.Failure = p.exitErr.Error()
		}
	case <-time.After(stopGracePeriod):
		result.Failure = "still running after " + stopGracePeriod.String()
		// The process may have exited meanwhile.
		_ = p.command.Process.Signal(syscall.SIGQUIT)
		select {
		case <-p.done:
		case <-time.After(dumpTime):
			_ = p.command.Process.Kill()
			<-p.done
		}
	}
	result.EndedAt = time.Now()
	return result
}

// waitReady waits until the host is ready.
func (h *host) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, maxRecoveryTime)
	defer cancel()
	for {
		if standin.IsReady(ctx, h.ip) {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Errorf("host %d is not ready after %v", h.number, maxRecoveryTime)
		case <-time.After(readyPollInterval):
		}
	}
}

// addressCounter makes the addresses of the hosts of this process unique.
var addressCounter struct {
	mu   sync.Mutex
	next int
}

// newLoopbackAddress returns a loopback address that is derived from the process
// ID and a counter, so that concurrent soaks don't share addresses.
func newLoopbackAddress() string {
	addressCounter.mu.Lock()
	defer addressCounter.mu.Unlock()
	addressCounter.next++
	pid := os.Getpid()
	return net.IPv4(127, byte(10+pid%200), byte(pid/200%250), byte(1+addressCounter.next%250)).String()
}

// seedAddresses lists the control addresses of up to three hosts.
func seedAddresses(hosts []*host) string {
	var seeds []string
	for _, h := range hosts[:min(len(hosts), 3)] {
		seeds = append(seeds, h.ip+":"+standin.ControlPort)
	}
	return strings.Join(seeds, ",")
}
