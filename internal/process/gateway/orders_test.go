package gateway

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/autoscale"
	"mustarddoor/internal/process/decisionlog"
	"mustarddoor/internal/process/dispatch"
	"mustarddoor/internal/process/duty"
	"mustarddoor/internal/process/fleet"
	"mustarddoor/internal/process/keyed"
	"mustarddoor/internal/process/peers"
	"mustarddoor/internal/version/routing"
)

// fakeDuties is a holder and a platform that record what they are asked for.
type fakeDuties struct {
	mu     sync.Mutex
	token  uint64 // 0: another host holds the duties
	values map[string][]byte
	events []string
	// saveErr and callErr are the outcomes of the next calls.
	saveErr, callErr error
	// present is the number of endpoints; accepted orders change it at once.
	present int
	// onSave runs after a value was saved.
	onSave func()
}

func (f *fakeDuties) Grant() (duty.Grant, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return duty.Grant{Holder: "h", Token: f.token}, f.token > 0
}

func (f *fakeDuties) Save(_ context.Context, key string, value []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.saveErr != nil {
		return f.saveErr
	}
	f.values[key] = value
	f.events = append(f.events, "save")
	if f.onSave != nil {
		f.onSave()
	}
	return nil
}

func (f *fakeDuties) Load(key string) ([]byte, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	value, found := f.values[key]
	return value, found
}

func (f *fakeDuties) ReportUsage(context.Context, duty.Grant, duty.UsageReport) error { return nil }

func (f *fakeDuties) OrderEndpoints(_ context.Context, grant duty.Grant, order duty.EndpointOrder) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, fmt.Sprintf("%d: %s %s %d", grant.Token, order.Service, order.Domain, order.Count))
	if f.callErr == nil {
		f.present = order.Count
	}
	return f.callErr
}

// takeEvents returns the events since the last call.
func (f *fakeDuties) takeEvents() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	events := f.events
	f.events = nil
	return events
}

// orderTest drives a runner second by second for one service in one domain.
type orderTest struct {
	*fakeDuties
	runner *orderRunner
	demand float64
	now    time.Time
}

func newOrderTest(isFenced bool) *orderTest {
	f := &fakeDuties{token: 5, values: map[string][]byte{}, present: 4}
	test := &orderTest{fakeDuties: f, demand: 10, now: time.Unix(1_700_000_000, 0)}
	test.restart(isFenced)
	return test
}

// restart replaces the runner by that of another host.
func (o *orderTest) restart(isFenced bool) {
	registry := metrics.NewRegistry()
	g := &Gateway{
		settings: Settings{Duties: DutySettings{OrdersEndpoints: true, IsFenced: isFenced}}, ports: Ports{Duties: o.fakeDuties},
		log: decisionlog.New(io.Discard, registry), registry: registry,
	}
	o.runner = newOrderRunner(g, o.fakeDuties)
	o.runner.now = func() time.Time { return o.now }
	o.runner.observe = func() []scaledService {
		return []scaledService{{
			name: "svc", demand: autoscale.Demand{Slots: o.demand, Hosts: 1},
			state: autoscale.Service{
				Scaling:          routing.Scaling{MinEndpoints: 1, MaxEndpoints: 20, StartDuration: 8 * time.Second},
				SlotsPerEndpoint: 10, Domains: []autoscale.Domain{{Name: "z", Present: o.present}},
			},
		}}
	}
}

// pass runs rounds for a number of seconds and returns the events.
func (o *orderTest) pass(seconds int) []string {
	for range seconds {
		o.now = o.now.Add(time.Second)
		o.runner.round(context.Background())
	}
	return o.takeEvents()
}

func TestOrderIsSavedAndSentOnce(t *testing.T) {
	o := newOrderTest(true)
	assert.Equal(t, len(o.pass(30)), 0)
	o.demand = 70
	assert.DeepEqual(t, o.pass(30), []string{"save", "5: svc z 10"})
	states := o.runner.states()
	assert.Equal(t, len(states), 1)
	assert.Equal(t, states[0].Count, 10)
	assert.Assert(t, !states[0].Waiting)
}

func TestOnlyHolderOrders(t *testing.T) {
	o := newOrderTest(true)
	o.token, o.demand = 0, 70
	assert.Equal(t, len(o.pass(10)), 0)
	// The duties are lost while the order is being recorded.
	o.token = 6
	o.onSave = func() { o.token = 0 }
	assert.DeepEqual(t, o.pass(10), []string{"save"})
	assert.Equal(t, len(o.runner.states()), 0)
}

func TestOrderWaitsForRecord(t *testing.T) {
	o := newOrderTest(true)
	o.demand, o.saveErr = 70, keyed.ErrUnanswered
	assert.Equal(t, len(o.pass(10)), 0)
	o.saveErr = nil
	assert.DeepEqual(t, o.pass(10), []string{"save", "5: svc z 10"})
}

func TestRefusedOrderIsRepeated(t *testing.T) {
	o := newOrderTest(true)
	o.demand, o.callErr = 70, duty.ErrRefused
	assert.DeepEqual(t, o.pass(4), []string{"save", "5: svc z 10", "5: svc z 10", "5: svc z 10"})
	o.callErr = nil
	assert.DeepEqual(t, o.pass(40), []string{"5: svc z 10"})
}

// An order without a response may be carried out after a newer one, which is therefore
// sent once more.
func TestUnansweredOrderIsSuperseded(t *testing.T) {
	o := newOrderTest(true)
	o.demand, o.callErr = 70, duty.ErrUnanswered
	assert.DeepEqual(t, o.pass(1), []string{"save", "5: svc z 10"})
	o.demand, o.callErr = 100, nil
	assert.DeepEqual(t, o.pass(5), []string{"save", "5: svc z 15"})
	assert.DeepEqual(t, o.pass(60), []string{"5: svc z 15"})
}

