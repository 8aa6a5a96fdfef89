package allowance_test

import (
	"cmp"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/allowance"
)

var modelSeeds = flag.Int("model-seeds", 30, "seeds of each case of TestTeamLimitModel")

const (
	modelStep      = 10 * time.Millisecond
	modelDay       = 40 * time.Second
	reportInterval = 60 * time.Millisecond
	// unreachableAfter is that of package peers, sharingFor the time for which a host
	// counts that has sent no message yet.
	unreachableAfter = 1140 * time.Millisecond
	sharingFor       = 20 * time.Second
	maxCut           = 15 * time.Second
)

// model is a fleet in virtual time that exchanges usage by messages which are late, out
// of order and lost, while hosts are cut off, frozen, killed, restarted and added.
type model struct {
	random *rand.Rand
	now    time.Time
	hosts  []*modelHost
	// side holds which side of a cut each host is on.
	side     []int
	healAt   time.Time
	messages []modelMessage
	// record is the history in the store; nil before the first one.
	record     *allowance.History
	hasRecord  bool
	recordedAt time.Time
	demand     modelDemand
	runs       []modelRun
	pending    []modelRun
	offered    float64
}

// modelDemand is what callers send: a share of the limit for each second, through some
// hosts only.
type modelDemand struct {
	limitsPerSecond float64
	hosts           int
	refundShare     float64
}

type modelHost struct {
	name        string
	limit       *allowance.TeamLimit
	view        *allowance.Hosts
	incarnation int64
	startedAt   time.Time
	// downUntil and frozenUntil are when the host runs again.
	downUntil, frozenUntil time.Time
	isFirst, isComplete    bool
	adoptAt                time.Time
	reportAt               time.Time
	sequence               uint64
	charged                float64
	peers                  map[string]*modelPeer
}

type modelPeer struct {
	incarnation int64
	sequence    uint64
	heardAt     time.Time
	knownAt     time.Time
}

type modelMessage struct {
	from, to    int
	incarnation int64
	sequence    uint64
	total       float64
	at          time.Time
}

// modelRun is a request that was charged.
type modelRun struct {
	host      *modelHost
	amount    float64
	chargedAt time.Time
	// refundAt is when it is refunded; the zero time if it runs.
	refundAt time.Time
	process  int64
}

func newModel(seed uint64, hosts int) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 1)), now: start}
	for range hosts {
		m.add()
	}
	for _, h := range m.hosts {
		m.start(h, true)
	}
	return m
}

func (m *model) add() *modelHost {
	h := &modelHost{name: strconv.Itoa(len(m.hosts))}
	m.hosts, m.side = append(m.hosts, h), append(m.side, 0)
	return h
}

// start starts a host's process, which knows the addresses in the store.
func (m *model) start(h *modelHost, isFirst bool) {
	h.incarnation++
	h.startedAt, h.isFirst, h.isComplete, h.sequence, h.charged = m.now, isFirst, isFirst, 0, 0
	h.adoptAt = m.now.Add(m.between(100*time.Millisecond, 300*time.Millisecond))
	h.view = allowance.NewHosts(m.now)
	h.limit = allowance.NewTeamLimit(config, h.view, isFirst, m.now)
	h.reportAt = m.now.Add(m.between(0, reportInterval))
	h.peers = map[string]*modelPeer{}
	for _, other := range m.hosts {
		if other != h {
			h.peers[other.name] = &modelPeer{knownAt: m.now}
		}
	}
	if !isFirst && m.hasRecord {
		h.limit.Restore(m.record, m.now.Sub(m.recordedAt), m.now)
	}
	m.updateView(h)
}

func (m *model) between(low, high time.Duration) time.Duration {
	return low + time.Duration(m.random.Int64N(int64(high-low)+1))
}

func (m *model) isUp(h *modelHost) bool {
	return !m.now.Before(h.downUntil) && !m.now.Before(h.frozenUntil)
}

