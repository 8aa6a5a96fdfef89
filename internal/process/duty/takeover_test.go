package duty

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// play runs the model for a time without random faults.
func (m *model) play(length time.Duration) {
	for end := m.now.Add(length); m.now.Before(end); {
		m.step(false)
	}
}

// holder returns the host that may send, or nil.
func (m *model) holder(t *testing.T) *modelHost {
	t.Helper()
	var holder *modelHost
	for _, h := range m.hosts {
		if _, isGranted := h.state.grant(m.now); isGranted && !m.now.Before(h.frozenUntil) {
			assert.Assert(t, holder == nil, "two holders")
			holder = h
		}
	}
	return holder
}

// awaitHolder plays until a host other than one holds the duties, and returns it.
func (m *model) awaitHolder(t *testing.T, other *modelHost, limit time.Duration) *modelHost {
	t.Helper()
	for end := m.now.Add(limit); m.now.Before(end); {
		m.step(false)
		if holder := m.holder(t); holder != nil && holder != other {
			return holder
		}
	}
	t.Fatalf("no other holder after %v", limit)
	return nil
}

const forever = time.Hour

// Whatever ends a holder, another host holds the duties within seconds, and the first one
// sends nothing when it is back.
func TestTakeOver(t *testing.T) {
	cases := []struct {
		name  string
		fault func(m *model, h *modelHost)
		limit time.Duration
	}{
		{"killed", func(m *model, h *modelHost) { m.start(h); h.frozenUntil = m.now.Add(forever) }, 4 * time.Second},
		{"restarted", func(m *model, h *modelHost) { m.start(h) }, 4 * time.Second},
		{"frozen", func(m *model, h *modelHost) { h.frozenUntil = m.now.Add(6 * time.Second) }, 4 * time.Second},
		{"cut from the store", func(m *model, h *modelHost) { h.refusedUntil = m.now.Add(6 * time.Second) }, 4 * time.Second},
		{"yielding", func(m *model, h *modelHost) { h.state.yield(m.now, 8*time.Second) }, 2500 * time.Millisecond},
		{"stopped", func(m *model, h *modelHost) { h.state.stop(m.now) }, 2500 * time.Millisecond},
	}
	for _, isFenced := range []bool{true, false} {
		for _, c := range cases {
			m := newModel(3, isFenced)
			first := m.awaitHolder(t, nil, 6*time.Second)
			m.play(12 * time.Second)
			assert.Equal(t, m.holder(t), first, c.name)
			token, _ := first.state.grant(m.now)
			c.fault(m, first)
			limit := c.limit
			if !isFenced {
				limit += unfencedMargin
			}
			next := m.awaitHolder(t, first, limit)
			nextToken, _ := next.state.grant(m.now)
			assert.Assert(t, nextToken > token, c.name)
			m.play(20 * time.Second)
			assert.Equal(t, m.holder(t), next, c.name)
			assert.NilError(t, m.check(), c.name)
		}
	}
}

// A host that wakes after another one has taken over finds its lease lapsed before it takes any answer.
func TestWokenHolderSendsNothing(t *testing.T) {
	m := newModel(5, true)
	first := m.awaitHolder(t, nil, 6*time.Second)
	first.frozenUntil = m.now.Add(m.config.LeaseDuration)
	for m.now.Before(first.frozenUntil) {
		m.step(false)
	}
	_, isGranted := first.state.grant(m.now)
	assert.Assert(t, !isGranted && first.state.isHeld)
}

// A holder whose lease has lapsed goes on if nobody has taken over.
func TestStoreOutage(t *testing.T) {
	m := newModel(5, true)
	m.awaitHolder(t, nil, 6*time.Second)
	for _, h := range m.hosts {
		h.refusedUntil = m.now.Add(8 * time.Second)
	}
	m.play(5 * time.Second)
	assert.Assert(t, m.holder(t) == nil)
	m.play(7 * time.Second)
	holder := m.holder(t)
	assert.Assert(t, holder != nil)
	assert.NilError(t, m.check())
}

// A host that has yielded claims the duties again if no other host does.
func TestYieldAlone(t *testing.T) {
	m := newModel(5, true)
	m.hosts = m.hosts[:1]
	first := m.awaitHolder(t, nil, 6*time.Second)
	first.state.yield(m.now, 8*time.Second)
	m.play(7 * time.Second)
	assert.Assert(t, m.holder(t) == nil)
	m.play(2 * time.Second)
	assert.Equal(t, m.holder(t), first)
	assert.NilError(t, m.check())
}

// The duties do not return to a host within the time for which that is forbidden, even if
// its successor releases them.
func TestReturn(t *testing.T) {
	m := newModel(7, true)
	m.hosts = m.hosts[:2]
	first := m.awaitHolder(t, nil, 6*time.Second)
	first.frozenUntil = m.now.Add(3500 * time.Millisecond)
	next := m.awaitHolder(t, first, 5*time.Second)
	next.state.stop(m.now)
	lapsedAt := first.state.until
	assert.Equal(t, m.awaitHolder(t, next, 8*time.Second), first)
	assert.Assert(t, m.now.Sub(lapsedAt) >= m.config.LeaseDuration, m.now.Sub(lapsedAt))
	assert.NilError(t, m.check())
}

// After the store was restored from a copy, the holder saves again what the copy lacks and
// holds on with a higher token, although offsets are issued again.
func TestRestoredStore(t *testing.T) {
	m := newModel(9, true)
	holder := m.awaitHolder(t, nil, 6*time.Second)
	m.play(21 * time.Second)
	token, _ := holder.state.grant(m.now)
	length := len(m.store.records)
	m.store.restore(12)
	m.play(2 * time.Second)
	assert.Equal(t, m.holder(t), holder)
	renewedToken, _ := holder.state.grant(m.now)
	assert.Assert(t, renewedToken > token && len(m.store.records) < length)
	stored, _ := decodeSaved(m.store.snapshot().Values[UsageKey])
	assert.DeepEqual(t, stored, savedValue{Era: 2, Value: holder.state.values[UsageKey].Value})
	m.play(20 * time.Second)
	assert.NilError(t, m.check())
	// Without the holder, nobody knows what was sent: these windows are not sent again.
	lastSent := holder.answered
	m.store.restore(12)
	m.start(holder)
	holder.frozenUntil = m.now.Add(forever)
	next := m.awaitHolder(t, holder, 6*time.Second)
	m.play(12 * time.Second)
	assert.Assert(t, next.answered > lastSent)
	assert.NilError(t, m.check())
}

func TestFencingToken(t *testing.T) {
	positions := []struct{ era, offset uint64 }{{0, 0}, {0, 1<<offsetBits - 1}, {1, 0}, {1, 7}, {2, 3}, {maxToken>>offsetBits - 1, 1<<offsetBits - 1}}
	last := uint64(0)
	for i, p := range positions {
		token, isValid := fencingToken(position(p.era, p.offset))
		assert.Assert(t, isValid && token < maxToken && (i == 0 || token > last))
		last = token
	}
	for _, p := range []struct{ era, offset uint64 }{{0, 1 << offsetBits}, {maxToken >> offsetBits, 0}} {
		_, isValid := fencingToken(position(p.era, p.offset))
		assert.Assert(t, !isValid)
	}
}
