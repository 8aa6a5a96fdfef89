package autoscale

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mustarddoor/internal/version/routing"
)

var begin = time.Unix(1_700_000_000, 0)

// newService returns a service with an endpoint count in each of some domains, without
// any order.
func newService(present ...int) Service {
	s := Service{
		Scaling:      routing.Scaling{MinEndpoints: 10, MaxEndpoints: 60, StartDuration: 8 * time.Second},
		ColdDuration: 3 * time.Second, SlotsPerEndpoint: 7,
	}
	for i, count := range present {
		s.Domains = append(s.Domains, Domain{Name: fmt.Sprint("z", i), Present: count})
	}
	return s
}

// observe records the same demand each second for a time and returns its end.
func observe(p *Planner, demand Demand, length time.Duration, from time.Time) time.Time {
	for at := time.Duration(0); at <= length; at += time.Second {
		p.Observe(demand, from.Add(at))
	}
	return from.Add(length)
}

func TestDecide(t *testing.T) {
	steady := func(slots float64) []Demand { return []Demand{{Slots: slots, Hosts: 10}} }
	for _, test := range []struct {
		name string
		// demands follow each other; the first one lasts two minutes, the others a second.
		demands []Demand
		service func(s *Service)
		want    []Order
	}{
		{"endpoints that suffice stay", steady(530), nil, nil},
		{"calm within the loss of a domain", steady(410), nil, nil},
		{
			"calm", steady(300), nil,
			[]Order{{"z0", 23, PatternCalm}, {"z1", 23, PatternCalm}, {"z2", 23, PatternCalm}},
		},
		{"calm, but requests wait", []Demand{{Slots: 300, Queued: 1, Hosts: 10}}, nil, nil},
		{"calm after a peak", []Demand{{Slots: 300, Hosts: 10}, {Slots: 530, Hosts: 10}, {Slots: 300, Hosts: 10}}, nil, nil},
		{"calm, but most hosts are not heard", []Demand{{Slots: 300, Hosts: 10}, {Slots: 60, Hosts: 2}}, nil, nil},
		{"calm in a move", steady(300), func(s *Service) { s.IsMoving = true }, nil},
		{
			"calm while endpoints leave a domain", steady(300), func(s *Service) { s.Domains[1].Leaving = 1 },
			[]Order{{"z0", 23, PatternCalm}, {"z2", 23, PatternCalm}},
		},
		{"calm, but another domain lacks its part", steady(375), func(s *Service) { s.Domains[0].Present, s.Domains[1].Present = 36, 15 }, nil},
		{"calm right after an order", steady(300), func(s *Service) { ordered(s, 30, 30*time.Second) }, nil},
		{"not below the least number", steady(1), func(s *Service) { s.Scaling.MinEndpoints = 30 }, nil},
		{
			"burst", []Demand{{Slots: 500, Hosts: 10}, {Slots: 600, Hosts: 10}}, nil,
			[]Order{{"z0", 52, PatternBurst}, {"z1", 52, PatternBurst}, {"z2", 52, PatternBurst}},
		},
		{
			"requests wait", []Demand{{Slots: 400, Hosts: 10}, {Slots: 400, Queued: 170, Hosts: 10}}, nil,
			[]Order{{"z0", 49, PatternBurst}, {"z1", 49, PatternBurst}, {"z2", 49, PatternBurst}},
		},
		{
			"more than may be ordered", []Demand{{Slots: 500, Hosts: 10}, {Slots: 5000, Hosts: 10}}, nil,
			[]Order{{"z0", 60, PatternBurst}, {"z1", 60, PatternBurst}, {"z2", 60, PatternBurst}},
		},
		{
			"rise", []Demand{{Slots: 480, Hosts: 10}, {Slots: 530, Hosts: 10}}, nil,
			[]Order{{"z0", 46, PatternRise}, {"z1", 46, PatternRise}, {"z2", 46, PatternRise}},
		},
		{"rise while many are idle", []Demand{{Slots: 300, Hosts: 10}, {Slots: 435, Hosts: 10}}, nil, nil},
		{"demand that returns has no trend", []Demand{{Slots: 530, Hosts: 10}, {Slots: 480, Hosts: 10}, {Slots: 530, Hosts: 10}}, nil, nil},
		{"traffic that begins has no trend", []Demand{{}, {Slots: 500, Hosts: 10}}, nil, nil},
		{"burst whose endpoints are starting", steady(600), func(s *Service) { ordered(s, 43, 5*time.Second) }, nil},
		{
			"endpoints that did not come", steady(600), func(s *Service) { ordered(s, 43, 20*time.Second) },
			[]Order{{"z0", 43, PatternLoss}, {"z1", 43, PatternLoss}, {"z2", 43, PatternLoss}},
		},
		{
			"endpoints were lost in a domain", steady(500), func(s *Service) { s.Domains[0].Present = 10 },
			[]Order{{"z0", 35, PatternBurst}, {"z1", 35, PatternBurst}, {"z2", 35, PatternBurst}},
		},
		{
			"evacuation", steady(500), func(s *Service) { s.Domains[0].IsEvacuated = true },
			[]Order{{"z1", 52, PatternEvacuation}, {"z2", 52, PatternEvacuation}},
		},
		{"all domains are evacuated", steady(500), func(s *Service) {
			for i := range s.Domains {
				s.Domains[i].IsEvacuated = true
			}
		}, nil},
		{"one domain", steady(100), func(s *Service) { s.Domains = s.Domains[:1] }, []Order{{"z0", 23, PatternCalm}}},
		{"no endpoint yet", steady(0), func(s *Service) { s.SlotsPerEndpoint = 0 }, nil},
		{"no domain", steady(100), func(s *Service) { s.Domains = nil }, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			p, s := Planner{}, newService(30, 30, 30)
			now := observe(&p, test.demands[0], 2*time.Minute, begin)
			for i, demand := range test.demands[1:] {
				now = now.Add(time.Second)
				if i == len(test.demands)-2 {
					now = now.Add(4 * time.Second)
				}
				p.Observe(demand, now)
			}
			if test.service != nil {
				s.Domains = append([]Domain(nil), s.Domains...)
				test.service(&s)
				for i := range s.Domains {
					if s.Domains[i].Ordered > 0 {
						s.Domains[i].OrderedAt = now.Add(-begin.Sub(s.Domains[i].OrderedAt))
					}
				}
			}
			assert.DeepEqual(t, p.Decide(s, now).Orders, test.want)
		})
	}
}

