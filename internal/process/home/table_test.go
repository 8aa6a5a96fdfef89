package home

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mustarddoor/internal/process/identity"
)

func hostNamed(name string) identity.Host {
	return identity.Host{Incarnation: identity.Incarnation{Host: name, Number: 1}, MeshAddress: name}
}

var start = time.Unix(1_700_000_000, 0)

func TestTableApply(t *testing.T) {
	a, b := hostNamed("a"), hostNamed("b")
	again := hostNamed("a")
	again.Number = 2
	claim := func(host identity.Host, readTo uint64) Record {
		return Record{Host: host, LeaseMillis: 1000, ReadTo: readTo, Claim: []string{"e"}}
	}
	renew := func(host identity.Host, fence uint64) Record {
		return Record{Host: host, LeaseMillis: 1000, Renew: []LeaseRef{{Endpoint: "e", Fence: fence}}}
	}
	release := func(host identity.Host, fence uint64) Record {
		return Record{Host: host, Release: []LeaseRef{{Endpoint: "e", Fence: fence}}}
	}
	cases := []struct {
		name    string
		records []Record
		holder  string
		fence   uint64
		last    uint64
		free    bool
	}{
		{"claim", []Record{claim(a, 0)}, "a", 1, 1, false},
		{"second claim of a race", []Record{claim(a, 0), claim(b, 0)}, "a", 1, 1, false},
		{"claim that missed a renewal", []Record{claim(a, 0), renew(a, 1), claim(b, 1)}, "a", 1, 2, false},
		{"claim after the last renewal", []Record{claim(a, 0), renew(a, 1), claim(b, 2)}, "b", 3, 3, false},
		{"renewal by the previous holder", []Record{claim(a, 0), claim(b, 1), renew(a, 1)}, "b", 2, 2, false},
		{"renewal by another incarnation", []Record{claim(a, 0), renew(again, 1)}, "a", 1, 1, false},
		{"renewal of a trimmed claim", []Record{renew(b, 9)}, "b", 9, 1, false},
		{"renewal of a later trimmed claim", []Record{claim(a, 0), renew(b, 9)}, "b", 9, 2, false},
		{"release", []Record{claim(a, 0), release(a, 1)}, "a", 1, 2, true},
		{"release by another", []Record{claim(a, 0), release(b, 1)}, "a", 1, 1, false},
		{"renewal after release", []Record{claim(a, 0), release(a, 1), renew(a, 1)}, "a", 1, 2, true},
		{"claim after release", []Record{claim(a, 0), release(a, 1), claim(b, 2)}, "b", 3, 3, false},
		{"claim before release was read", []Record{claim(a, 0), release(a, 1), claim(b, 1)}, "a", 1, 2, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable()
			for i, record := range c.records {
				table.Apply(uint64(i)+1, record, start)
			}
			entry, found := table.Entry("e")
			assert.Assert(t, found)
			assert.Equal(t, entry.Holder.Host, c.holder)
			assert.Equal(t, entry.Fence, c.fence)
			assert.Equal(t, entry.LastOffset, c.last)
			assert.Equal(t, entry.Free, c.free)
		})
	}
}

// An exclusion set by a home must survive a change of home.
func TestExclusionStaysWithEndpoint(t *testing.T) {
	table := NewTable()
	table.Apply(1, Record{Host: hostNamed("a"), Claim: []string{"e"}}, start)
	applied := table.Apply(2, Record{Host: hostNamed("a"), Renew: []LeaseRef{{Endpoint: "e", Fence: 1, Excluded: true}}}, start)
	assert.DeepEqual(t, applied.ExclusionChanged, []string{"e"})
	table.Apply(3, Record{Host: hostNamed("b"), ReadTo: 2, Claim: []string{"e"}}, start)
	entry, _ := table.Entry("e")
	assert.Assert(t, entry.Excluded)
}

func TestLoadLimiterReservesInLogOrder(t *testing.T) {
	var limiter LoadLimiter
	reservation := LoadReservation{PerMinute: 60}
	assert.Equal(t, limiter.Reserve(10_000, reservation), time.Duration(0))
	assert.Equal(t, limiter.Reserve(10_000, reservation), 1050*time.Millisecond)
	assert.Equal(t, limiter.Reserve(10_500, reservation), 1600*time.Millisecond)
	assert.Equal(t, limiter.Reserve(60_000, reservation), time.Duration(0))
}

func FuzzDecode(f *testing.F) {
	codec := NewRecordCodec("a secret of the test fleet")
	record := Record{Host: hostNamed("a"), Claim: []string{"e"}, Load: &LoadReservation{PerMinute: 1}}
	f.Add(codec.Encode(record), false)
	f.Add(mustEncode(record), true)
	f.Fuzz(func(t *testing.T, data []byte, withMAC bool) {
		if withMAC {
			data = mustEncode(authenticatedRecord{Body: data, MAC: codec.mac(data)})
		}
		decoded, err := codec.Decode(data)
		if err != nil {
			return
		}
		NewTable().Apply(1, decoded, start)
		again, err := codec.Decode(codec.Encode(decoded))
		assert.NilError(t, err)
		assert.Equal(t, again.Host, decoded.Host)
	})
}

