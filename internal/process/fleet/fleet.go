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
	// left are the domains whose endpoints get nothing.
	left map[string]bool
	// named are the endpoints with a load in each host's last message, by hash.
	named map[string][]uint32
}

// New returns a fleet without endpoints.
func New() *Fleet {
	return &Fleet{
		byID: map[string]*Endpoint{}, byHash: map[uint32]*Endpoint{},
		services: map[string][]*Endpoint{}, left: map[string]bool{},
		named: map[string][]uint32{},
	}
}

// doubtTime is how long after an outage of the platform a missing entry may
// still come back.
const doubtTime = 2 * time.Second

// Set takes an entry in. It returns the endpoint if this start of it is new.
func (f *Fleet) Set(entry Entry, now time.Time) (added *Endpoint, replaced *Endpoint) {
	known := f.byID[entry.ID]
	if known != nil && !entry.Supersedes(known.Entry) {
		return nil, nil
	}
	if known != nil && known.Born == entry.Born && known.Address == entry.Address && known.Service == entry.Service {
		known.Entry = entry
		known.doubtUntil = time.Time{}
		known.setCold(entry, now)
		return nil, nil
	}
	if known != nil {
		f.drop(known)
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
	if entry.Cold > 0 {
		e.coldUntil = now.Add(entry.Cold)
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
	if afterOutage && e.doubtUntil.IsZero() {
		e.doubtUntil = now.Add(doubtTime)
		return nil
	}
	f.drop(e)
	return e
}

func (f *Fleet) drop(e *Endpoint) {
	e.gone = true
	delete(f.byID, e.ID)
	if f.byHash[e.Hash] == e {
		delete(f.byHash, e.Hash)
	}
	f.services[e.Service] = slices.DeleteFunc(f.services[e.Service], func(other *Endpoint) bool { return other == e })
}

// Settle takes out the endpoints whose doubt is over.
func (f *Fleet) Settle(now time.Time) []*Endpoint {
	var over []*Endpoint
	for _, e := range f.byID {
		if !e.doubtUntil.IsZero() && now.After(e.doubtUntil) {
			over = append(over, e)
		}
	}
	for _, e := range over {
		f.drop(e)
	}
	return over
}

// SetLeft tells which domains are to get nothing.
func (f *Fleet) SetLeft(domains map[string]bool) { f.left = domains }

// Get is an endpoint, or nil.
func (f *Fleet) Get(id string) *Endpoint { return f.byID[id] }

// ByHash is an endpoint by its name in messages, or nil.
func (f *Fleet) ByHash(hash uint32) *Endpoint { return f.byHash[hash] }

// Hear takes in the loads of another host by the endpoints' names in messages.
// Endpoints that it has named before and names no more have none of its work.
// The cost depends on the endpoints that the host uses, not on how many there
// are.
func (f *Fleet) Hear(host string, loads map[uint32]Load, at time.Time) {
	before := f.named[host]
	for _, hash := range before {
		if _, found := loads[hash]; found {
			continue
		}
		if e := f.ByHash(hash); e != nil {
			e.hear(host, Load{}, at)
		}
	}
	now := before[:0]
	for hash, load := range loads {
		if e := f.ByHash(hash); e != nil {
			e.hear(host, load, at)
		}
		now = append(now, hash)
	}
	if len(now) == 0 {
		delete(f.named, host)
		return
	}
	f.named[host] = now
}

// Of are the endpoints of a service.
func (f *Fleet) Of(service string) []*Endpoint { return f.services[service] }

// All calls fn for each endpoint.
func (f *Fleet) All(fn func(*Endpoint)) {
	for _, e := range f.byID {
		fn(e)
	}
}

// MayUse reports whether requests may go to an endpoint at all: it is in the
// list, not about to leave, and its domain is in use.
func (f *Fleet) MayUse(e *Endpoint) bool {
	return !e.gone && !e.Draining && e.doubtUntil.IsZero() && !f.left[e.Domain]
}

// UsualFailures is the middle share of failures among a service's endpoints: a
// fault that all of them have speaks against none of them.
func (f *Fleet) UsualFailures(service string) float64 {
	shares := make([]float64, 0, len(f.services[service]))
	for _, e := range f.services[service] {
		shares = append(shares, e.trust.failed)
	}
	if len(shares) == 0 {
		return 0
	}
	slices.Sort(shares)
	return shares[len(shares)/2]
}
