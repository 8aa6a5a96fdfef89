package config

import (
	"context"
	"flag"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"mustarddoor/internal/connection/mesh"
	"mustarddoor/internal/connection/platform"
	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/process/pause"
)

// TestMain sets a fixed seed for the property-based tests.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if set := flag.Lookup(name); set.Value.String() == set.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// memoryLog is an in-memory log with fault injection.
type memoryLog struct {
	mu        sync.Mutex
	records   []platform.Record
	first     uint64
	retention time.Duration
	// down makes all calls fail, readDelay delays all reads, and loseReplies is
	// the number of appends that take effect but are reported as uncertain.
	down        bool
	readDelay   time.Duration
	loseReplies int
	changed     chan struct{}
}

func newMemoryLog() *memoryLog {
	return &memoryLog{first: 1, changed: make(chan struct{})}
}

// configure runs change, which may set any field, under the lock.
func (l *memoryLog) configure(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

func (l *memoryLog) Append(ctx context.Context, batch platform.Batch) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, platform.ErrUnavailable
	}
	for _, record := range l.records {
		if batch.Since != 0 && record.ID == batch.Records[0].ID {
			return record.Offset, nil
		}
	}
	offset := uint64(len(l.records)) + 1
	for i, record := range batch.Records {
		l.records = append(l.records, platform.Record{
			Offset: offset + uint64(i), ID: record.ID, Data: record.Data, AppendedMillis: time.Now().UnixMilli(),
		})
	}
	close(l.changed)
	l.changed = make(chan struct{})
	if l.loseReplies > 0 {
		l.loseReplies--
		return 0, &platform.UncertainError{Stream: batch.Stream, Since: offset, Cause: platform.ErrUnavailable}
	}
	return offset, nil
}

func (l *memoryLog) Read(ctx context.Context, part platform.Range) (platform.Page, error) {
	deadline := time.Now().Add(part.Wait)
	for {
		page, delay, changed, err := l.readOnce(part)
		if delay > 0 && !pause.For(ctx, delay) {
			return platform.Page{}, platform.ErrUnavailable
		}
		if err != nil || page.Trimmed || len(page.Records) > 0 || !time.Now().Before(deadline) {
			return page, err
		}
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-ctx.Done():
			return platform.Page{}, platform.ErrUnavailable
		case <-changed:
		case <-timer.C:
		}
	}
}

func (l *memoryLog) readOnce(part platform.Range) (platform.Page, time.Duration, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	next := uint64(len(l.records)) + 1
	page := platform.Page{FirstOffset: l.first, NextOffset: next}
	if l.down {
		return platform.Page{}, l.readDelay, nil, platform.ErrUnavailable
	}
	if part.From < l.first {
		page.Trimmed = true
	} else if part.From < next {
		page.Records = append(page.Records, l.records[part.From-1:min(next-1, part.From-1+uint64(part.MaxRecords))]...)
	}
	return page, l.readDelay, l.changed, nil
}

func (l *memoryLog) expire() {
	for l.retention > 0 && l.first <= uint64(len(l.records)) {
		age := time.Now().UnixMilli() - l.records[l.first-1].AppendedMillis
		if age <= l.retention.Milliseconds() {
			return
		}
		l.first++
	}
}

// appendAll appends records unchanged.
func (l *memoryLog) appendAll(entries ...platform.Record) {
	for _, entry := range entries {
		_, _ = l.Append(context.Background(), platform.Batch{
			Records: []platform.AppendRecord{{ID: entry.ID, Data: entry.Data}},
		})
	}
}

// countKind counts the records of a kind.
func (l *memoryLog) countKind(kind Kind) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, entry := range l.records {
		if record, err := decodeUnverified(entry.Data); err == nil && record.Kind == kind {
			count++
		}
	}
	return count
}

// network connects followers in memory. It implements mesh.Caller and provides a
// router for each host.
type network struct {
	mu          sync.Mutex
	handlers    map[string]map[mesh.Kind]mesh.Handler
	unreachable map[string]bool
}

func newNetwork() *network {
	return &network{handlers: map[string]map[mesh.Kind]mesh.Handler{}, unreachable: map[string]bool{}}
}

// hostRouter registers the handlers of one host.
type hostRouter struct {
	network *network
	host    string
}

func (r hostRouter) Handle(kind mesh.Kind, handler mesh.Handler) {
	r.network.mu.Lock()
	defer r.network.mu.Unlock()
	if r.network.handlers[r.host] == nil {
		r.network.handlers[r.host] = map[mesh.Kind]mesh.Handler{}
	}
	r.network.handlers[r.host][kind] = handler
}

func (n *network) Call(ctx context.Context, address string, kind mesh.Kind, request, response any) error {
	n.mu.Lock()
	handler := n.handlers[address][kind]
	unreachable := n.unreachable[address]
	n.mu.Unlock()
	if handler == nil || unreachable {
		return mesh.ErrUnreachable
	}
	body, err := cbor.Marshal(request)
	if err != nil {
		return err
	}
	reply, err := handler(ctx, identity.Incarnation{}, body)
	if err != nil {
		return eris.Wrap(mesh.ErrRejected, err.Error())
	}
	encoded, err := cbor.Marshal(reply)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(encoded, response)
}

// peersOf returns the names of the other hosts.
func (n *network) peersOf(host string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	names := []string{}
	for name := range n.handlers {
		if name != host {
			names = append(names, name)
		}
	}
	return names
}

// nullLogger returns a logger without output.
func nullLogger() logrus.FieldLogger {
	logger, _ := logtest.NewNullLogger()
	return logger
}

// newTestFollower returns a follower that is connected to the log and the network.
func newTestFollower(host string, c *fixture, log platform.Log, n *network) *Follower {
	f := NewFollower(Options{
		Host:         host,
		Keys:         c.keys,
		Log:          log,
		Caller:       n,
		Peers:        func() []string { return n.peersOf(host) },
		LogRetention: time.Hour,
		Logger:       nullLogger(),
	})
	f.Register(hostRouter{network: n, host: host})
	return f
}