func TestDecodeRefuses(t *testing.T) {
	data := NewRecordCodec("a secret of another fleet").Encode(Record{Host: hostNamed("a")})
	_, err := NewRecordCodec("a secret of the test fleet").Decode(data)
	assert.ErrorIs(t, err, ErrWrongMAC)
	_, err = NewRecordCodec("x").Decode([]byte("x"))
	assert.ErrorIs(t, err, ErrMalformedRecord)
}

// modelHost is a host in the lease model: it reads and sends with delays, and
// its clock runs at its own speed.
type modelHost struct {
	self  identity.Host
	table *Table
	// clockPercent is the speed of the host's clock in percent.
	clockPercent int
	until        time.Time
	sent         map[uint64]time.Time
	// released is the fencing token of the lease released last.
	released uint64
}

// model is a log and hosts that compete for one endpoint.
type model struct {
	t     *rapid.T
	now   time.Duration
	log   []Record
	hosts []*modelHost
	// delayed are records in transit to the log.
	delayed []delayedRecord
}

type delayedRecord struct {
	host   *modelHost
	record Record
	sent   time.Time
}

// clock returns the time of a host's clock.
func (m *model) clock(h *modelHost) time.Time {
	return start.Add(m.now * time.Duration(h.clockPercent) / 100)
}

// read lets a host read up to count records.
func (m *model) read(h *modelHost, count int) {
	for range count {
		offset := h.table.Offset + 1
		if offset > uint64(len(m.log)) {
			return
		}
		record := m.log[offset-1]
		applied := h.table.Apply(offset, record, m.clock(h))
		entry, _ := h.table.Entry("e")
		if record.Host == h.self && len(applied.Changed)+len(applied.Renewed) > 0 && entry.Fence != h.released {
			h.until = holderExpiry(h.sent[offset], time.Duration(record.LeaseMillis)*time.Millisecond)
		}
		if entry.Free || entry.Holder != h.self {
			h.until = time.Time{}
		}
	}
}

// plan lets a host plan and send the resulting record, which arrives at any
// later time.
func (m *model) plan(h *modelHost) {
	actions := Plan(PlanInput{
		Self:      h.self,
		Leaving:   rapid.IntRange(0, 9).Draw(m.t, "leaving") == 0,
		Members:   []Member{{Host: h.self}},
		Endpoints: []string{"e"},
		Table:     h.table,
		LeaseTTL:  minLeaseTTL,
		Released:  map[string]uint64{"e": h.released},
		Now:       m.clock(h),
	})
	if actions.IsEmpty() {
		return
	}
	if len(actions.Release) > 0 {
		h.until = time.Time{}
		h.released = actions.Release[0].Fence
	}
	m.delayed = append(m.delayed, delayedRecord{host: h, sent: m.clock(h), record: Record{
		Host:        h.self,
		LeaseMillis: minLeaseTTL.Milliseconds(),
		ReadTo:      h.table.Offset,
		Claim:       actions.Claim,
		Renew:       actions.Renew,
		Release:     actions.Release,
	}})
}

// deliver appends a delayed record to the log or loses it.
func (m *model) deliver() {
	if len(m.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.delayed)-1).Draw(m.t, "arrives")
	next := m.delayed[i]
	m.delayed = append(m.delayed[:i:i], m.delayed[i+1:]...)
	if rapid.IntRange(0, 5).Draw(m.t, "lost") == 0 {
		return
	}
	m.log = append(m.log, next.record)
	next.host.sent[uint64(len(m.log))] = next.sent
}

// check fails if more than one host believes it is the home.
func (m *model) check() {
	holders := []string{}
	for _, h := range m.hosts {
		if m.clock(h).Before(h.until) {
			holders = append(holders, h.self.Host)
		}
	}
	assert.Assert(m.t, len(holders) <= 1, "%v at %v", holders, m.now)
}

// No two hosts may hold a lease at the same time, however late they read and
// write, whatever records get lost, and with clocks that differ by some
// percent.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t}
		for i, name := range []string{"a", "b", "c"} {
			m.hosts = append(m.hosts, &modelHost{
				self: hostNamed(name), table: NewTable(), clockPercent: 97 + 3*i, sent: map[uint64]time.Time{},
			})
		}
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			h := m.hosts[rapid.IntRange(0, 2).Draw(t, "host")]
			switch rapid.IntRange(0, 4).Draw(t, "act") {
			case 0:
				m.read(h, rapid.IntRange(1, 5).Draw(t, "records"))
			case 1:
				m.plan(h)
			case 2, 3:
				m.deliver()
			default:
				m.now += time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond
			}
			m.check()
		}
	})
}

func TestFirstHome(t *testing.T) {
	now := time.Now()
	claim := func(table *Table, offset uint64) bool {
		table.Apply(offset, Record{Claim: []string{"e"}, ReadTo: offset - 1, LeaseMillis: 1000}, now)
		entry, found := table.Entry("e")
		assert.Assert(t, found)
		return entry.First
	}
	whole := NewTable()
	assert.Assert(t, claim(whole, 1), "the first claim of a stream read from its beginning")
	assert.Assert(t, !claim(whole, 2), "a second home")

	trimmed := NewTable()
	trimmed.RestartAfterGap(now)
	assert.Assert(t, !claim(trimmed, 9), "records before the claim are gone")

	evicted := NewTable()
	claim(evicted, 1)
	evicted.Evict(now.Add(time.Hour), func(string) bool { return false })
	assert.Assert(t, !claim(evicted, 2), "the earlier home was evicted")
}
