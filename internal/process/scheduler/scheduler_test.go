package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/request/tier"
)

func TestDecide(t *testing.T) {
	now := time.Unix(1000, 0)
	long := Prefix{Hash: 7, Tokens: 2000}
	cases := []struct {
		name    string
		setUp   func(p *Pool, x *PrefixIndex)
		request Request
		want    Action
		// wantEndpoint is the index of the expected endpoint, -1 for any.
		wantEndpoint int
	}{
		{"any", nil, Request{}, ActionDispatch, -1},
		{"one endpoint with the adapter", func(p *Pool, x *PrefixIndex) { p.endpoints[1].Adapters = []string{"a"} },
			Request{Adapter: "a"}, ActionDispatch, 1},
		{"no such adapter", nil, Request{Adapter: "a"}, ActionNoCandidate, -1},
		{"no such version", nil, Request{Version: "v9"}, ActionNoCandidate, -1},
		{"cached", func(p *Pool, x *PrefixIndex) { x.Add(now, 2, 7) },
			Request{PromptTokens: 2100, Prefixes: []Prefix{long}}, ActionDispatch, 2},
		{"cached at two, removed from one", func(p *Pool, x *PrefixIndex) {
			x.Add(now, 1, 7)
			x.Add(now, 2, 7)
			x.Remove(1, 7)
		}, Request{PromptTokens: 2100, Prefixes: []Prefix{long}}, ActionDispatch, 2},
		{"cached, without a local slot, requests one", func(p *Pool, x *PrefixIndex) {
			x.Add(now, 2, 7)
			p.endpoints[2].LocalSlots.ReleaseUnused(0)
			p.endpoints[2].Live.SetRemoteUsage(now, RemoteUsage{Headroom: 1, Limit: 8})
		}, Request{PromptTokens: 2100, Prefixes: []Prefix{long}}, ActionRequestSlot, 2},
		{"local slots only", func(p *Pool, x *PrefixIndex) {
			x.Add(now, 2, 7)
			p.endpoints[2].LocalSlots.ReleaseUnused(0)
			p.endpoints[0].LocalSlots.ReleaseUnused(0)
		}, Request{PromptTokens: 2100, Prefixes: []Prefix{long}, LocalSlotsOnly: true}, ActionDispatch, 1},
		{"all slots in use", func(p *Pool, x *PrefixIndex) {
			for i := range p.endpoints {
				p.endpoints[i].LocalSlots.ReleaseUnused(0)
			}
		}, Request{LocalSlotsOnly: true}, ActionWait, -1},
		{"floor", func(p *Pool, x *PrefixIndex) {
			for i := range p.endpoints {
				p.endpoints[i].LocalSlots.LowerFloor(1)
			}
		}, Request{Tier: 2, LocalSlotsOnly: true}, ActionWait, -1},
		{"prompt too long for the deadline", nil, Request{PromptTokens: 1e6, Deadline: now.Add(time.Second)}, ActionDeadlineUnreachable, -1},
		{"deadline missed only because of the backlog", func(p *Pool, x *PrefixIndex) {
			for i := range p.endpoints {
				p.endpoints[i].Live.AddPendingTokens(1e6)
			}
		}, Request{Deadline: now.Add(time.Second)}, ActionWait, -1},
		{"backlog of other hosts", func(p *Pool, x *PrefixIndex) {
			p.endpoints[0].Live.SetRemoteUsage(now, RemoteUsage{PendingTokens: 1e5})
			p.endpoints[1].Live.SetRemoteUsage(now, RemoteUsage{PendingTokens: 1e5})
		}, Request{}, ActionDispatch, 2},
		{"cold endpoint is slower", func(p *Pool, x *PrefixIndex) {
			p.endpoints[0].Live.SetCold(true)
			p.endpoints[2].Live.SetCold(true)
		}, Request{PromptTokens: 4000}, ActionDispatch, 1},
		{"avoided endpoint is excluded", func(p *Pool, x *PrefixIndex) { x.Add(now, 2, 7) },
			Request{Avoid: 2, PromptTokens: 2100, Prefixes: []Prefix{long}}, ActionDispatch, -1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			pool, index := testPool(now, 3)
			if c.setUp != nil {
				c.setUp(pool, index)
			}
			if c.request.Avoid == 0 {
				c.request.Avoid = NoEndpoint
			}
			got := pool.Decide(now, &c.request)
			assert.Equal(t, got.Action, c.want)
			if c.wantEndpoint >= 0 {
				assert.Equal(t, got.Endpoint, c.wantEndpoint)
			}
			if c.request.Avoid >= 0 {
				assert.Assert(t, got.Endpoint != c.request.Avoid)
			}
		})
	}
}

// TestLargePoolIncludesCachedEndpoint checks that sampling a large pool does not
// skip the only endpoint that has the prompt cached.
func TestLargePoolIncludesCachedEndpoint(t *testing.T) {
	now := time.Unix(1000, 0)
	pool, index := testPool(now, 1400)
	index.Add(now, 1234, 7)
	for random := range uint64(20) {
		request := Request{PromptTokens: 4000, Prefixes: []Prefix{{7, 3900}}, Avoid: NoEndpoint, Random: random << 20}
		assert.Equal(t, pool.Decide(now, &request).Endpoint, 1234)
	}
}

// TestTiedEndpointsShareRequests checks that hosts with the same view of two tied
// endpoints do not all pick the same one.
func TestTiedEndpointsShareRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	pool, _ := testPool(now, 1)
	twin, _ := testPool(now, 1)
	twin.endpoints[0].ID = 1
	both := NewPool([]Endpoint{pool.endpoints[0], twin.endpoints[0]}, NewPrefixIndex(now))
	seen := map[int]bool{}
	for _, random := range []uint64{0, 1 << 63} {
		seen[both.Decide(now, &Request{Avoid: NoEndpoint, Random: random}).Endpoint] = true
	}
	assert.Equal(t, len(seen), 2)
}

func TestRemoteBacklogDecays(t *testing.T) {
	now := time.Unix(1000, 0)
	live := NewLiveStats(1000, 40, now)
	live.SetRemoteUsage(now, RemoteUsage{PendingTokens: 1000})
	backlogAfter := func(elapsed time.Duration) int {
		return estimate(now.Add(elapsed), &Request{Tier: tier.Lowest}, live, 0).BacklogTokens
	}
	assert.Equal(t, backlogAfter(0), 1000)
	assert.Equal(t, backlogAfter(500*time.Millisecond), 500)
	assert.Equal(t, backlogAfter(2*time.Second), 0)
}

func TestLengthQuantiles(t *testing.T) {
	l := NewLengthEstimator(1000)
	assert.Assert(t, l.Quantile(0.5) >= 1000)
	for i := range 3000 {
		l.Observe(10 + i%10*100)
	}
	assert.Assert(t, l.Quantile(0.1) < 200)
	assert.Assert(t, l.Quantile(0.9) > 700)
}

func TestPrefixIndexRemoval(t *testing.T) {
	now := time.Unix(1000, 0)
	x := NewPrefixIndex(now)
	x.Add(now, 1, 7)
	x.Add(now.Add(time.Minute), 1, 8)
	x.RemoveEndpoint(1, now.Add(30*time.Second))
	assert.Assert(t, x.lookup(7) == nil)
	assert.Assert(t, x.lookup(8) != nil)
	for id := range uint16(maxOwners + 2) {
		x.Add(now.Add(time.Duration(id)*time.Hour), id+2, 8)
	}
	assert.Equal(t, x.lookup(8).count, maxOwners)
}