// ordered sets the last order of all domains, some time before begin.
func ordered(s *Service, count int, ago time.Duration) {
	for i := range s.Domains {
		s.Domains[i].Ordered, s.Domains[i].OrderedAt = count, begin.Add(-ago)
	}
}

// A domain that stays evacuated is given up, and not at once.
func TestEvacuatedDomain(t *testing.T) {
	p, s := Planner{}, newService(30, 30, 30)
	s.Domains[2].IsEvacuated = true
	now := observe(&p, Demand{Slots: 300, Hosts: 10}, 2*time.Minute, begin)
	assert.Equal(t, len(p.Decide(s, now).Orders), 0)
	now = observe(&p, Demand{Slots: 300, Hosts: 10}, minHold, now)
	assert.DeepEqual(t, p.Decide(s, now).Orders, []Order{{"z2", 10, PatternIdleDomain}})
}

// Samples from before a pause of this process are discarded.
func TestGapInSamples(t *testing.T) {
	p, s := Planner{}, newService(30, 30, 30)
	now := observe(&p, Demand{Slots: 300, Hosts: 10}, 2*time.Minute, begin).Add(maxSampleGap + time.Second)
	p.Observe(Demand{Slots: 10, Hosts: 10}, now)
	assert.Equal(t, len(p.Decide(s, now).Orders), 0)
}

// world carries out orders as a platform does.
type world struct {
	service Service
	// ready holds when each endpoint of a domain serves.
	ready [][]time.Time
}

func newWorld(s Service) *world {
	w := &world{service: s}
	for _, domain := range s.Domains {
		w.ready = append(w.ready, make([]time.Time, domain.Present))
	}
	return w
}

func (w *world) apply(orders []Order, now time.Time) {
	for _, order := range orders {
		for i := range w.service.Domains {
			domain := &w.service.Domains[i]
			if domain.Name != order.Domain {
				continue
			}
			domain.Ordered, domain.OrderedAt = order.Count, now
			for len(w.ready[i]) < order.Count {
				w.ready[i] = append(w.ready[i], now.Add(w.service.Scaling.StartDuration))
			}
			w.ready[i] = w.ready[i][:order.Count]
		}
	}
}

// update sets how many endpoints are present and returns their slots.
func (w *world) update(now time.Time) float64 {
	total := 0
	for i := range w.service.Domains {
		present := 0
		for _, at := range w.ready[i] {
			if !now.Before(at) {
				present++
			}
		}
		w.service.Domains[i].Present = present
		total += present
	}
	return float64(total) * w.service.SlotsPerEndpoint
}

