package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"mustarddoor/internal/process/duty"
	"mustarddoor/internal/process/keyed"
)

// dutyStore is a store with one partition.
type dutyStore struct {
	keyed.Store
	mu      sync.Mutex
	records []keyed.Record
}

func (s *dutyStore) Newest(context.Context, keyed.Partition) (keyed.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := keyed.Snapshot{Position: keyed.Position{Era: 1, Offset: uint64(len(s.records))}, Values: map[string][]byte{}}
	for _, record := range s.records {
		snapshot.Values[record.Key] = record.Value
	}
	return snapshot, nil
}

func (s *dutyStore) Read(_ context.Context, _ keyed.Partition, from keyed.Position, _ time.Duration) (keyed.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return keyed.Batch{Records: s.records[from.Offset:], Next: keyed.Position{Era: 1, Offset: uint64(len(s.records))}}, nil
}

func (s *dutyStore) Append(_ context.Context, _ keyed.Partition, record keyed.Record, expectedEnd *uint64) (keyed.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *expectedEnd != uint64(len(s.records)) {
		return keyed.Position{}, keyed.ErrConflict
	}
	s.records = append(s.records, record)
	return keyed.Position{Era: 1, Offset: uint64(len(s.records))}, nil
}

// dutyPlatform accepts reports; every other one is not answered.
type dutyPlatform struct {
	duty.Platform
	mu      sync.Mutex
	calls   int
	holders []duty.Grant
	windows map[int64]map[string]int64
	// failsFor is the host whose calls are refused, accepted the last one whose call is not.
	failsFor, accepted string
	// differing counts the reports that differ from an earlier one of their window.
	differing int
}

func (p *dutyPlatform) ReportUsage(_ context.Context, grant duty.Grant, report duty.UsageReport) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if grant.Holder == p.failsFor {
		return duty.ErrRefused
	}
	p.accepted = grant.Holder
	p.calls++
	p.holders = append(p.holders, grant)
	if known, found := p.windows[report.Window]; found && known["a"] != report.Counts["a"] {
		p.differing++
	}
	p.windows[report.Window] = report.Counts
	if p.calls%2 == 1 {
		return duty.ErrUnanswered
	}
	return nil
}

func (p *dutyPlatform) total() (total int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, counts := range p.windows {
		total += counts["a"]
	}
	return total
}

func (p *dutyPlatform) lastHolder() duty.Grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.holders) == 0 {
		return duty.Grant{}
	}
	return p.holders[len(p.holders)-1]
}

var testDuties = DutySettings{
	ReportsUsage: true, IsFenced: true, LeaseDuration: 600 * time.Millisecond,
	UsageWindow: 500 * time.Millisecond, UsageLateness: 4 * time.Second,
}

// startDutyHost runs what a host needs for the duties, until stop is called. It has run
// for some time already.
func startDutyHost(t *testing.T, name string, seeds []netip.AddrPort, settings DutySettings, store keyed.Store, platform duty.Platform) (g *Gateway, stop func()) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	g, err = New(
		Settings{Name: name, Domain: "z" + name, PeerAddress: address, Seeds: seeds, Duties: settings},
		Ports{Store: store, Topics: Topics{Operator: "op", Endpoints: "endpoints", Hosts: "hosts", Duties: "duties"}, Duties: platform, Metrics: metrics.NewRegistry(), Log: io.Discard},
	)
	assert.NilError(t, err)
	g.startedAt = g.startedAt.Add(-minWriterUptime)
	mux := http.NewServeMux()
	g.duties.addHandlers(mux)
	server := &http.Server{Handler: mux}
	ctx, cancel := context.WithCancel(t.Context())
	running := sync.WaitGroup{}
	running.Go(func() { _ = server.Serve(listener) })
	start := func(f func(context.Context) error) { running.Go(func() { _ = f(ctx) }) }
	start(g.transport.Receive)
	start(g.transport.Send)
	g.duties.addActors(start)
	stop = sync.OnceFunc(func() {
		cancel()
		_ = server.Close()
		running.Wait()
	})
	t.Cleanup(stop)
	return g, stop
}

// The counts of all hosts add up in the reports of one holder. When it ends, another one
// reports what both know, with a higher token.
func TestUsageReports(t *testing.T) {
	store, platform := &dutyStore{}, &dutyPlatform{windows: map[int64]map[string]int64{}}
	first, stopFirst := startDutyHost(t, "1", nil, testDuties, store, platform)
	seeds := []netip.AddrPort{first.settings.PeerAddress}
	second, stopSecond := startDutyHost(t, "2", seeds, testDuties, store, platform)
	awaitTotal := func(want int64) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if got := platform.total(); got != want {
				return poll.Continue("%d requests are reported, want %d", got, want)
			}
			return poll.Success()
		}, poll.WithTimeout(15*time.Second))
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if platform.lastHolder().Holder == "" {
			return poll.Continue("nothing is reported")
		}
		return poll.Success()
	}, poll.WithTimeout(15*time.Second))
	for range 5 {
		first.duties.countRun()("a")
		second.duties.countRun()("a")
	}
	second.duties.countRun()("a")
	awaitTotal(11)
	holder := platform.lastHolder()
	survivor, stopHolder := second, stopFirst
	if holder.Holder == "2" {
		survivor, stopHolder = first, stopSecond
	}
	assert.Equal(t, survivor.State().Duties.Holder, holder.Holder)
	stopHolder()
	survivor.duties.countRun()("a")
	awaitTotal(12)
	next := platform.lastHolder()
	assert.Assert(t, next.Holder != holder.Holder && next.Token > holder.Token)
	state := survivor.State().Duties
	assert.Assert(t, state.Holder == next.Holder && state.Token == next.Token && state.HeldMillis > 0)
	platform.mu.Lock()
	defer platform.mu.Unlock()
	assert.Equal(t, platform.differing, 0)
}

// A holder that does not reach the platform lets another host take over.
func TestHolderYields(t *testing.T) {
	store, platform := &dutyStore{}, &dutyPlatform{windows: map[int64]map[string]int64{}}
	first, _ := startDutyHost(t, "1", nil, testDuties, store, platform)
	startDutyHost(t, "2", []netip.AddrPort{first.settings.PeerAddress}, testDuties, store, platform)
	awaitOther := func(other string) (accepted string) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			platform.mu.Lock()
			defer platform.mu.Unlock()
			if accepted = platform.accepted; accepted == other {
				return poll.Continue("reports come from %q", accepted)
			}
			return poll.Success()
		}, poll.WithTimeout(15*time.Second))
		return accepted
	}
	holder := awaitOther("")
	platform.mu.Lock()
	platform.failsFor = holder
	platform.mu.Unlock()
	awaitOther(holder)
}

// If the settings name no duties, nothing is counted, sent to other hosts, read or written.
func TestNoDuties(t *testing.T) {
	withPlatform := func(platform duty.Platform, settings DutySettings) {
		store := &dutyStore{}
		g, stop := startDutyHost(t, "1", nil, settings, store, platform)
		time.Sleep(50 * time.Millisecond)
		assert.Assert(t, g.duties == nil && g.DutyHolder() == nil)
		assert.Assert(t, g.duties.countRun() == nil && !g.localStatus(true).CountsUsage)
		state, err := json.Marshal(g.State())
		assert.NilError(t, err)
		assert.Assert(t, !bytes.Contains(state, []byte("duties")))
		g.duties.stop()
		stop()
		assert.Equal(t, len(store.records), 0)
	}
	withPlatform(&dutyPlatform{}, DutySettings{UsageWindow: time.Second, LeaseDuration: time.Second})
	withPlatform(nil, testDuties)
}
