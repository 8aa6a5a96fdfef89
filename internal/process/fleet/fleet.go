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
	// excludedDomains are the failure domains whose endpoints accept no new
	// requests.
	excludedDomains map[string]bool
	// reportedEndpoints lists, by host, the hashes of the endpoints in that
	// host's last load report.
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

// removalGracePeriod is how long an endpoint whose entry was removed after an
// outage of the platform may still come back.
const removalGracePeriod = 2 * time.Second

// Set adds or updates an endpoint. It returns the endpoint if it is new or has
// restarted, moved to another address or changed its service, and the one that
// it replaces.
func (f *Fleet) Set(entry Entry, now time.Time) (added *Endpoint, replaced *Endpoint) {
	known := f.byID[entry.ID]
	if known != nil && !entry.Supersedes(known.Entry) {
		return nil, nil
	}
	if known != nil && known.StartMillis == entry.StartMillis && known.Address == entry.Address && known.Service == entry.Service {
		known.Entry = entry
		known.graceUntil, known.unreadable = time.Time{}, false
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

// Remove removes an endpoint and returns it. After an outage of the platform,
// it instead starts a grace period in which the endpoint may come back, and
// returns nil.
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

// MarkUnreadable records that an endpoint's newest entry cannot be read. The endpoint
// accepts no requests until another one can; what is known of it is kept.
func (f *Fleet) MarkUnreadable(id string) {
	if e := f.byID[id]; e != nil {
		e.unreadable = true
	}
}

func (f *Fleet) remove(e *Endpoint) {
	e.gone = true
	delete(f.byID, e.ID)
	if f.byHash[e.Hash] == e {
		delete(f.byHash, e.Hash)
	}
	f.services[e.Service] = slices.DeleteFunc(f.services[e.Service], func(other *Endpoint) bool { return other == e })
}

// ExpireRemoved removes and returns the endpoints whose grace period is over.
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

// SetExcludedDomains sets the failure domains whose endpoints accept no new
// requests.
func (f *Fleet) SetExcludedDomains(domains map[string]bool) { f.excludedDomains = domains }

// Get returns an endpoint, or nil.
func (f *Fleet) Get(id string) *Endpoint { return f.byID[id] }

// ByHash returns an endpoint by the hash of its ID, or nil.
func (f *Fleet) ByHash(hash uint32) *Endpoint { return f.byHash[hash] }

// SetHostLoads replaces the loads of another host, given by endpoint hash.
// Endpoints that its last report contained and this one does not have none of
// its load any more. The cost depends on the number of endpoints that the host
// uses, not on the size of the fleet.
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

// ByService returns the endpoints of a service, sorted by ID.
func (f *Fleet) ByService(service string) []*Endpoint { return f.services[service] }

// All calls fn for each endpoint.
func (f *Fleet) All(fn func(*Endpoint)) {
	for _, e := range f.byID {
		fn(e)
	}
}

// IsUsable reports whether an endpoint accepts requests at all: it is listed,
// not draining, not in a grace period, and its failure domain is not excluded.
func (f *Fleet) IsUsable(e *Endpoint) bool { return f.IsServing(e) && !f.IsExcluded(e.Domain) }

// IsServing reports whether an endpoint accepts requests unless its failure domain is
// excluded.
func (f *Fleet) IsServing(e *Endpoint) bool {
	return !e.gone && !e.Draining && !e.leaving && !e.unreadable && e.graceUntil.IsZero()
}

// IsExcluded reports whether a failure domain must receive no new requests.
func (f *Fleet) IsExcluded(domain string) bool { return f.excludedDomains[domain] }

// MedianFailureRate returns the median failure rate of a service's endpoints.
// It serves as the baseline: a failure that affects all endpoints alike is no
// reason to avoid any of them.
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
