package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/upstream"
	"mustarddoor/internal/process/dispatch"
	"mustarddoor/internal/process/fleet"
)

// unevenBurst is an overload of a service whose endpoints differ six times in speed, with
// long and short prompts. A prompt is processed in the time of one output token for every
// 200 of its tokens, and holds up the other streams of its endpoint meanwhile.
type unevenBurst struct {
	*dispatch.Dispatcher

	mu     sync.Mutex
	random *rand.Rand
	// inFlight holds the requests that an endpoint runs.
	inFlight map[string]map[*stream]bool
	kinds    []*burstKind
}

// burstKind is a kind of request with the counts of those asked, served and on time.
type burstKind struct {
	name                  string
	priority              int
	perSecond             float64
	prompt, output        float64
	asked, served, onTime int
}

// stream is a request at an endpoint. isLate is set once another prompt has held it up for
// longer than the target gap.
type stream struct{ isLate bool }

const (
	burstTarget  = 600 * time.Millisecond
	burstGap     = 400 * time.Millisecond
	burstLength  = 5 * time.Second
	slotsOfEach  = 7
	promptRatio  = 200.0
	outputSpread = 0.5
)

// tokenTimes are the endpoints' times for an output token.
var tokenTimes = []time.Duration{
	2500 * time.Microsecond, 2500 * time.Microsecond, 2500 * time.Microsecond, 2500 * time.Microsecond,
	5 * time.Millisecond, 5 * time.Millisecond, 5 * time.Millisecond,
	14 * time.Millisecond, 14 * time.Millisecond, 14 * time.Millisecond,
}

func playUnevenBurst(options dispatch.Options) *unevenBurst {
	b := &unevenBurst{
		Dispatcher: dispatch.New("z", upstream.Dial, metrics.NewCounter(), func(dispatch.EndpointChange) {}),
		random:     rand.New(rand.NewPCG(5, 6)), inFlight: map[string]map[*stream]bool{},
		kinds: []*burstKind{
			{name: "long", priority: 0, perSecond: 35, prompt: 6600, output: 385},
			{name: "short", priority: 1, perSecond: 40, prompt: 630, output: 280},
			{name: "brief", priority: 2, perSecond: 55, prompt: 1800, output: 20},
		},
	}
	b.Use(options, metrics.NewRegistry())
	for i := range tokenTimes {
		id := fmt.Sprint(i)
		b.SetEntry(fleet.Entry{ID: id, Service: "s", Address: "10.9.9.9:1", Domain: "z", Slots: slotsOfEach})
		b.inFlight[id] = map[*stream]bool{}
	}
	b.learnSpeeds()
	for _, kind := range b.kinds {
		go b.press(kind)
	}
	for range int(burstLength/(10*time.Millisecond)) + 100 {
		time.Sleep(10 * time.Millisecond)
		b.Tick()
	}
	time.Sleep(time.Minute) // all streams end
	synctest.Wait()
	return b
}

// learnSpeeds occupies every slot once.
func (b *unevenBurst) learnSpeeds() {
	var leases []*dispatch.Lease
	for range len(tokenTimes) * slotsOfEach {
		if lease, err := b.Acquire(context.Background(), job(5, 10, "filler")); err == nil {
			leases = append(leases, lease)
		}
	}
	for _, lease := range leases {
		for range 10 {
			lease.RecordInterTokenLatency(tokenTimes[lease.Endpoint[0]-'0'])
		}
		lease.Release(fleet.ResultNeutral)
	}
}

// press sends a kind's requests.
func (b *unevenBurst) press(kind *burstKind) {
	for end := time.Now().Add(burstLength); time.Now().Before(end); {
		b.mu.Lock()
		pause := time.Duration(2 * b.random.Float64() / kind.perSecond * float64(time.Second))
		size := 1 - outputSpread + 2*outputSpread*b.random.Float64()
		kind.asked++
		b.mu.Unlock()
		go b.serve(kind, kind.prompt*size, kind.output*size)
		time.Sleep(pause)
	}
}

// serve lets a request wait and run.
func (b *unevenBurst) serve(kind *burstKind, prompt, output float64) {
	arrivedAt := time.Now()
	j := job(kind.priority, prompt, kind.name)
	j.OutputTokens = output
	lease, err := b.Acquire(context.Background(), j)
	if err != nil {
		return
	}
	tokenTime, s := tokenTimes[lease.Endpoint[0]-'0'], &stream{}
	prefill := time.Duration(prompt / promptRatio * float64(tokenTime))
	b.begin(lease.Endpoint, s, prefill)
	time.Sleep(prefill)
	lease.RecordFirstEvent()
	isOnTime := time.Since(arrivedAt) <= burstTarget
	time.Sleep(time.Duration(output * float64(tokenTime)))
	b.mu.Lock()
	delete(b.inFlight[lease.Endpoint], s)
	kind.served++
	if isOnTime && !s.isLate {
		kind.onTime++
	}
	b.mu.Unlock()
	lease.Release(fleet.ResultSuccess)
}

// begin adds a stream to an endpoint, whose other streams pause for its prefill.
func (b *unevenBurst) begin(endpoint string, s *stream, prefill time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if prefill > burstGap {
		for other := range b.inFlight[endpoint] {
			other.isLate = true
		}
	}
	b.inFlight[endpoint][s] = true
}

// burstPlays is the number of plays of the burst. They differ, because goroutines run in no
// fixed order.
const burstPlays = 10

// TestUnevenBurst replays the burst. With matched slots nearly all of the most urgent
// requests that are served are on time, half as many of all are late, and no fewer output
// tokens are delivered on time.
func TestUnevenBurst(t *testing.T) {
	late, tokens, served, onTime := map[bool]int{}, map[bool]float64{}, map[string]int{}, map[string]int{}
	for _, isMatched := range []bool{false, true} {
		for range burstPlays {
			synctest.Test(t, func(t *testing.T) {
				for _, kind := range playUnevenBurst(dispatch.Options{MatchSlots: isMatched}).kinds {
					late[isMatched] += kind.served - kind.onTime
					tokens[isMatched] += kind.output * float64(kind.onTime)
					if name := kind.name; isMatched {
						served[name] += kind.served
						onTime[name] += kind.onTime
					}
				}
			})
		}
	}
	t.Logf("matched: %v served, %v on time; late in all: %v; tokens on time: %.0f, without %.0f", served, onTime, late, tokens[true], tokens[false])
	assert.Assert(t, float64(onTime["long"]) > 0.95*float64(served["long"]))
	assert.Assert(t, late[true]*2 < late[false])
	assert.Assert(t, tokens[true] >= tokens[false])
}
