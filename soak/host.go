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
	// readyBound is how long a fleet may take to serve again after faults; the
	// platform's recovery bound.
	readyBound = 15 * time.Second
	// readyInterval is the time between two questions for readiness.
	readyInterval = 50 * time.Millisecond
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
	number  int
	ip      string
	program Program
	dir     string
	front   *Proxy
	store   *Proxy
	record  *Record

	// life is held by a fault that ends the process and starts it again.
	life sync.Mutex

	mu      sync.Mutex
	process *process
	starts  int
}

// process is one process of a host.
type process struct {
	command *exec.Cmd
	// done is closed after the process has ended with failure.
	done    chan struct{}
	failure error
	// isEnding tells that the soak ends it.
	isEnding bool
}

// start starts a process. The settings say that the fleet starts for the first
// time only at the first start.
func (h *host) start(settings string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.starts > 0 {
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
	h.process, h.starts = p, h.starts+1
	go h.watch(p, settings)
	return nil
}

// watch waits for a process's end. One that ended by itself starts again, as on
// the platform.
func (h *host) watch(p *process, settings string) {
	p.failure = p.command.Wait()
	close(p.done)
	h.mu.Lock()
	isEnding := p.isEnding
	h.mu.Unlock()
	if isEnding {
		return
	}
	h.record.EndedByItself(fmt.Sprintf("host %d, process %d: %v", h.number, p.command.Process.Pid, p.failure))
	time.Sleep(restartDelay)
	if err := h.start(settings); err != nil {
		h.record.EndedByItself(fmt.Sprintf("host %d does not start again: %v", h.number, err))
	}
}

func (h *host) logPath() string { return filepath.Join(h.dir, fmt.Sprintf("host-%d.log", h.number)) }

// signal sends a signal to the process that runs now. A process that has ended
// meanwhile needs none.
func (h *host) signal(signal syscall.Signal) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	err := h.process.command.Process.Signal(signal)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// ending marks the process that runs now as one that the soak ends.
func (h *host) ending() *process {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process.isEnding = true
	return h.process
}

// kill ends the process at once.
func (h *host) kill() error {
	p := h.ending()
	err := p.command.Process.Kill()
	<-p.done
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// stop asks the process to end and kills it if it doesn't.
func (h *host) stop() Stop {
	p := h.ending()
	stop := Stop{Host: h.number, Asked: time.Now()}
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		stop.Failure = err.Error()
	}
	select {
	case <-p.done:
		if p.failure != nil {
			stop.Failure = p.failure.Error()
		}
	case <-time.After(grace):
		stop.Failure = "still runs after " + grace.String()
		_ = p.command.Process.Kill() // it may have ended just now
		<-p.done
	}
	stop.Done = time.Now()
	return stop
}

// waitReady waits until the host is ready.
func (h *host) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyBound)
	defer cancel()
	for {
		if standin.IsReady(ctx, h.ip) {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Errorf("host %d is not ready after %v", h.number, readyBound)
		case <-time.After(readyInterval):
		}
	}
}

// addresses gives each host of each soak in this process its own.
var addresses struct {
	mu   sync.Mutex
	next int
}

// newAddress is a loopback address that no other soak uses, here or in another
// process.
func newAddress() string {
	addresses.mu.Lock()
	defer addresses.mu.Unlock()
	addresses.next++
	pid := os.Getpid()
	return net.IPv4(127, byte(10+pid%200), byte(pid/200%250), byte(1+addresses.next%250)).String()
}

// seedsOf lists the control addresses of some hosts.
func seedsOf(hosts []*host) string {
	var seeds []string
	for _, h := range hosts[:min(len(hosts), 3)] {
		seeds = append(seeds, h.ip+":"+standin.ControlPort)
	}
	return strings.Join(seeds, ",")
}
