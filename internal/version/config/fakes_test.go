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

// TestMain fixes the seed of drawn tests.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if set := flag.Lookup(name); set.Value.String() == set.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// memoryLog is a log in memory with fault switches.
type memoryLog struct {
	mu        sync.Mutex
	records   []platform.Record
	first     uint64
	retention time.Duration
	// down refuses everything, slow delays everything, and lose makes the next
	// appends uncertain after they took effect.
	down    bool
	slow    time.Duration
	lose    int
	changed chan struct{}
}

func newMemoryLog() *memoryLog {
	return &memoryLog{first: 1, changed: make(chan struct{})}
}

// set changes the switches.
func (l *memoryLog) set(change func()) {
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
	if l.lose > 0 {
		l.lose--
		return 0, &platform.UncertainError{Stream: batch.Stream, Since: offset, Cause: platform.ErrUnavailable}
	}
	return offset, nil
}

func (l *memoryLog) Read(ctx context.Context, part platform.Range) (platform.Page, error) {
	deadline := time.Now().Add(part.Wait)
	for {
		page, slow, changed, err := l.readOnce(part)
		if slow > 0 && !pause.For(ctx, slow) {
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
		return platform.Page{}, l.slow, nil, platform.ErrUnavailable
	}
	if part.From < l.first {
		page.Trimmed = true
	} else if part.From < next {
		page.Records = append(page.Records, l.records[part.From-1:min(next-1, part.From-1+uint64(part.MaxRecords))]...)
	}
	return page, l.slow, l.changed, nil
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

// put appends records as they are.
func (l *memoryLog) put(entries ...platform.Record) {
	for _, entry := range entries {
		_, _ = l.Append(context.Background(), platform.Batch{
			Records: []platform.AppendRecord{{ID: entry.ID, Data: entry.Data}},
		})
	}
}

// kinds counts the records of a kind.
func (l *memoryLog) kinds(kind Kind) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, entry := range l.records {
		if record, err := openUnchecked(entry.Data); err == nil && record.Kind == kind {
			count++
		}
	}
	return count
}

// network connects followers in memory. It is both a caller and, for each
// host, a router.
type network struct {
	mu       sync.Mutex
	handlers map[string]map[mesh.Kind]mesh.Handler
	cut      map[string]bool
}

func newNetwork() *network {
	return &network{handlers: map[string]map[mesh.Kind]mesh.Handler{}, cut: map[string]bool{}}
}

// router registers the handlers of one host.
type router struct {
	network *network
	host    string
}

func (r router) Handle(kind mesh.Kind, handler mesh.Handler) {
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
	cut := n.cut[address]
	n.mu.Unlock()
	if handler == nil || cut {
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

// peersOf lists the other hosts.
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

// quiet gives a logger that writes nowhere.
func quiet() logrus.FieldLogger {
	logger, _ := logtest.NewNullLogger()
	return logger
}

// newTestFollower gives a follower of a host on the log and the network.
func newTestFollower(host string, c *cast, log platform.Log, n *network) *Follower {
	f := NewFollower(Options{
		Host:         host,
		Keys:         c.keys,
		Log:          log,
		Caller:       n,
		Peers:        func() []string { return n.peersOf(host) },
		LogRetention: time.Hour,
		Logger:       quiet(),
	})
	f.Register(router{network: n, host: host})
	return f
}
