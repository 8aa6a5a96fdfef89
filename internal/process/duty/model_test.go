package duty

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/keyed"
)

// modelStep is the time between two steps of the model.
const modelStep = 50 * time.Millisecond

var modelStart = time.Unix(1_700_000_000, 0)

// modelStore is a partition with a history of copies.
type modelStore struct {
	era     uint64
	records []keyed.Record
}

func (m *modelStore) position() keyed.Position {
	return keyed.Position{Era: m.era, Offset: uint64(len(m.records))}
}

func (m *modelStore) snapshot() keyed.Snapshot {
	values := map[string][]byte{}
	for _, record := range m.records {
		values[record.Key] = record.Value
	}
	return keyed.Snapshot{Position: m.position(), Values: values}
}

func (m *modelStore) read(from keyed.Position) (keyed.Batch, error) {
	if from.Offset > uint64(len(m.records)) {
		return keyed.Batch{}, keyed.ErrTrimmed
	}
	return keyed.Batch{Records: m.records[from.Offset:], Next: m.position()}, nil
}

func (m *modelStore) append(record keyed.Record, at uint64) (keyed.Position, error) {
	if at != uint64(len(m.records)) {
		return keyed.Position{}, keyed.ErrConflict
	}
	m.records = append(m.records, record)
	return m.position(), nil
}

// restore brings back a copy without the last records.
func (m *modelStore) restore(lost int) {
	m.records = slices.Clone(m.records[:max(0, len(m.records)-lost)])
	m.era++
}

// modelCall is a call to the store in progress.
type modelCall struct {
	action               action
	executeAt, answerAt  time.Time
	isAnswered, executed bool
	result               func(s *state, now time.Time)
}

// modelHost is a host that reports usage.
type modelHost struct {
	name        string
	state       *state
	starts      int64
	call        *modelCall
	answered    int64
	frozenUntil time.Time
	// sendsAfter is when the last call of a duty has arrived.
	sendsAfter time.Time
	// refusedUntil is until when the store turns this host away.
	refusedUntil time.Time
}

// sentCall is a call of a duty as the platform sees it.
type sentCall struct {
	arrivedAt time.Time
	host      string
	token     uint64
	report    string
	window    int64
}

// model plays several hosts, a store and faults.
type model struct {
	random *rand.Rand
	config Config
	now    time.Time
	store  modelStore
	late   []*modelCall
	hosts  []*modelHost
	sent   []sentCall
	plan   ReportPlan
}

func newModel(seed uint64, isFenced bool) *model {
	m := &model{
		random: rand.New(rand.NewPCG(seed, 1)), now: modelStart, plan: ReportPlan{Length: 5 * time.Second, Lateness: 10 * time.Second},
		config: Config{LeaseDuration: 3 * time.Second, IsFenced: isFenced},
		store:  modelStore{era: 1},
	}
	for i := range 3 {
		h := &modelHost{name: fmt.Sprintf("h%d", i)}
		m.start(h)
		m.hosts = append(m.hosts, h)
	}
	return m
}

func (m *model) start(h *modelHost) {
	h.starts++
	config := m.config
	config.Holder, config.Incarnation = h.name, h.starts
	if h.call != nil {
		m.late = append(m.late, h.call)
	}
	h.state, h.call, h.answered = newState(config, m.now), nil, 0
}

func (m *model) chance(perMinute float64) bool {
	return m.random.Float64() < perMinute*modelStep.Minutes()
}

func (m *model) upTo(d time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(d)))
}

// step plays one step.
func (m *model) step(faults bool) {
	m.now = m.now.Add(modelStep)
	if faults && m.chance(1) {
		m.store.restore(m.random.IntN(8))
	}
	m.late = slices.DeleteFunc(m.late, func(c *modelCall) bool { return m.execute(c) })
	for _, h := range m.hosts {
		if h.call != nil {
			m.execute(h.call)
		}
		switch {
		case m.now.Before(h.frozenUntil):
			continue
		case faults && m.chance(3):
			h.frozenUntil = m.now.Add(m.upTo(9 * time.Second))
			continue
		case faults && m.chance(2):
			m.start(h)
			h.frozenUntil = m.now.Add(m.upTo(2 * time.Second))
			continue
		case faults && m.chance(1):
			h.refusedUntil = m.now.Add(m.upTo(8 * time.Second))
		case faults && m.chance(0.5):
			h.state.stop(m.now)
		case faults && m.chance(2):
			h.state.yield(m.now, m.upTo(6*time.Second))
		}
		m.run(h, faults)
	}
}

// execute makes the store execute a call when it is due.
func (m *model) execute(c *modelCall) bool {
	isWaiting := c.action.kind == actionPoll && m.store.position() == c.action.position && m.now.Before(c.executeAt.Add(c.action.wait))
	if c.executed || isWaiting || m.now.Before(c.executeAt) {
		return c.executed
	}
	c.executed = true
	switch a := c.action; a.kind {
	case actionLoad:
		snapshot := m.store.snapshot()
		c.result = func(s *state, now time.Time) { s.loaded(snapshot, now) }
	case actionPoll:
		batch, err := m.store.read(a.position)
		c.result = func(s *state, now time.Time) { s.read(batch, now) }
		if err != nil {
			c.result = func(s *state, now time.Time) { s.failed(a, err, now) }
		}
	default:
		end, err := m.store.append(a.record, a.position.Offset)
		c.result = func(s *state, now time.Time) { s.appended(a, end, now) }
		if err != nil {
			c.result = func(s *state, now time.Time) { s.failed(a, err, now) }
		}
	}
	return true
}

