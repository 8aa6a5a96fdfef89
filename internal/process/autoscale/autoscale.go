// Package autoscale decides the number of a service's endpoints in each failure domain.
//
// More endpoints are ordered as soon as the demand comes close to what the present ones
// serve: new ones take their start time to help, and a burst lasts little longer. Fewer
// are ordered only if the highest demand of the last minute left enough of them idle for
// the loss of a failure domain, a few at a time, and never while requests wait.
//
// It starts no goroutines and reads no clock: the time is passed in.
package autoscale

import (
	"math"
	"slices"
	"strings"
	"time"

	"mustarddoor/internal/version/routing"
)

// Pattern names the load pattern that a decision answers.
type Pattern string

// Load patterns.
const (
	// PatternBurst is demand beyond what the endpoints serve without waiting.
	PatternBurst Pattern = "burst"
	// PatternRise is demand that will be there once new endpoints have started.
	PatternRise Pattern = "rise"
	// PatternEvacuation is the load of an evacuated failure domain that moved to others.
	PatternEvacuation Pattern = "evacuation"
	// PatternLoss is ordered endpoints that are needed and missing.
	PatternLoss Pattern = "loss"
	// PatternCalm is demand that fewer endpoints serve.
	PatternCalm Pattern = "calm"
	// PatternIdleDomain is an evacuated failure domain whose endpoints get no requests.
	PatternIdleDomain Pattern = "idle_domain"
)

// Demand is what the callers of all hosts need of a service.
type Demand struct {
	// Slots is the slot time that arriving requests need per time, whether they are
	// served or refused.
	Slots float64
	// Queued is the number of requests that wait.
	Queued int
	// Hosts is the number of hosts whose callers are counted.
	Hosts int
}

// Domain is a failure domain in which a service runs.
type Domain struct {
	Name string
	// Present is the number of endpoints that accept requests or are cold, Leaving the
	// number of the others.
	Present, Leaving int
	// IsEvacuated is set if the domain must receive no requests.
	IsEvacuated bool
	// Ordered is the number of endpoints last ordered, OrderedAt when that was; 0 if
	// there was no order.
	Ordered   int
	OrderedAt time.Time
}

// Service is the state of a service.
type Service struct {
	Scaling routing.Scaling
	// ColdDuration is how long an endpoint remains cold after its start.
	ColdDuration time.Duration
	// SlotsPerEndpoint is the number of requests that an endpoint serves at once.
	SlotsPerEndpoint float64
	// IsMoving is set if the service moves to another version.
	IsMoving bool
	Domains  []Domain
}

// Order is a number of endpoints to order in a failure domain.
type Order struct {
	Domain  string
	Count   int
	Pattern Pattern
}

// Decision is the result of a Planner.
type Decision struct {
	// Orders holds the numbers that change or have to be ordered again.
	Orders []Order
	// Demand is the present demand in slots with the requests that wait, Expected the
	// demand once new endpoints serve, and Peak the highest of the hold time.
	Demand, Expected, Peak float64
	// Slots is what the endpoints that are present or starting offer, without the
	// evacuated domains.
	Slots float64
}

const (
	// maxBusyShare is the share of busy slots above which requests begin to wait: a host
	// receives the loads of the others late, and endpoints differ in speed.
	maxBusyShare = 0.85
	// targetBusyShare is the share of busy slots that orders aim at.
	targetBusyShare = 0.7
	// maxCalmStep is the largest share of a domain's endpoints given up at a time.
	maxCalmStep = 0.25
	// holdStarts is the hold time, for which the highest demand counts, as a multiple of
	// the time until new endpoints serve, within minHold and maxHold.
	holdStarts = 4
	minHold    = time.Minute
	maxHold    = 10 * time.Minute
	// riseWindow is the time over which the trend of the demand is measured, and
	// maxTrend how much of the present demand it may add.
	riseWindow = 4 * time.Second
	maxTrend   = 0.25
	// maxSampleGap is the longest time between two samples; after a longer one, the
	// earlier samples are discarded.
	maxSampleGap = 10 * time.Second
	// minHostsShare is the share of hosts, of the most that reported demand in the hold
	// time, that must report it for fewer endpoints to be ordered.
	minHostsShare = 0.75
	// missingStarts is after how many start times ordered endpoints count as missing.
	missingStarts = 2
)

