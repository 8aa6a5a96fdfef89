//go:build review

// Package harness starts the daemon of the deploy file as separate processes beside stand-ins
// of the platform's store, workers and clients, for the cases of the third review.
package harness

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"mustarddoor/platform/standin"
)

// Bounds of the small deployments, as the users' sheet of kaya-cember names them.
const (
	Contact      = 3 * time.Second
	DrainTimeout = 2 * time.Second
	GracePeriod  = 8 * time.Second
	Heartbeat    = 1200 * time.Millisecond
)

// MemoryMB is the memory of a host, that of kaya-cember unless a case changes it.
var MemoryMB = 284

// Program is the daemon, as the deploy file builds it.
const Program = "target/mustarddoor-platform"

// ErrCannotRun means that a case could not be played.
var ErrCannotRun = errors.New("the case could not run")

// Fleet is a small deployment.
type Fleet struct {
	Store   *standin.Store
	Record  *Record
	Hosts   []*Host
	cleanup []func()
	dir     string
}

// Helper, Fatal and Cleanup make a Fleet the lifetime of its stand-ins.
func (*Fleet) Helper() {}

// Fatal implements standin.Lifetime.
func (*Fleet) Fatal(args ...any) { panic(fmt.Sprint(args...)) }

// Cleanup implements standin.Lifetime.
func (f *Fleet) Cleanup(call func()) { f.cleanup = append(f.cleanup, call) }

// New returns a fleet without hosts. Its files lie in a temporary folder.
func New(record *Record) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Record: record, dir: dir}
	f.Cleanup(func() { _ = os.RemoveAll(dir) })
	f.Store = standin.NewStore(f)
	return f, nil
}

// Close ends all processes and stand-ins of the fleet.
func (f *Fleet) Close() {
	for _, h := range f.Hosts {
		h.Kill()
	}
	for i := len(f.cleanup) - 1; i >= 0; i-- {
		f.cleanup[i]()
	}
}

// Host is a machine with one process of the daemon.
type Host struct {
	Name, Zone, IP string
	fleet          *Fleet
	settings       string

	mu      sync.Mutex
	process *exec.Cmd
	done    chan struct{}
	exit    error
	ended   bool
}

// zones are the zones of the hosts, in turn.
var zones = []string{"izmir-forge", "manisa-yard", "aydin-store"}

