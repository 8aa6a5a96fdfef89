package fleet

import (
	"slices"
	"strings"
	"time"
)

// Fleet holds the endpoints. It is not safe for concurrent use.
type Fleet struct {
	byID     map[string]*Endpoint
	byHash   map[uint32]*Endpoint
	services map[string][]*Endpoint
	// excludedDomains are the domains whose endpoints get nothing.
	excludedDomains map[string]bool
	// reportedEndpoints are the endpoints with a load in each host's last message, by hash.
	reportedEndpoints map[string][]uint32
}

// New returns a fleet without endpoints.
func New() *Fleet {
	return &Fleet{
		byID: map[string]*Endpoint{}, byHash: map[uint32]*Endpoint{},
		services: map[string][]*Endpoint{}, excludedDomains: map[string]bool{},
		reportedEndpoints: map[string][]uint32{},
	}
}

// removalGracePeriod is how long after an outage of the platform a missing entry may
// still come back.
const removalGracePeriod = 2 * time.Second

// Set takes an entry in. It returns the endpoint if this start of it is new.
func (f *Fleet) Set(entry Entry, now time.Time) (added *Endpoint, replaced *Endpoint) {
	known := f.byID[entry.ID]
	if known != nil && !entry.Supersedes(known.Entry) {
		return nil, nil
	}
	if known != nil && known.StartMillis == entry.StartMillis && known.Address == entry.Address && known.Service == entry.Service {
		known.Entry = entry
		known.graceUntil = time.Time{}
		known.setCold(entry, now)
		return nil, nil
	}
	if known != nil {
		f.remove(known)
	}
	e := newEndpoint(entry, now)
	e.setCold(entry, now)
	f.byID[entry.ID] = e
	f.byHash[e.Hash] = e
	f.services[entry.Service] = append(f.services[entry.Service], e)
	slices.SortFunc(f.services[entry.Service], func(a, b *Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return e, known
}

func (e *Endpoint) setCold(entry Entry, now time.Time) {
	if entry.ColdFor > 0 {
		e.coldUntil = now.Add(entry.ColdFor)
	}
}

// Remove takes an entry out. After an outage of the platform the endpoint stays
// in doubt for a while, in which it may come back. It returns the endpoint if
// it is gone.
func (f *Fleet) Remove(id string, afterOutage bool, now time.Time) *Endpoint {
	e := f.byID[id]
	if e == nil {
		return nil
	}
	if afterOutage && e.graceUntil.IsZero() {
		e.graceUntil = now.Add(removalGracePeriod)
		return nil
	}
	f.remove(e)
	return e
}

func (f *Fleet) remove(e *Endpoint) {
	e.gone = true
	delete(f.byID, e.ID)
	if f.byHash[e.Hash] == e {
		delete(f.byHash, e.Hash)
	}
	f.services[e.Service] = slices.DeleteFunc(f.services[e.Service], func(other *Endpoint) bool { return other == e })
}

// ExpireRemoved takes out the endpoints whose doubt is over.
func (f *Fleet) ExpireRemoved(now time.Time) []*Endpoint {
	var expired []*Endpoint
	for _, e := range f.byID {
		if !e.graceUntil.IsZero() && now.After(e.graceUntil) {
			expired = append(expired, e)
		}
	}
	for _, e := range expired {
		f.remove(e)
	}
	return expired
}

// SetExcludedDomains tells which domains are to get nothing.
func (f *Fleet) SetExcludedDomains(domains map[string]bool) { f.excludedDomains = domains }

// Get is an endpoint, or nil.
func (f *Fleet) Get(id string) *Endpoint { return f.byID[id] }

// ByHash is an endpoint by its name in messages, or nil.
func (f *Fleet) ByHash(hash uint32) *Endpoint { return f.byHash[hash] }

// SetHostLoads takes in the loads of another host by the endpoints' names in messages.
// Endpoints that it has named before and names no more have none of its work.
// The cost depends on the endpoints that the host uses, not on how many there
// are.
func (f *Fleet) SetHostLoads(host string, loads map[uint32]Load, reportedAt time.Time) {
	previous := f.reportedEndpoints[host]
	for _, hash := range previous {
		if _, found := loads[hash]; found {
			continue
		}
		if e := f.ByHash(hash); e != nil {
			e.setRemoteLoad(host, Load{}, reportedAt)
		}
	}
	current := previous[:0]
	for hash, load := range loads {
		if e := f.ByHash(hash); e != nil {
			e.setRemoteLoad(host, load, reportedAt)
		}
		current = append(current, hash)
	}
	if len(current) == 0 {
		delete(f.reportedEndpoints, host)
		return
	}
	f.reportedEndpoints[host] = current
}

// ByService are the endpoints of a service.
func (f *Fleet) ByService(service string) []*Endpoint { return f.services[service] }

// All calls fn for each endpoint.
func (f *Fleet) All(fn func(*Endpoint)) {
	for _, e := range f.byID {
		fn(e)
	}
}

// IsUsable reports whether requests may go to an endpoint at all: it is in the
// list, not about to leave, and its domain is in use.
func (f *Fleet) IsUsable(e *Endpoint) bool {
	return !e.gone && !e.Draining && e.graceUntil.IsZero() && !f.excludedDomains[e.Domain]
}

// MedianFailureRate is the middle share of failures among a service's endpoints: a
// fault that all of them have speaks against none of them.
func (f *Fleet) MedianFailureRate(service string) float64 {
	rates := make([]float64, 0, len(f.services[service]))
	for _, e := range f.services[service] {
		rates = append(rates, e.health.failureRate)
	}
	if len(rates) == 0 {
		return 0
	}
	slices.Sort(rates)
	return rates[len(rates)/2]
}
