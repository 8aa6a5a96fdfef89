package daemon

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"mustarddoor/internal/process/telemetry"
)

// idlePeriod is how long idle daemons are measured.
const idlePeriod = 5 * time.Second

// processUsage is the resource usage of one process since its start.
type processUsage struct {
	ticks, resident, member, mesh float64
}

// idleDaemon is a daemon that runs in its own process.
type idleDaemon struct {
	pid   int
	admin string
}

// BenchmarkIdle measures daemons without requests: processor time, resident
// memory and bytes sent, as means over the processes. Each daemon runs in its
// own process, apart from the host that publishes the configuration, which runs
// in the test process and is not measured.
func BenchmarkIdle(b *testing.B) {
	binary := filepath.Join(b.TempDir(), "mustarddoord")
	output, err := exec.Command("go", "build", "-o", binary, "mustarddoor/cmd/mustarddoord").CombinedOutput()
	assert.NilError(b, err, "%s", output)
	for _, size := range []struct{ hosts, endpoints int }{{3, 1}, {6, 1}, {9, 1}, {3, 23}, {6, 23}, {9, 23}, {6, 12}, {6, 46}} {
		b.Run(fmt.Sprintf("hosts=%d/endpoints=%d", size.hosts, size.endpoints), func(b *testing.B) {
			for b.Loop() {
				measureIdle(b, binary, size.hosts, size.endpoints)
			}
		})
	}
}

func measureIdle(b *testing.B, binary string, hosts, endpoints int) {
	daemons := startIdle(b, binary, hosts, endpoints)
	before := make([]processUsage, len(daemons))
	for i, d := range daemons {
		before[i] = d.usage(b)
	}
	// The sleep is the measured interval; no condition is waited for.
	time.Sleep(idlePeriod)
	var sum processUsage
	for i, d := range daemons {
		after := d.usage(b)
		sum.ticks += after.ticks - before[i].ticks
		sum.member += after.member - before[i].member
		sum.mesh += after.mesh - before[i].mesh
		sum.resident += after.resident
	}
	const ticksPerSecond = 100
	count := float64(len(daemons))
	perSecond := count * idlePeriod.Seconds()
	b.ReportMetric(100*sum.ticks/ticksPerSecond/perSecond, "%core")
	b.ReportMetric(sum.resident/count/1024, "MiB-resident")
	b.ReportMetric(sum.member/perSecond, "member-B/s")
	b.ReportMetric(sum.mesh/perSecond, "mesh-B/s")
}

// startIdle starts the daemons and waits until a bundle is in force and the
// homes are spread over the hosts.
func startIdle(b *testing.B, binary string, hosts, endpoints int) []idleDaemon {
	f := &fleet{log: startLogService(b), operators: map[string]string{}}
	f.publisher = f.addOperator(b, "alma")
	f.approver = f.addOperator(b, "berta")
	for range hosts {
		f.meshAddresses = append(f.meshAddresses, freeAddress(b))
	}
	daemons := []idleDaemon{}
	for i := range hosts - 1 {
		daemons = append(daemons, f.startDaemon(b, binary, i+1))
	}
	first := f.startHost(b, "a", f.meshAddresses[0])
	// Engines start last: an engine started earlier could take a port assigned
	// to a daemon that does not use it yet.
	awaitPeers(b, first, hosts-1)
	bundle := hopBundle(serveHTTP(b, http.HandlerFunc(hopEngine)))
	bundle.Endpoints[0].ColdSlots, bundle.Endpoints[0].MaxSlots = 8, 64
	for i := 1; i < endpoints; i++ {
		endpoint := bundle.Endpoints[0]
		endpoint.Name, endpoint.Address = fmt.Sprint("llm-", i+1), serveHTTP(b, http.HandlerFunc(hopEngine))
		bundle.Endpoints = append(bundle.Endpoints, endpoint)
	}
	f.roll(b, first, bundle)
	poll.WaitOn(b, func(poll.LogT) poll.Result {
		if held := len(first.homes.HeldEndpoints()); first.notReadyReason() != "" || held > 2*endpoints/hosts+1 {
			return poll.Continue("%s, %d homes", first.notReadyReason(), held)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
	return daemons
}

func awaitPeers(b *testing.B, h *host, peers int) {
	poll.WaitOn(b, func(poll.LogT) poll.Result {
		if live := len(h.Live()); live < peers {
			return poll.Continue("%d peers", live)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
}

func (f *fleet) startDaemon(b *testing.B, binary string, number int) idleDaemon {
	admin := freeAddress(b)
	settings := map[string]any{
		"host":    map[string]string{"name": fmt.Sprint("b", number), "domain": "domain-b", "region": "region"},
		"address": freeAddress(b), "mesh_address": f.meshAddresses[number], "admin_address": admin,
		"peers": f.meshAddresses, "platform": map[string]string{"log": f.log}, "operators": f.operators,
		"fleet_secret": "benchmark-fleet-secret",
	}
	text, err := json.Marshal(settings)
	assert.NilError(b, err)
	file := filepath.Join(b.TempDir(), "settings.json")
	assert.NilError(b, os.WriteFile(file, text, 0o600))
	command := exec.Command(binary, "--settings", file)
	assert.NilError(b, command.Start())
	b.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGKILL)
		_ = command.Wait()
	})
	return idleDaemon{pid: command.Process.Pid, admin: admin}
}

func (d idleDaemon) usage(b *testing.B) processUsage {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.pid))
	assert.NilError(b, err)
	// Fields 14 and 15 are the user and system ticks, field 24 is the resident
	// set in pages. Field 2, the name, may hold spaces and ends with a
	// parenthesis.
	_, after, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(after)
	number := func(field int) float64 {
		value, err := strconv.ParseFloat(fields[field-3], 64)
		assert.NilError(b, err)
		return value
	}
	usage := processUsage{ticks: number(14) + number(15), resident: number(24) * float64(os.Getpagesize()) / 1024}
	resp, err := http.Get("http://" + d.admin + "/metrics")
	assert.NilError(b, err)
	defer resp.Body.Close()
	var values []telemetry.Value
	assert.NilError(b, json.NewDecoder(resp.Body).Decode(&values))
	for _, value := range values {
		switch value.Name {
		case "member.sent_bytes":
			usage.member = float64(value.Count)
		case "mesh.sent_bytes":
			usage.mesh = float64(value.Count)
		}
	}
	return usage
}
