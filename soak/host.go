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
	// maxRecoveryTime is how long a fleet may take to serve again after faults; the
	// platform's recovery bound.
	maxRecoveryTime = 15 * time.Second
	// readyPollInterval is the time between two questions for readiness.
	readyPollInterval = 50 * time.Millisecond
	// restartDelay is how soon the platform starts a process again that ended
	// by itself.
	restartDelay = 200 * time.Millisecond
)

// Program is the command that starts a host.
type Program struct {
	Path string
	// Env is added to the environment.
	Env []string
}

// host is one host, over all its processes.
type host struct {
	number   int
	ip       string
	program  Program
	dir      string
	frontend *Proxy
	store    *Proxy
	record   *Recorder

	// lifecycleMu is held by a fault that ends the process and starts it again.
	lifecycleMu sync.Mutex

	mu         sync.Mutex
	process    *process
	startCount int
}

// process is one process of a host.
type process struct {
	command *exec.Cmd
	// done is closed after the process has ended with failure.
	done    chan struct{}
	exitErr error
	// isExitExpected tells that the soak ends it.
	isExitExpected bool
}

// start starts a process. The settings say that the fleet starts for the first
// time only at the first start.
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
	command := exec.Command(h.program.Path)
	command.Env = append(append(os.Environ(), h.program.Env...), standin.SettingsVariable+"="+path)
	command.Stdout, command.Stderr = log, log
	// A signal to the soak's group must not reach the hosts.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := command.Start(); err != nil {
		return eris.Wrap(err, "start host")
	}
	p := &process{command: command, done: make(chan struct{})}
	h.process, h.startCount = p, h.startCount+1
	go h.supervise(p, settings)
	return nil
}

// supervise waits for a process's end. One that ended by itself starts again, as on
// the platform.
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
		h.record.AddProcessFailure(fmt.Sprintf("host %d does not start again: %v", h.number, err))
	}
}

func (h *host) logPath() string { return filepath.Join(h.dir, fmt.Sprintf("host-%d.log", h.number)) }

// sendSignal sends a sendSignal to the process that runs now. A process that has ended
// meanwhile needs none.
func (h *host) sendSignal(signal syscall.Signal) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	err := h.process.command.Process.Signal(signal)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// expectExit marks the process that runs now as one that the soak ends.
func (h *host) expectExit() *process {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process.isExitExpected = true
	return h.process
}

// kill ends the process at once.
func (h *host) kill() error {
	p := h.expectExit()
	err := p.command.Process.Kill()
	<-p.done
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// stop asks the process to end and kills it if it doesn't.
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
		result.Failure = "still runs after " + stopGracePeriod.String()
		_ = p.command.Process.Kill() // it may have ended just now
		<-p.done
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

// addressCounter gives each host of each soak in this process its own.
var addressCounter struct {
	mu   sync.Mutex
	next int
}

// newLoopbackAddress is a loopback address that no other soak uses, here or in another
// process.
func newLoopbackAddress() string {
	addressCounter.mu.Lock()
	defer addressCounter.mu.Unlock()
	addressCounter.next++
	pid := os.Getpid()
	return net.IPv4(127, byte(10+pid%200), byte(pid/200%250), byte(1+addressCounter.next%250)).String()
}

// seedAddresses lists the control addresses of some hosts.
func seedAddresses(hosts []*host) string {
	var seeds []string
	for _, h := range hosts[:min(len(hosts), 3)] {
		seeds = append(seeds, h.ip+":"+standin.ControlPort)
	}
	return strings.Join(seeds, ",")
}