// sample is the demand at a time.
type sample struct {
	at     time.Time
	demand Demand
}

// Planner decides on the endpoints of one service. The zero value is ready for use.
type Planner struct {
	samples []sample
	// evacuatedAt holds since when a domain has been evacuated.
	evacuatedAt map[string]time.Time
}

// Observe records the demand at a time. It has to be called every few seconds.
func (p *Planner) Observe(demand Demand, now time.Time) {
	if n := len(p.samples); n > 0 && now.Sub(p.samples[n-1].at) > maxSampleGap {
		p.samples = nil
	}
	p.samples = slices.DeleteFunc(p.samples, func(s sample) bool { return now.Sub(s.at) > maxHold+maxSampleGap })
	p.samples = append(p.samples, sample{at: now, demand: demand})
}

// recent returns the samples of the hold time.
func (p *Planner) recent(service *Service, now time.Time) []sample {
	first := slices.IndexFunc(p.samples, func(s sample) bool { return now.Sub(s.at) <= service.holdTime() })
	return p.samples[max(first, 0):]
}

// wanted is the number of slots that a demand occupies if nothing waits.
func (d Demand) wanted() float64 { return d.Slots + float64(d.Queued) }

// startTime is the time from an order until the new endpoints serve.
func (s *Service) startTime() time.Duration { return s.Scaling.StartDuration + s.ColdDuration }

func (s *Service) holdTime() time.Duration {
	return min(max(minHold, holdStarts*s.startTime()), maxHold)
}

// Decide returns the orders that are due.
func (p *Planner) Decide(service Service, now time.Time) Decision {
	p.trackEvacuations(service.Domains, now)
	if len(p.samples) == 0 || service.SlotsPerEndpoint <= 0 || service.Scaling.MaxEndpoints == 0 {
		return Decision{}
	}
	d := Decision{Demand: p.samples[len(p.samples)-1].demand.wanted()}
	for _, s := range p.recent(&service, now) {
		d.Peak = max(d.Peak, s.demand.wanted())
	}
	d.Expected = p.expected(&service, d.Demand, now)
	inUse := slices.DeleteFunc(slices.Clone(service.Domains), func(domain Domain) bool { return domain.IsEvacuated })
	effective := 0
	for _, domain := range inUse {
		effective += domain.effective(&service, now)
	}
	d.Slots = float64(effective) * service.SlotsPerEndpoint
	if len(inUse) > 0 {
		// A rise that begins well below what the endpoints serve may end before they are busy.
		if d.Expected > maxBusyShare*d.Slots && d.Demand > targetBusyShare*d.Slots {
			d.Orders = p.more(&service, inUse, d, now)
		} else {
			d.Orders = p.fewer(&service, inUse, d, now)
		}
	}
	d.Orders = append(d.Orders, p.idleDomains(&service, now)...)
	slices.SortFunc(d.Orders, func(a, b Order) int { return strings.Compare(a.Domain, b.Domain) })
	return d
}

// expected returns the demand once endpoints that are ordered now serve. Demand that is
// above all of the hold time before continues to rise as it did lately. Demand that
// merely returns, or that just begins, has no trend.
func (p *Planner) expected(service *Service, demand float64, now time.Time) float64 {
	earlier := 0.0
	for _, s := range p.recent(service, now) {
		if now.Sub(s.at) >= riseWindow {
			earlier = max(earlier, s.demand.wanted())
		}
	}
	if demand <= earlier || earlier < demand/2 {
		return demand
	}
	rise := (demand - earlier) * service.startTime().Seconds() / riseWindow.Seconds()
	return demand + min(rise, maxTrend*demand)
}

// effective is the number of endpoints that are present or have yet to start.
func (d Domain) effective(s *Service, now time.Time) int {
	if d.Ordered > d.Present && !d.isMissing(s, now) {
		return d.Ordered
	}
	return d.Present
}

// isMissing reports whether ordered endpoints should have started long ago.
func (d Domain) isMissing(s *Service, now time.Time) bool {
	return d.Ordered > d.Present && now.Sub(d.OrderedAt) > missingStarts*s.Scaling.StartDuration
}

// base is the number of endpoints that an order replaces.
func (d Domain) base() int {
	if d.Ordered > 0 {
		return d.Ordered
	}
	return d.Present
}

