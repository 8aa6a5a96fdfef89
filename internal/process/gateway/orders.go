package gateway

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"mustarddoor/internal/process/autoscale"
	"mustarddoor/internal/process/dispatch"
	"mustarddoor/internal/process/duty"
	"mustarddoor/internal/process/fleet"
	"mustarddoor/internal/process/pause"
	"mustarddoor/internal/process/peers"
	"mustarddoor/internal/version/routing"
)

// orderRunner orders the numbers of endpoints on the host that holds the duties. All
// hosts follow the demand, so that a successor knows it.
type orderRunner struct {
	gateway *Gateway
	holder  duty.Holder
	// observe returns the present state of the services whose endpoints are ordered.
	observe func() []scaledService
	now     func() time.Time

	mu       sync.Mutex
	planners map[string]*autoscale.Planner
	// token is that of the grant under which orders were read back; 0 while this host does
	// not hold the duties.
	token uint64
	// fencedToken is the token with which the platform refused a call.
	fencedToken uint64
	// orders holds the orders by service and failure domain.
	orders map[string]map[string]*domainOrder
	// saved holds the numbers in the last record of each service.
	saved map[string]map[string]int
	// domains holds the failure domains in which each service has run.
	domains map[string]map[string]bool
}

// scaledService is the present state of a service whose endpoints are ordered.
type scaledService struct {
	name   string
	demand autoscale.Demand
	state  autoscale.Service
}

// ordersRecord is the record of the orders of a service.
type ordersRecord struct {
	// Counts holds the newest number by failure domain. It is written before the order is
	// sent.
	Counts map[string]int `cbor:"1,keyasint"`
}

const (
	// orderInterval is the time between decisions: short compared with a burst.
	orderInterval = time.Second
	// orderSaveTimeout limits the store call before an order.
	orderSaveTimeout = 2 * time.Second
	// orderKeyPrefix is followed by the service in the key of its record.
	orderKeyPrefix = "orders/"
)

// newOrderRunner returns the runner of a host's orders. It returns nil, which does
// nothing, if the settings call for no orders or there is no holder.
func newOrderRunner(g *Gateway, holder duty.Holder) *orderRunner {
	if !g.settings.Duties.OrdersEndpoints || g.ports.Duties == nil || holder == nil {
		return nil
	}
	r := &orderRunner{
		gateway: g, holder: holder, now: time.Now, planners: map[string]*autoscale.Planner{},
		orders: map[string]map[string]*domainOrder{}, saved: map[string]map[string]int{}, domains: map[string]map[string]bool{},
	}
	r.observe = r.observeServices
	return r
}

// run decides and sends orders until ctx is done.
func (r *orderRunner) run(ctx context.Context) error {
	if r == nil {
		<-ctx.Done()
		return nil
	}
	for pause.For(ctx, orderInterval) {
		r.round(ctx)
	}
	return nil
}

// round records the demand and, on the holder, decides on orders and sends them.
func (r *orderRunner) round(ctx context.Context) {
	now := r.now()
	r.mu.Lock()
	services := r.observe()
	for _, service := range services {
		planner := r.planners[service.name]
		if planner == nil {
			planner = &autoscale.Planner{}
			r.planners[service.name] = planner
		}
		planner.Observe(service.demand, now)
	}
	grant, isHolder := r.holder.Grant()
	if !isHolder {
		r.token = 0
		r.mu.Unlock()
		return
	}
	if grant.Token == r.fencedToken {
		r.mu.Unlock()
		return
	}
	if grant.Token != r.token {
		r.takeOver(services, now)
		r.token = grant.Token
	}
	for i := range services {
		r.decide(&services[i], now)
	}
	r.mu.Unlock()
	done := sync.WaitGroup{}
	for _, service := range services {
		done.Go(func() { r.saveAndSend(ctx, service.name, grant.Token, now) })
	}
	done.Wait()
}

// takeOver reads back what was ordered last. The caller holds mu.
func (r *orderRunner) takeOver(services []scaledService, now time.Time) {
	clear(r.orders)
	clear(r.saved)
	for _, service := range services {
		value, found := r.holder.Load(orderKeyPrefix + service.name)
		if !found {
			continue
		}
		record := ordersRecord{}
		if err := wire.Unmarshal(value, &record); err != nil {
			r.gateway.log.Entry().WithError(err).WithField("service", service.name).Warn("cannot read the last orders of endpoints")
			continue
		}
		orders := map[string]*domainOrder{}
		for domain, count := range record.Counts {
			present := 0
			if i := slices.IndexFunc(service.state.Domains, func(d autoscale.Domain) bool { return d.Name == domain }); i >= 0 {
				present = service.state.Domains[i].Present
			}
			count = min(count, service.state.Scaling.MaxEndpoints)
			orders[domain] = adoptOrder(count, min(present, service.state.Scaling.MaxEndpoints), r.gateway.settings.Duties.IsFenced, now)
		}
		r.orders[service.name], r.saved[service.name] = orders, record.Counts
		r.gateway.log.Entry().WithFields(logrus.Fields{"service": service.name, "counts": record.Counts}).Info("read back the last orders of endpoints")
	}
}