func (m *model) updateView(h *modelHost) {
	sharers := map[string]allowance.Sharer{}
	isAlone := true // no message of any other host has arrived
	for _, p := range h.peers {
		isAlone = isAlone && p.heardAt.IsZero()
	}
	for name, p := range h.peers {
		switch silence := m.now.Sub(p.heardAt); {
		case !p.heardAt.IsZero() && silence < unreachableAfter:
			sharers[name] = allowance.Sharer{MaxSilence: reportSilence}
		case isAlone || !p.heardAt.IsZero() || m.now.Sub(p.knownAt) < sharingFor:
			sharers[name] = allowance.Sharer{}
		}
	}
	h.view.Set(sharers)
}

func (m *model) step() {
	m.now = m.now.Add(modelStep)
	if !m.now.Before(m.healAt) {
		clear(m.side)
	}
	m.restartDue()
	m.deliver()
	for i, h := range m.hosts {
		if !m.isUp(h) {
			continue
		}
		if !m.now.Before(h.reportAt) {
			m.report(i, h)
		}
		if !h.isComplete && m.now.Sub(h.startedAt) < 3*time.Second && m.now.After(h.adoptAt) {
			m.adopt(i, h)
		}
		if m.now.Sub(start)%(100*time.Millisecond) == 0 {
			m.updateView(h)
		}
	}
	if m.now.Sub(start)%(250*time.Millisecond) == 0 {
		m.writeRecord()
	}
	m.refund()
	m.offer()
}

func (m *model) report(from int, h *modelHost) {
	h.reportAt = m.now.Add(reportInterval)
	h.sequence++
	total := h.limit.ReportUsage(m.now)
	for to := range m.hosts {
		if to == from || m.random.Float64() < 0.02 || m.side[from] != m.side[to] {
			continue
		}
		delay := m.between(time.Millisecond, 5*time.Millisecond)
		if m.random.Float64() < 0.02 {
			delay = m.between(0, 900*time.Millisecond) // overtaken by later ones
		}
		m.messages = append(m.messages, modelMessage{from, to, h.incarnation, h.sequence, total, m.now.Add(delay)})
	}
}