// perDomain returns the number of endpoints in each of the domains that serve a demand
// with a share of busy slots.
func (s *Service) perDomain(demand, busyShare float64, domains int) int {
	total := math.Ceil(demand / (busyShare * s.SlotsPerEndpoint))
	return s.clamp(int(math.Ceil(total / float64(domains))))
}

// clamp returns the nearest number that may be ordered.
func (s *Service) clamp(count int) int {
	return min(max(count, s.Scaling.MinEndpoints), s.Scaling.MaxEndpoints)
}

// more returns the orders for more endpoints, the same in each domain.
func (p *Planner) more(service *Service, inUse []Domain, d Decision, now time.Time) []Order {
	count := service.perDomain(d.Expected, targetBusyShare, len(inUse))
	pattern := PatternRise
	switch {
	case len(inUse) < len(service.Domains):
		pattern = PatternEvacuation
	case d.Demand > maxBusyShare*d.Slots:
		pattern = PatternBurst
	}
	var orders []Order
	for _, domain := range inUse {
		if count <= domain.effective(service, now) {
			continue
		}
		if count <= domain.Ordered {
			// This many were ordered already, but some did not start or were lost.
			orders = append(orders, Order{Domain: domain.Name, Count: domain.Ordered, Pattern: PatternLoss})
			continue
		}
		orders = append(orders, Order{Domain: domain.Name, Count: count, Pattern: pattern})
	}
	return orders
}

// fewer returns the orders for fewer endpoints: a step towards what the peak needs, so
// that the other domains could bear it if one of them were lost. A domain with more than
// its part keeps it while others have less.
func (p *Planner) fewer(service *Service, inUse []Domain, d Decision, now time.Time) []Order {
	hold := service.holdTime()
	isKnown := now.Sub(p.samples[0].at) >= hold && p.hearsMostHosts(service, now)
	if !isKnown || service.IsMoving || p.samples[len(p.samples)-1].demand.Queued > 0 {
		return nil
	}
	busyShare := targetBusyShare
	if n := float64(len(inUse)); n > 1 {
		busyShare = min(busyShare, (n-1)/n)
	}
	count := service.perDomain(d.Peak, busyShare, len(inUse))
	spare := -count * len(inUse)
	for _, domain := range inUse {
		spare += min(domain.effective(service, now), domain.base())
	}
	var orders []Order
	for _, domain := range inUse {
		base := domain.base()
		isSettled := domain.Leaving == 0 && now.Sub(domain.OrderedAt) >= hold
		step := min(max(int(maxCalmStep*float64(base)), 1), base-count, spare)
		if step <= 0 || !isSettled {
			continue
		}
		spare -= step
		orders = append(orders, Order{Domain: domain.Name, Count: base - step, Pattern: PatternCalm})
	}
	return orders
}

// hearsMostHosts reports whether about as many hosts report demand as did in the hold time.
func (p *Planner) hearsMostHosts(service *Service, now time.Time) bool {
	most := 0
	for _, s := range p.recent(service, now) {
		most = max(most, s.demand.Hosts)
	}
	return float64(p.samples[len(p.samples)-1].demand.Hosts) >= minHostsShare*float64(most)
}

// idleDomains returns the orders for the domains that have been evacuated for the hold
// time.
func (p *Planner) idleDomains(service *Service, now time.Time) []Order {
	var orders []Order
	for _, domain := range service.Domains {
		isLong := domain.IsEvacuated && now.Sub(p.evacuatedAt[domain.Name]) >= service.holdTime()
		if isLong && domain.base() > service.Scaling.MinEndpoints {
			orders = append(orders, Order{Domain: domain.Name, Count: service.Scaling.MinEndpoints, Pattern: PatternIdleDomain})
		}
	}
	return orders
}

// trackEvacuations records since when domains are evacuated.
func (p *Planner) trackEvacuations(domains []Domain, now time.Time) {
	previous := p.evacuatedAt
	p.evacuatedAt = map[string]time.Time{}
	for _, domain := range domains {
		if !domain.IsEvacuated {
			continue
		}
		since, found := previous[domain.Name]
		if !found {
			since = now
		}
		p.evacuatedAt[domain.Name] = since
	}
}
