package dispatch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/upstream"
	"mustarddoor/internal/process/dispatch"
	"mustarddoor/internal/process/fleet"
	"mustarddoor/internal/version/routing"
)

// fullService is a service with a fast and a slow endpoint of one slot each, both taken.
type fullService struct {
	*dispatch.Dispatcher
	running map[string]*dispatch.Lease
	// served holds the endpoint of each request that was queued.
	served map[string]string
}

const (
	fastToken = 2 * time.Millisecond
	slowToken = 25 * time.Millisecond
)

func newFullService(t *testing.T, options dispatch.Options) *fullService {
	s := &fullService{
		Dispatcher: dispatch.New("z", upstream.Dial, metrics.NewCounter(), func(dispatch.EndpointChange) {}),
		running:    map[string]*dispatch.Lease{}, served: map[string]string{},
	}
	s.Use(options, metrics.NewRegistry())
	for _, id := range []string{"fast", "slow"} {
		s.SetEntry(fleet.Entry{ID: id, Service: "s", Address: "10.9.9.9:1", Domain: "z", Slots: 1})
	}
	for range 2 {
		lease, err := s.Acquire(context.Background(), job(5, 10, "filler"))
		assert.NilError(t, err)
		s.running[lease.Endpoint] = lease
	}
	for range 50 {
		s.running["fast"].RecordInterTokenLatency(fastToken)
		s.running["slow"].RecordInterTokenLatency(slowToken)
	}
	return s
}

func job(priority int, promptTokens float64, name string) *dispatch.Job {
	route := &routing.Route{
		Name: name, Kind: routing.KindStream, TargetLatency: 600 * time.Millisecond, TargetGap: 400 * time.Millisecond, Timeout: 10 * time.Second,
	}
	return &dispatch.Job{Service: "s", Route: route, Priority: priority, PromptTokens: promptTokens, OutputTokens: 20, TimeLeft: 10 * time.Second}
}

// enqueue lets a request wait for a slot.
func (s *fullService) enqueue(name string, priority int, promptTokens float64) {
	go func() {
		if lease, err := s.Acquire(context.Background(), job(priority, promptTokens, name)); err == nil {
			s.served[name] = lease.Endpoint
		}
	}()
	synctest.Wait()
}

func (s *fullService) release(endpoint string) {
	s.running[endpoint].Release(fleet.ResultSuccess)
	synctest.Wait()
}

// A long prompt goes before a short one. When the slow endpoint, at which the long
// prompt would be late, has a slot, the short one gets it if slots are matched; the long
// one then gets the fast one. Otherwise the long prompt gets the slow slot.
func TestMatchSlots(t *testing.T) {
	for isMatched, want := range map[bool]map[string]string{
		true:  {"long": "fast", "short": "slow"},
		false: {"long": "slow", "short": "fast"},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := newFullService(t, dispatch.Options{MatchSlots: isMatched})
			s.enqueue("long", 0, 6000)
			s.enqueue("short", 1, 300)
			s.release("slow")
			s.release("fast")
			assert.DeepEqual(t, s.served, want)
		})
	}
}

// A request that fits no free slot takes one nevertheless before it would be refused.
func TestUnfitSlotIsTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFullService(t, dispatch.Options{MatchSlots: true})
		s.enqueue("long", 0, 6000)
		s.release("slow")
		assert.Equal(t, len(s.served), 0)
		for range 50 {
			time.Sleep(10 * time.Millisecond)
			s.Tick()
		}
		synctest.Wait()
		assert.DeepEqual(t, s.served, map[string]string{"long": "slow"})
	})
}

// A request that arrives while another one waits for a slot that fits it takes a slot
// that the other one leaves.
func TestArrivalTakesUnfitSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFullService(t, dispatch.Options{MatchSlots: true})
		s.enqueue("long", 0, 6000)
		s.release("slow")
		s.enqueue("short", 1, 300)
		assert.DeepEqual(t, s.served, map[string]string{"short": "slow"})
		s.release("fast")
	})
}