// deliver delivers the messages that are due. Those to a frozen host wait for it.
func (m *model) deliver() {
	due := m.messages[:0:0]
	m.messages = slices.DeleteFunc(m.messages, func(message modelMessage) bool {
		target := m.hosts[message.to]
		if message.at.After(m.now) || !m.now.Before(target.downUntil) && m.now.Before(target.frozenUntil) {
			return false
		}
		if m.isUp(target) && m.side[message.from] == m.side[message.to] {
			due = append(due, message)
		}
		return true
	})
	slices.SortStableFunc(due, func(a, b modelMessage) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	for _, message := range due {
		m.receive(m.hosts[message.to], message)
	}
}

func (m *model) receive(h *modelHost, message modelMessage) {
	from := m.hosts[message.from]
	p := h.peers[from.name]
	if p == nil {
		p = &modelPeer{knownAt: m.now}
		h.peers[from.name] = p
	}
	isNew := message.incarnation > p.incarnation || message.incarnation == p.incarnation && message.sequence > p.sequence ||
		message.incarnation < p.incarnation && m.now.Sub(p.heardAt) > 400*time.Millisecond
	if !isNew {
		return
	}
	p.incarnation, p.sequence, p.heardAt = message.incarnation, message.sequence, m.now
	for name := range from.peers {
		if h.peers[name] == nil && name != h.name {
			h.peers[name] = &modelPeer{knownAt: m.now}
		}
	}
	includesEarlier := h.view.RecordReport(from.name, m.now)
	if message.total > 0 {
		h.limit.RecordRemoteUsage(from.name, message.incarnation, message.total, includesEarlier, m.now)
	}
}

// adopt lets a host that has started take the usage from one that knows all of it.
func (m *model) adopt(index int, h *modelHost) {
	for i, other := range m.hosts {
		knowsAll := other.isComplete || m.now.Sub(other.startedAt) > window
		if i != index && m.isUp(other) && m.side[i] == m.side[index] && knowsAll {
			history, _ := other.limit.History(m.now)
			h.limit.Adopt(history, m.now)
			h.isComplete = true
			return
		}
	}
}

func (m *model) writeRecord() {
	for _, h := range m.hosts {
		if !m.isUp(h) || !h.isFirst && m.now.Sub(h.startedAt) < 750*time.Millisecond {
			continue
		}
		history, isRelevant := h.limit.History(m.now)
		if m.hasRecord && isRelevant == (m.record != nil) && (!isRelevant || m.now.Sub(m.recordedAt) < time.Second) {
			return
		}
		m.hasRecord, m.record, m.recordedAt = true, nil, m.now
		if isRelevant {
			m.record = &history
		}
		return
	}
}

func (m *model) refund() {
	m.pending = slices.DeleteFunc(m.pending, func(r modelRun) bool {
		if r.refundAt.After(m.now) {
			return false
		}
		if r.process == r.host.incarnation && m.isUp(r.host) {
			r.host.limit.Refund(r.amount, r.chargedAt, m.now)
		}
		return true
	})
}

// offer sends requests to some of the hosts.
func (m *model) offer() {
	amount := m.demand.limitsPerSecond * 1000 * modelStep.Seconds()
	m.offered += amount
	for amount > 0 {
		// Whole quarters add up exactly in any order, so that a seed plays the same again.
		request := math.Ceil(4*min(amount, 0.5+m.random.ExpFloat64()*3)) / 4
		amount -= request
		h := m.hosts[m.random.IntN(min(m.demand.hosts, len(m.hosts)))]
		hasSpareCapacity, isRefunded, wait := m.random.Float64() < 0.5, m.random.Float64() < m.demand.refundShare, m.between(0, 3*time.Second)
		if !m.isUp(h) || !h.limit.Take(request, hasSpareCapacity, m.now) {
			continue
		}
		r := modelRun{host: h, amount: request, chargedAt: m.now, process: h.incarnation}
		if isRefunded {
			r.refundAt = m.now.Add(wait)
			m.pending = append(m.pending, r)
			continue
		}
		m.runs = append(m.runs, r)
	}
}

// highest returns the highest usage in any window.
func (m *model) highest() (highest float64, at time.Duration) {
	sum, first := 0.0, 0
	for _, r := range m.runs {
		sum += r.amount
		for r.chargedAt.Sub(m.runs[first].chargedAt) >= window {
			sum -= m.runs[first].amount
			first++
		}
		if sum > highest {
			highest, at = sum, r.chargedAt.Sub(start)
		}
	}
	return highest, at
}

func (m *model) play(disturbances []string) {
	next := start.Add(m.between(3*time.Second, 12*time.Second))
	for m.now.Before(start.Add(modelDay)) {
		if len(disturbances) > 0 && !m.now.Before(next) {
			m.disturb(disturbances[m.random.IntN(len(disturbances))])
			next = m.now.Add(m.between(200*time.Millisecond, 8*time.Second))
		}
		m.step()
	}
}

// The usage over all hosts stays within what the platform tolerates whatever the order,
// delay and loss of reports, with cuts, freezes, restarts, added hosts and refunds.
func TestTeamLimitModel(t *testing.T) {
	t.Parallel()
	for _, disturbances := range [][]string{nil, {"cut"}, {"freeze"}, {"kill"}, {"kill all"}, {"add"}, {"cut", "freeze", "kill", "kill all", "add"}} {
		t.Run(fmt.Sprint(disturbances), func(t *testing.T) {
			t.Parallel()
			highest := 0.0
			for seed := range uint64(*modelSeeds) {
				m := newModel(seed, 3+int(seed%7))
				m.demand = modelDemand{limitsPerSecond: 0.05 + m.random.Float64()*0.6, hosts: 1 + m.random.IntN(len(m.hosts)), refundShare: m.random.Float64() * 0.6}
				m.play(disturbances)
				used, at := m.highest()
				highest = max(highest, used)
				assert.Check(t, used <= allowedInWindow, "seed %d: %.0f units up to %v, demand %+v, %d hosts", seed, used, at, m.demand, len(m.hosts))
			}
			t.Logf("highest usage in a window: %.0f of 1000", highest)
		})
	}
}