// An order without a response that was sent again with the same number leaves nothing open,
// unless another number follows while it may still be carried out.
func TestUnansweredOrderIsRepeated(t *testing.T) {
	for _, follows := range []bool{false, true} {
		o := newOrderTest(true)
		o.demand, o.callErr = 70, duty.ErrUnanswered
		assert.DeepEqual(t, o.pass(1), []string{"save", "5: svc z 10"})
		o.callErr = nil
		assert.DeepEqual(t, o.pass(3), []string{"5: svc z 10"})
		want := []string(nil)
		if follows {
			o.demand, want = 100, []string{"save", "5: svc z 18", "5: svc z 18"}
		}
		assert.DeepEqual(t, o.pass(40), want)
	}
}

func TestFencedHolderStops(t *testing.T) {
	o := newOrderTest(true)
	o.demand, o.callErr = 70, eris.Wrap(duty.ErrFenced, "status 409")
	assert.DeepEqual(t, o.pass(10), []string{"save", "5: svc z 10"})
	o.callErr, o.token = nil, 9
	assert.DeepEqual(t, o.pass(10), []string{"9: svc z 10"})
}

// A successor sends the last order again, since its predecessor may not have. Where old
// tokens are not refused, an order of the predecessor may be carried out after that.
func TestSuccessorReadsOrderBack(t *testing.T) {
	for _, test := range []struct {
		isFenced bool
		present  int
		want     []string
	}{
		{true, 10, []string{"7: svc z 10"}},
		{false, 10, []string{"7: svc z 10", "7: svc z 10"}},
		// The record may be older than the last order.
		{true, 14, []string{"save", "7: svc z 14"}},
	} {
		o := newOrderTest(test.isFenced)
		o.demand = 70
		assert.DeepEqual(t, o.pass(1), []string{"save", "5: svc z 10"})
		o.restart(test.isFenced)
		o.token, o.present = 7, test.present
		assert.DeepEqual(t, o.pass(40), test.want)
	}
}

func TestUnreadableRecord(t *testing.T) {
	o := newOrderTest(true)
	o.values[orderKeyPrefix+"svc"] = []byte("x")
	o.demand = 70
	assert.DeepEqual(t, o.pass(10), []string{"save", "5: svc z 10"})
}

// Without the duty or a holder, nothing runs and messages stay as they were.
func TestNoOrders(t *testing.T) {
	for _, g := range []*Gateway{
		{ports: Ports{Duties: &fakeDuties{}}},
		{settings: Settings{Duties: DutySettings{OrdersEndpoints: true}}},
	} {
		assert.Assert(t, newOrderRunner(g, &fakeDuties{}) == nil)
	}
	g := &Gateway{settings: Settings{Duties: DutySettings{OrdersEndpoints: true}}, ports: Ports{Duties: &fakeDuties{}}}
	r := newOrderRunner(g, nil)
	assert.Assert(t, r == nil && r.demands() == nil && r.states() == nil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.NilError(t, r.run(ctx))
}

// The state of a service counts the demand of all hosts and the endpoints by domain.
func TestObserveServices(t *testing.T) {
	registry := metrics.NewRegistry()
	g := &Gateway{
		settings: Settings{Duties: DutySettings{OrdersEndpoints: true}}, ports: Ports{Duties: &fakeDuties{}},
		log: decisionlog.New(io.Discard, registry), registry: registry,
		dispatcher: dispatch.New("z1", nil, metrics.NewCounter(), func(dispatch.EndpointChange) {}), membership: peers.NewMembership(peers.Host{}),
	}
	r := newOrderRunner(g, &fakeDuties{})
	assert.Equal(t, len(r.observe()), 0)
	scaling := routing.Scaling{MinEndpoints: 1, MaxEndpoints: 9}
	table := routing.NewTable(routing.Config{Services: []routing.Service{{Name: "svc", Scaling: &scaling}, {Name: "other"}}})
	g.table.Store(table)
	g.dispatcher.SetRoutingTable(table)
	for i, domain := range []string{"z1", "z1", "z2", "z2", "z3"} {
		entry := fleet.Entry{ID: fmt.Sprint("e", i), Service: "svc", Domain: domain, Address: "127.0.0.1:1", Slots: 4, Draining: i == 3}
		if i == 1 {
			entry.ColdFor = time.Minute
		}
		g.dispatcher.SetEntry(entry)
	}
	g.dispatcher.SetExcludedDomains(map[string]bool{"z3": true})
	want := []autoscale.Domain{{Name: "z1", Present: 2}, {Name: "z2", Present: 1, Leaving: 1}, {Name: "z3", Present: 1, IsEvacuated: true}}
	services := r.observe()
	assert.Equal(t, len(services), 1)
	assert.DeepEqual(t, services[0].state.Domains, want)
	assert.Equal(t, services[0].state.SlotsPerEndpoint, 4.0)
	// A domain that has lost its endpoints is still one.
	g.dispatcher.RemoveEntry("e4", false)
	want[2].Present = 0
	assert.DeepEqual(t, r.observe()[0].state.Domains, want)

	demand := totalDemand("svc", dispatch.ServiceDemand{Slots: 1.5, Queued: 2}, []peers.Status{
		{Demands: []peers.ServiceDemand{{Service: fleet.HashID("other"), MilliSlots: 9000}, {Service: fleet.HashID("svc"), MilliSlots: 2500, Queued: 3}}}, {},
	})
	assert.Equal(t, demand, autoscale.Demand{Slots: 4, Queued: 5, Hosts: 3})
	assert.Assert(t, slices.Equal(r.demands(), nil))
}