// decide replaces the orders of a service that have changed. The caller holds mu.
func (r *orderRunner) decide(service *scaledService, now time.Time) {
	orders := r.orders[service.name]
	if orders == nil {
		orders = map[string]*domainOrder{}
		r.orders[service.name] = orders
	}
	for i := range service.state.Domains {
		domain := &service.state.Domains[i]
		if order := orders[domain.Name]; order != nil {
			domain.Ordered, domain.OrderedAt = order.count, order.orderedAt
		}
	}
	decision := r.planners[service.name].Decide(service.state, now)
	for _, decided := range decision.Orders {
		order := orders[decided.Domain]
		if order == nil {
			order = &domainOrder{unanswered: map[int]time.Time{}}
			orders[decided.Domain] = order
		}
		before := order.count
		order.set(decided, now)
		r.gateway.log.Entry().WithFields(logrus.Fields{
			"service": service.name, "domain": decided.Domain, "count": decided.Count, "before": before, "pattern": string(decided.Pattern),
			"demand": decision.Demand, "expected": decision.Expected, "peak": decision.Peak, "slots": decision.Slots,
			"queued": service.demand.Queued, "hosts": service.demand.Hosts, "domains": service.state.Domains,
		}).Info("number of endpoints decided")
	}
}

// saveAndSend records the orders of a service and sends those that are due.
func (r *orderRunner) saveAndSend(ctx context.Context, service string, token uint64, now time.Time) {
	r.mu.Lock()
	counts, due := map[string]int{}, map[string]int{}
	for domain, order := range r.orders[service] {
		counts[domain] = order.count
		if order.mayBeSent(now) {
			due[domain] = order.count
		}
	}
	isSaved := maps.Equal(counts, r.saved[service])
	r.mu.Unlock()
	if len(due) == 0 {
		return
	}
	if !isSaved {
		if err := r.save(ctx, service, counts); err != nil {
			r.gateway.log.Entry().WithError(err).WithField("service", service).Warn("orders of endpoints wait, because they cannot be recorded")
			return
		}
	}
	done := sync.WaitGroup{}
	for domain, count := range due {
		done.Go(func() { r.send(ctx, token, duty.EndpointOrder{Service: service, Domain: domain, Count: count}) })
	}
	done.Wait()
}

