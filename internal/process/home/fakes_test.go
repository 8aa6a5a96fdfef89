package home

import (
	"context"
	"flag"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"mustarddoor/internal/connection/engine"
	"mustarddoor/internal/connection/mesh"
	"mustarddoor/internal/connection/platform"
	"mustarddoor/internal/process/identity"
)

// TestMain fixes the seed of the property-based tests.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if set := flag.Lookup(name); set.Value.String() == set.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// memoryLog is an in-memory stream that can be made unavailable.
type memoryLog struct {
	mu          sync.Mutex
	records     []platform.Record
	unavailable bool
	changed     chan struct{}
}

func newMemoryLog() *memoryLog { return &memoryLog{changed: make(chan struct{})} }

func (l *memoryLog) setUnavailable(unavailable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unavailable = unavailable
	l.wake()
}

func (l *memoryLog) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *memoryLog) Append(_ context.Context, batch platform.Batch) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return 0, platform.ErrUnavailable
	}
	offset := uint64(len(l.records)) + 1
	for i, record := range batch.Records {
		l.records = append(l.records, platform.Record{
			Offset: offset + uint64(i), ID: record.ID, Data: record.Data, AppendedMillis: time.Now().UnixMilli(),
		})
	}
	l.wake()
	return offset, nil
}

func (l *memoryLog) Read(ctx context.Context, part platform.Range) (platform.Page, error) {
	deadline := time.Now().Add(part.Wait)
	for {
		page, changed, err := l.readOnce(part)
		if err != nil || len(page.Records) > 0 || !time.Now().Before(deadline) {
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

func (l *memoryLog) readOnce(part platform.Range) (platform.Page, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return platform.Page{}, nil, platform.ErrUnavailable
	}
	from := min(part.From-1, uint64(len(l.records)))
	records := slices.Clone(l.records[from:])
	return platform.Page{Records: records, FirstOffset: 1, NextOffset: uint64(len(l.records)) + 1}, l.changed, nil
}

// switchLog forwards to the first log until it is cut, then to the second.
type switchLog struct {
	first, second *memoryLog
	cut           atomic.Bool
}

func (s *switchLog) current() *memoryLog {
	if s.cut.Load() {
		return s.second
	}
	return s.first
}

func (s *switchLog) Append(ctx context.Context, batch platform.Batch) (uint64, error) {
	return s.current().Append(ctx, batch)
}

func (s *switchLog) Read(ctx context.Context, part platform.Range) (platform.Page, error) {
	page, err := s.current().Read(ctx, part)
	if s.cut.Load() {
		return platform.Page{}, platform.ErrUnavailable
	}
	return page, err
}

// network connects managers in memory by their peer addresses.
type network struct {
	mu          sync.Mutex
	handlers    map[string]map[mesh.Kind]mesh.Handler
	unreachable map[string]bool
}

// router registers the handlers of one host.
type router struct {
	network *network
	address string
}

func (r router) Handle(kind mesh.Kind, handler mesh.Handler) {
	r.network.mu.Lock()
	defer r.network.mu.Unlock()
	if r.network.handlers[r.address] == nil {
		r.network.handlers[r.address] = map[mesh.Kind]mesh.Handler{}
	}
	r.network.handlers[r.address][kind] = handler
}

// setUnreachable makes a host unreachable.
func (n *network) setUnreachable(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unreachable[address] = true
}

func (n *network) Call(ctx context.Context, address string, kind mesh.Kind, _, response any) error {
	n.mu.Lock()
	handler, unreachable := n.handlers[address][kind], n.unreachable[address]
	n.mu.Unlock()
	if handler == nil || unreachable {
		return mesh.ErrUnreachable
	}
	reply, err := handler(ctx, identity.Incarnation{}, nil)
	if err != nil {
		return eris.Wrap(mesh.ErrRejected, err.Error())
	}
	return cbor.Unmarshal(mustEncode(reply), response)
}

// liveHosts is the set of live hosts that all managers see.
type liveHosts struct {
	mu   sync.Mutex
	list []Member
}

func (h *liveHosts) get() []Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.list)
}

func (h *liveHosts) set(list []Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list = list
}

func newTestManager(self identity.Host, log platform.Log, live *liveHosts, n *network) *Manager {
	logger, _ := logtest.NewNullLogger()
	m := NewManager(Options{
		Self: self, Log: log, RecordCodec: NewRecordCodec("a secret of the test fleet"), Members: live.get, Caller: n, Logger: logger,
	})
	m.Register(router{network: n, address: self.MeshAddress})
	return m
}

// errReplyLost is the error of an order whose reply was lost.
var errReplyLost = eris.New("reply lost")

// fakeEngine is an engine that accepts orders.
type fakeEngine struct {
	mu     sync.Mutex
	state  engine.State
	orders []engine.Order
	// receivedAt holds the times at which the orders arrived.
	receivedAt []time.Time
	// lostReplies is how many of the next orders take effect but lose their
	// reply; ignoredOrders is how many have no effect.
	lostReplies, ignoredOrders int
}

func (e *fakeEngine) State(context.Context, string) (engine.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state, nil
}

func (e *fakeEngine) Load(context.Context, string) (engine.Load, error) { return engine.Load{}, nil }

func (e *fakeEngine) Order(_ context.Context, _ string, order engine.Order) (engine.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, order)
	e.receivedAt = append(e.receivedAt, time.Now())
	if e.ignoredOrders > 0 {
		e.ignoredOrders--
		return engine.State{}, errReplyLost
	}
	e.state.Version = order.Value
	if e.lostReplies > 0 {
		e.lostReplies--
		return engine.State{}, errReplyLost
	}
	return e.state, nil
}

func (e *fakeEngine) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.orders)
}