// StartHosts starts hosts at once and waits until all are ready. With firstStart, they are
// told that the whole system starts for the first time.
func (f *Fleet) StartHosts(count int, firstStart bool) error {
	ips, err := freeAddresses(count)
	if err != nil {
		return err
	}
	var seeds []string
	for _, ip := range ips[:min(3, len(ips))] {
		seeds = append(seeds, ip+":8229")
	}
	for i, ip := range ips {
		h := &Host{Name: fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], i/len(zones)+1), Zone: zones[i%len(zones)], IP: ip, fleet: f}
		h.settings = settingsOf(h, strings.Join(seeds, ","), f.Store.Address)
		f.Hosts = append(f.Hosts, h)
	}
	for _, h := range f.Hosts {
		if err := h.Start(firstStart); err != nil {
			return err
		}
	}
	for _, h := range f.Hosts {
		if err := h.AwaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// ports are those that a host listens on.
var ports = []string{"8220", "8221", "8224", "8229", "7600", "7601"}

// freeAddresses returns loopback addresses on which the ports of a host are free.
func freeAddresses(count int) ([]string, error) {
	var ips []string
	for try := 0; len(ips) < count && try < 100*count; try++ {
		ip := net.IPv4(127, byte(20+rand.IntN(200)), byte(rand.IntN(250)), byte(1+rand.IntN(250))).String()
		if isFree(ip) {
			ips = append(ips, ip)
		}
	}
	if len(ips) < count {
		return nil, fmt.Errorf("%w: no free loopback addresses", ErrCannotRun)
	}
	return ips, nil
}

func isFree(ip string) bool {
	for _, port := range ports {
		listener, err := net.Listen("tcp4", net.JoinHostPort(ip, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// Start starts a process on the host.
func (h *Host) Start(firstStart bool) error {
	settings := strings.Replace(h.settings, "bootstrap=true", fmt.Sprintf("bootstrap=%v", firstStart), 1)
	path := filepath.Join(h.fleet.dir, h.Name+".conf")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(h.fleet.dir, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(Program)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), standin.SettingsVariable + "=" + path}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := command.Start(); err != nil {
		return fmt.Errorf("%w: %v", ErrCannotRun, err)
	}
	done := make(chan struct{})
	h.mu.Lock()
	h.process, h.done, h.ended = command, done, false
	h.mu.Unlock()
	go func() {
		err := command.Wait()
		h.mu.Lock()
		if h.process == command {
			h.exit, h.ended = err, true
		}
		h.mu.Unlock()
		close(done)
	}()
	return nil
}

// Ended reports whether the process has ended, and how.
func (h *Host) Ended() (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ended, h.exit
}

// PID returns the process id.
func (h *Host) PID() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process.Process.Pid
}

// Signal sends a signal to the process.
func (h *Host) Signal(signal syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil && !h.ended {
		_ = h.process.Process.Signal(signal)
	}
}

// Kill kills the process and waits for its end.
func (h *Host) Kill() {
	h.mu.Lock()
	done := h.done
	h.mu.Unlock()
	if done == nil {
		return
	}
	h.Signal(syscall.SIGKILL)
	<-done
}

// Log returns what the process has logged.
func (h *Host) Log() string {
	data, _ := os.ReadFile(filepath.Join(h.fleet.dir, h.Name+".log"))
	return string(data)
}

// Frontend returns the address for clients.
func (h *Host) Frontend() string { return h.IP + ":8221" }

// AwaitReady waits until the host says that it is ready.
func (h *Host) AwaitReady(timeout time.Duration) error {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + h.IP + ":8224/v1/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%w: %s is not ready:\n%s", ErrCannotRun, h.Name, h.Log())
}

// settingsOf returns a settings file like the one on the users' page.
func settingsOf(h *Host, seeds, store string) string {
	return fmt.Sprintf(`nodeName=%s
role=host
machineClass=edge
serves=edge,directory
ipAddress=%[2]s
zone=%[3]s
region=ege
zones.izmir-forge=ege
zones.manisa-yard=ege
zones.aydin-store=ege
listenAddresses.frontend=%[2]s:8221
listenAddresses.ready=%[2]s:8224
listenAddresses.control=%[2]s:8229
listenAddresses.directory=%[2]s:8220
internalPortRange=7600,7615
seedNodes=%[4]s
bootstrap=true
countsAsLoss=false
limits.cpuShare=0.4
limits.cpuCores=1
limits.memoryMb=%[6]d
limits.fileDescriptors=4200
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entryPoint=directory
heartbeatIntervalMs=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,rollout,places,platform
faultTolerance.machines=2
faultTolerance.zones=1
faultTolerance.regions=0
timingBounds.seedPropagationS=3
timingBounds.addressReuseS=2
timingBounds.contactMs=3000
timingBounds.ackTimeoutMs=4000
timingBounds.catchUpS=4
timingBounds.drainTimeoutMs=2000
timingBounds.gracePeriodS=8
timingBounds.lossSlackMs=200
timingBounds.configApplyMs=2000
timingBounds.rollbackSlackMs=250
timingBounds.maxStretchMs=5000
timingBounds.revokeWhenPartitioned=false
timingBounds.revocationMs=5000
timingBounds.retryBudgetRatio=0.2
timingBounds.budgetWindowS=10
timingBounds.retryBudgetSlack=52
timingBounds.quotaWindowS=8
timingBounds.quotaOvershoot=0.1
timingBounds.quotaSlack=140000
timingBounds.canaryShare=0.1
timingBounds.canarySlack=50
timingBounds.rollbackTimeoutMs=5000
timingBounds.coldOvershoot=1.5
timingBounds.coldSlack=5
timingBounds.evacuationMs=5000
timingBounds.recoveryS=12
timingBounds.eventLatencyMs=120
timingBounds.cacheWindowS=10
timingBounds.ttl_max_s=5
platformSettings.address=%[5]s
platformSettings.form=log
platformSettings.writesPerS=400
platformSettings.readsPerS=2000
platformSettings.parts=12
platformSettings.appendLatencyMs=2.0
platformSettings.partMbPerS=20.0
platformSettings.readMbPerS=80.0
platformSettings.maxRecordBytes=262144
platformSettings.maxCallBytes=2097152
platformSettings.keep_s=300
platformSettings.partitionMb=200
platformSettings.minTtlMs=1000
`, h.Name, h.IP, h.Zone, seeds, store, MemoryMB)
}