// A burst of some seconds: orders follow within two seconds, what is ordered serves it
// before it ends, and is given up only well after.
func TestReplayBurst(t *testing.T) {
	const burstBegin, burstEnd, burstSlots = 60, 80, 800
	p, w := Planner{}, newWorld(newService(30, 30, 30))
	firstOrder, servedFrom, slots := 0, 0, 0.0
	for second := range 600 {
		now := begin.Add(time.Duration(second) * time.Second)
		slots = w.update(now)
		demand := Demand{Slots: 400, Hosts: 10}
		if second >= burstBegin && second < burstEnd {
			demand.Slots = min(400+float64(second-burstBegin+1)*100, burstSlots)
			demand.Queued = int(max(0, demand.Slots-slots)) / 10
			if slots >= demand.Slots && second > burstBegin+4 && servedFrom == 0 {
				servedFrom = second
			}
		}
		p.Observe(demand, now)
		orders := p.Decide(w.service, now).Orders
		w.apply(orders, now)
		if len(orders) > 0 && firstOrder == 0 {
			firstOrder = second
		}
		if servedFrom > 0 && second < burstEnd+int(minHold.Seconds()) {
			assert.Assert(t, slots >= burstSlots, "%v slots at %d s", slots, second)
		}
	}
	assert.Assert(t, firstOrder >= burstBegin && firstOrder <= burstBegin+2, firstOrder)
	assert.Assert(t, servedFrom > 0 && servedFrom <= burstBegin+14, servedFrom)
	assert.Assert(t, slots >= 400*3/2 && slots <= 400*3/2+50, slots)
}

// Whatever the demand, orders keep within the bounds, change a number unless endpoints are
// missing, and give up endpoints only while nothing waits and what is left serves the peak
// of the hold time.
func TestOrdersKeepBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newService()
		s.Scaling.MinEndpoints = rapid.IntRange(0, 20).Draw(t, "min")
		s.Scaling.MaxEndpoints = s.Scaling.MinEndpoints + rapid.IntRange(0, 40).Draw(t, "more")
		s.Scaling.StartDuration = time.Duration(rapid.IntRange(0, 12).Draw(t, "start")) * time.Second
		for i := range rapid.IntRange(1, 4).Draw(t, "domains") {
			count := rapid.IntRange(s.Scaling.MinEndpoints, s.Scaling.MaxEndpoints).Draw(t, "present")
			s.Domains = append(s.Domains, Domain{Name: fmt.Sprint("z", i), Present: count})
		}
		p, w, peaks := Planner{}, newWorld(s), []float64{}
		now := begin
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			demand := Demand{Slots: rapid.Float64Range(0, 1000).Draw(t, "slots"), Hosts: 5}
			demand.Queued = rapid.SampledFrom([]int{0, 0, 0, 0, 5}).Draw(t, "queued")
			if rapid.IntRange(0, 9).Draw(t, "evacuates") == 0 {
				domain := &w.service.Domains[rapid.IntRange(0, len(s.Domains)-1).Draw(t, "domain")]
				domain.IsEvacuated = !domain.IsEvacuated
			}
			for range rapid.IntRange(1, 30).Draw(t, "seconds") {
				now = now.Add(time.Second)
				w.update(now)
				p.Observe(demand, now)
				peaks = append(peaks, demand.wanted())
				before := append([]Domain(nil), w.service.Domains...)
				orders := p.Decide(w.service, now).Orders
				w.apply(orders, now)
				for _, order := range orders {
					checkOrder(t, w, before, order, demand, peaks)
				}
			}
		}
	})
}

// checkOrder checks an order that the world has carried out. peaks holds the demand by
// second.
func checkOrder(t *rapid.T, w *world, before []Domain, order Order, demand Demand, peaks []float64) {
	s := &w.service
	assert.Assert(t, order.Count >= s.Scaling.MinEndpoints && order.Count <= s.Scaling.MaxEndpoints, order)
	rest := 0
	for _, domain := range s.Domains {
		if !domain.IsEvacuated {
			rest += domain.base()
		}
	}
	for _, domain := range before {
		if domain.Name != order.Domain {
			continue
		}
		assert.Assert(t, order.Count != domain.base() || order.Pattern == PatternLoss, order)
		if order.Count >= domain.base() || domain.IsEvacuated {
			return
		}
		assert.Equal(t, demand.Queued, 0)
		peak := slices.Max(peaks[max(0, len(peaks)-int(minHold.Seconds())):])
		assert.Assert(t, float64(rest)*s.SlotsPerEndpoint*targetBusyShare >= peak-1, "%d endpoints left for %v slots", rest, peak)
	}
}
