//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the command of the deploy file, run in the repository's root.
const program = "target/mustarddoor-platform"

// fleet is the hosts of a case. Each has a loopback address of its own, as the ports are
// the same on all hosts.
type fleet struct {
	record *record
	dir    string
	store  *store
	ports  ports
	hosts  []*host
	// memoryMB is the memory limit in the hosts' settings.
	memoryMB int
}

type ports struct{ frontend, ready, control, directory, internal int }

type host struct {
	fleet    *fleet
	name     string
	ip, zone string
	settings string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	starts  int
	// wanted is false once the case has ended the process for good.
	wanted bool
}

// newFleet prepares hosts in zones, one for each entry.
func newFleet(r *record, s *store, zones []string, memoryMB int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, dir: dir, store: s, memoryMB: memoryMB}
	network := fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 10+rand.IntN(200))
	if f.ports, err = freePorts(network, len(zones)); err != nil {
		return nil, err
	}
	for i, zone := range zones {
		ip := network + strconv.Itoa(i+1)
		h := &host{fleet: f, name: fmt.Sprintf("edge-%s-%d", zone, i+1), ip: ip, zone: zone, settings: filepath.Join(dir, fmt.Sprintf("host%d.conf", i+1))}
		f.hosts = append(f.hosts, h)
	}
	return f, nil
}

// freePorts returns ports that are free on all addresses of the network.
func freePorts(network string, hosts int) (ports, error) {
	base := 20000 + rand.IntN(200)*50
	for range 100 {
		if isFree(network, hosts, base) {
			return ports{frontend: base, ready: base + 1, control: base + 2, directory: base + 3, internal: base + 4}, nil
		}
		base += 50
	}
	return ports{}, fmt.Errorf("no free ports from %d on", base)
}

func isFree(network string, hosts, base int) bool {
	for i := range hosts {
		for port := base; port < base+8; port++ {
			listener, err := net.Listen("tcp4", network+strconv.Itoa(i+1)+":"+strconv.Itoa(port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// writeSettings writes a host's settings file, with the values of a small deployment.
func (h *host) writeSettings(isFirst bool) error {
	f := h.fleet
	var seeds []string
	for _, other := range f.hosts[:min(len(f.hosts), 3)] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", other.ip, f.ports.control))
	}
	text := fmt.Sprintf(`nodeName=%[1]s
role=host
machineClass=edge
serves=edge,directory
ipAddress=%[2]s
zone=%[3]s
region=baja-norte
listenAddresses.frontend=%[2]s:%[4]d
listenAddresses.ready=%[2]s:%[5]d
listenAddresses.control=%[2]s:%[6]d
listenAddresses.directory=%[2]s:%[7]d
internalPortRange=%[8]d,%[9]d
seedNodes=%[10]s
bootstrap=%[11]v
countsAsLoss=false
limits.cpuShare=0.4
limits.cpuCores=1
limits.memoryMb=%[12]d
limits.fileDescriptors=4100
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
timingBounds.retryBudgetSlack=58
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
timingBounds.cacheWindowS=9.2
timingBounds.ttl_max_s=5
platformSettings.address=%[13]s
platformSettings.form=log
platformSettings.writesPerS=400
platformSettings.readsPerS=2000
platformSettings.maxRecordBytes=262144
platformSettings.maxCallBytes=2097152
`, h.name, h.ip, h.zone, f.ports.frontend, f.ports.ready, f.ports.control, f.ports.directory, f.ports.internal, f.ports.internal+3,
		strings.Join(seeds, ","), isFirst, f.memoryMB, f.store.address)
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

func (h *host) frontend() string  { return fmt.Sprintf("%s:%d", h.ip, h.fleet.ports.frontend) }
func (h *host) directory() string { return fmt.Sprintf("%s:%d", h.ip, h.fleet.ports.directory) }

// start starts the host's process.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.writeSettings(h.starts == 0); err != nil {
		return err
	}
	log, err := os.OpenFile(h.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	process := exec.Command(program)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.fleet.dir, "LANG=C", "MUSTARDDOOR_NODE_FILE=" + h.settings}
	process.Stdout, process.Stderr = log, log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	h.starts++
	h.wanted = true
	ended := make(chan struct{})
	h.process, h.ended = process, ended
	pid := process.Process.Pid
	h.fleet.record.add("%s started (start %d)", h.name, h.starts)
	go func() {
		err := process.Wait()
		h.fleet.record.add("%s ended: %v", h.name, err)
		close(ended)
	}()
	_ = pid
	return nil
}

// signal sends a signal to the host's process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Process.Signal(s)
	}
}

// kill kills the host's process and waits for its end.
func (h *host) kill() {
	h.mu.Lock()
	process, ended := h.process, h.ended
	h.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Kill()
	<-ended
}

// hasEnded reports whether the process has ended.
func (h *host) hasEnded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return true
	}
	select {
	case <-h.ended:
		return true
	default:
		return false
	}
}

// memory returns the memory of the process in bytes, without the pages of its program
// file.
func (h *host) memory() int {
	h.mu.Lock()
	process := h.process
	h.mu.Unlock()
	if process == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb << 10
		}
	}
	return 0
}

// start starts all hosts and waits until they are ready.
func (f *fleet) start(ctx context.Context) error {
	for _, h := range f.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range f.hosts {
		for !h.isReady() {
			if ctx.Err() != nil {
				return fmt.Errorf("%s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

var shortClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (h *host) isReady() bool {
	response, err := shortClient.Get(fmt.Sprintf("http://%s:%d/v1/readiness", h.ip, h.fleet.ports.ready))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// addresses asks the host's directory.
func (h *host) addresses() []string {
	response, err := shortClient.Get("http://" + h.directory() + "/v1/resolution?name=" + hostname + "&region=baja-norte&zone=" + h.zone)
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	decoded := struct {
		Addresses []string `json:"addresses"`
	}{}
	_ = json.NewDecoder(response.Body).Decode(&decoded)
	return decoded.Addresses
}

// stop ends all processes and removes the temporary folder.
func (f *fleet) stop() {
	for _, h := range f.hosts {
		h.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}