// run lets a host send what it may send, take an answer and make the next call.
func (m *model) run(h *modelHost, faults bool) {
	if token, isGranted := h.state.grant(m.now); isGranted && !m.now.Before(h.sendsAfter) {
		call := sentCall{arrivedAt: m.now.Add(m.upTo(300 * time.Millisecond)), host: h.name, token: token}
		if step := m.nextReport(h); step.Send && h.call == nil {
			call.report, call.window = string(h.state.values[UsageKey].Value), step.Window
			if m.random.IntN(4) > 0 {
				h.answered = step.Window
			}
		}
		m.sent, h.sendsAfter = append(m.sent, call), call.arrivedAt
	}
	if c := h.call; c != nil && !m.now.Before(c.answerAt) && (c.executed || !c.isAnswered) {
		h.call = nil
		if c.isAnswered {
			c.result(h.state, m.now)
		} else {
			h.state.failed(c.action, keyed.ErrUnanswered, m.now)
			m.late = append(m.late, c)
		}
	}
	if h.call == nil {
		m.begin(h, faults)
	}
}

// nextReport returns what a host does about the reports.
func (m *model) nextReport(h *modelHost) ReportStep {
	saved, hasSaved := UsageReport{}, false
	if value, found := h.state.values[UsageKey]; found {
		var err error
		saved, err = DecodeReport(value.Value)
		hasSaved = err == nil
	}
	state := ReportState{Fixed: saved.Window, HasFixed: hasSaved, IsAnswered: h.answered == saved.Window, Since: time.UnixMilli(h.state.own.Since)}
	return m.plan.Next(state, m.now, func(time.Time) bool { return true })
}

// begin makes a host's next call to the store.
func (m *model) begin(h *modelHost, faults bool) {
	s := h.state
	a := s.next(m.now, true, m.now.UnixMilli())
	_, isGranted := s.grant(m.now)
	if step := m.nextReport(h); a.kind == actionNone && step.Fix && isGranted && s.isKnown && s.position.Era == s.claimEra {
		value, _ := EncodeReport(UsageReport{Window: step.Window, Counts: map[string]int64{"a": m.random.Int64N(1 << 40)}})
		a = s.newSave(UsageKey, value, m.now)
	}
	switch {
	case a.kind == actionNone:
		return
	case m.now.Before(h.refusedUntil):
		s.failed(a, keyed.ErrRefused, m.now)
		return
	}
	c := &modelCall{action: a, executeAt: m.now, answerAt: m.now.Add(modelStep), isAnswered: true}
	if faults && m.random.IntN(10) == 0 {
		c.isAnswered = false
		c.answerAt = m.now.Add(callTimeout + a.wait)
		c.executeAt = m.now.Add(m.upTo(6 * time.Second))
	}
	h.call = c
}

// check returns what breaks the rules of the duties.
func (m *model) check() error {
	slices.SortStableFunc(m.sent, func(a, b sentCall) int { return a.arrivedAt.Compare(b.arrivedAt) })
	holders, reports, lastOf := map[uint64]string{}, map[int64]string{}, map[string]time.Time{}
	previous := sentCall{}
	for _, call := range m.sent {
		if holder, found := holders[call.token]; found && holder != call.host {
			return fmt.Errorf("token %d is sent by %s and %s", call.token, holder, call.host)
		}
		holders[call.token] = call.host
		if call.token < previous.token {
			return fmt.Errorf("%s sends token %d after %d of %s", call.host, call.token, previous.token, previous.host)
		}
		if last, found := lastOf[call.host]; found && previous.host != call.host && call.arrivedAt.Sub(last) < m.config.LeaseDuration {
			return fmt.Errorf("%s acts again %v after %s acted in between", call.host, call.arrivedAt.Sub(last), previous.host)
		}
		lastOf[call.host], previous = call.arrivedAt, call
		if call.report == "" {
			continue
		}
		if known, found := reports[call.window]; found && known != call.report {
			return fmt.Errorf("window %d is reported with two counts", call.window)
		}
		reports[call.window] = call.report
	}
	return nil
}

// No faults make two hosts hold the duties at a time, or report a window with two counts.
func TestHoldersModel(t *testing.T) {
	const seeds, length = 60, 4 * time.Minute
	for seed := range uint64(seeds) {
		m := newModel(seed, seed%2 == 0)
		for m.now.Before(modelStart.Add(length)) {
			m.step(true)
		}
		assert.NilError(t, m.check(), "seed %d", seed)
		faulty := len(m.sent)
		for _, h := range m.hosts {
			m.start(h)
			h.frozenUntil, h.refusedUntil = m.now, m.now
		}
		for m.now.Before(modelStart.Add(length + 20*time.Second)) {
			m.step(false)
		}
		assert.NilError(t, m.check(), "seed %d after the faults", seed)
		assert.Assert(t, len(m.sent)-faulty > 40, "seed %d: nobody holds the duties after the faults", seed)
	}
}