// save records the newest numbers of a service for this and later holders.
func (r *orderRunner) save(ctx context.Context, service string, counts map[string]int) error {
	value, err := wire.Marshal(ordersRecord{Counts: counts})
	if err != nil {
		return eris.Wrap(err, "encode orders")
	}
	ctx, cancel := context.WithTimeout(ctx, orderSaveTimeout)
	defer cancel()
	if err := r.holder.Save(ctx, orderKeyPrefix+service, value); err != nil {
		return eris.Wrap(err, "save orders")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.saved[service] = counts
	return nil
}

// send sends an order if this host still holds the duties with the same token.
func (r *orderRunner) send(ctx context.Context, token uint64, call duty.EndpointOrder) {
	grant, isHolder := r.holder.Grant()
	if !isHolder || grant.Token != token {
		return
	}
	err := r.gateway.ports.Duties.OrderEndpoints(ctx, grant, call)
	r.mu.Lock()
	defer r.mu.Unlock()
	log := r.gateway.log.Entry().WithFields(logrus.Fields{"service": call.Service, "domain": call.Domain, "count": call.Count, "token": grant.Token})
	if eris.Is(err, duty.ErrFenced) {
		r.fencedToken = grant.Token
	}
	order := r.orders[call.Service][call.Domain]
	if order == nil || r.token != token {
		return
	}
	order.record(call.Count, err, r.now())
	if err != nil {
		log.WithError(err).WithField("attempts", order.attempts).Warn("order of endpoints failed")
		return
	}
	metrics.GetOrRegisterGauge("orders.count."+call.Service+"."+call.Domain, r.gateway.registry).Update(int64(call.Count))
	metrics.GetOrRegisterCounter("orders.accepted", r.gateway.registry).Inc(1)
	log.WithField("pattern", string(order.pattern)).Info("endpoints ordered")
}

// observeServices returns the present state of the services. The caller holds mu.
func (r *orderRunner) observeServices() []scaledService {
	table := r.gateway.table.Load()
	if table == nil {
		return nil
	}
	demands := r.gateway.dispatcher.Demands()
	statuses := r.gateway.membership.ReachableStatuses(r.gateway.membership.Now())
	var services []scaledService
	for _, service := range table.ScaledServices() {
		services = append(services, scaledService{
			name: service.Name, demand: totalDemand(service.Name, demands[service.Name], statuses), state: r.serviceState(service),
		})
	}
	return services
}

// totalDemand adds the demand of the other hosts to this host's.
func totalDemand(service string, own dispatch.ServiceDemand, statuses []peers.Status) autoscale.Demand {
	total := autoscale.Demand{Slots: own.Slots, Queued: own.Queued, Hosts: 1 + len(statuses)}
	hash := fleet.HashID(service)
	for _, status := range statuses {
		for _, demand := range status.Demands {
			if demand.Service == hash {
				total.Slots += float64(demand.MilliSlots) / 1000
				total.Queued += demand.Queued
			}
		}
	}
	return total
}

// serviceState returns the state of a service without its orders. Failure domains that
// have lost all endpoints are included. The caller holds mu.
func (r *orderRunner) serviceState(service *routing.Service) autoscale.Service {
	state := autoscale.Service{Scaling: *service.Scaling, ColdDuration: service.ColdDuration, IsMoving: r.gateway.dispatcher.HasOpenMove(service.Name)}
	byDomain := r.gateway.dispatcher.EndpointsByDomain(service.Name)
	known := r.domains[service.Name]
	if known == nil {
		known = map[string]bool{}
		r.domains[service.Name] = known
	}
	slots, present := 0, 0
	for domain, endpoints := range byDomain {
		known[domain] = true
		slots += endpoints.Slots
		present += endpoints.Ready + endpoints.Cold
	}
	for domain := range r.orders[service.Name] {
		known[domain] = true
	}
	if present > 0 {
		state.SlotsPerEndpoint = float64(slots) / float64(present)
	} else if service.Engine != nil {
		state.SlotsPerEndpoint = float64(service.Engine.Slots)
	}
	for _, domain := range slices.Sorted(maps.Keys(known)) {
		endpoints := byDomain[domain]
		state.Domains = append(state.Domains, autoscale.Domain{
			Name: domain, Present: endpoints.Ready + endpoints.Cold, Leaving: endpoints.Leaving,
			IsEvacuated: r.gateway.dispatcher.IsExcluded(domain),
		})
	}
	return state
}

// demands returns what this host's callers need, for the other hosts.
func (r *orderRunner) demands() []peers.ServiceDemand {
	table := r.tableIfRunning()
	if table == nil {
		return nil
	}
	var reported []peers.ServiceDemand
	demands := r.gateway.dispatcher.Demands()
	for _, service := range table.ScaledServices() {
		demand := demands[service.Name]
		if millis := int(demand.Slots * 1000); millis > 0 || demand.Queued > 0 {
			reported = append(reported, peers.ServiceDemand{Service: fleet.HashID(service.Name), MilliSlots: millis, Queued: demand.Queued})
		}
	}
	return reported
}

func (r *orderRunner) tableIfRunning() *routing.Table {
	if r == nil {
		return nil
	}
	return r.gateway.table.Load()
}

// EndpointOrderState is the newest order of a service in a failure domain, on the host
// that holds the duties.
type EndpointOrderState struct {
	Service string `json:"service"`
	Domain  string `json:"domain"`
	Count   int    `json:"count"`
	// Pattern is the load pattern that the order answers; empty if it was read back.
	Pattern string `json:"pattern"`
	// AgeMillis is the time in ms since the number was decided on or read back.
	AgeMillis int64 `json:"age_ms"`
	// Waiting is set while the platform has not responded to the order.
	Waiting bool `json:"waiting"`
}

// states returns the newest orders, sorted by service and failure domain; none unless
// this host holds the duties.
func (r *orderRunner) states() []EndpointOrderState {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.token == 0 {
		return nil
	}
	var states []EndpointOrderState
	for service, orders := range r.orders {
		for domain, order := range orders {
			states = append(states, EndpointOrderState{
				Service: service, Domain: domain, Count: order.count, Pattern: string(order.pattern),
				AgeMillis: r.now().Sub(order.orderedAt).Milliseconds(), Waiting: order.isDue,
			})
		}
	}
	slices.SortFunc(states, func(a, b EndpointOrderState) int {
		return strings.Compare(a.Service+" "+a.Domain, b.Service+" "+b.Domain)
	})
	return states
}
