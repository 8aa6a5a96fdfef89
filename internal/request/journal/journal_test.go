package journal_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/platform"
	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/request/journal"
	"mustarddoor/internal/request/key"
	"mustarddoor/internal/request/outcome"
	"mustarddoor/internal/request/witness"
)

var errUnavailable = eris.New("log is unavailable")

// fakeLog is an in-memory log that can be unavailable or lose its replies.
type fakeLog struct {
	records     []platform.Record
	first       uint64
	unavailable bool
	loseReply   bool
}

func (l *fakeLog) Append(_ context.Context, _ string, records []platform.AppendRecord) (uint64, error) {
	if l.unavailable {
		return 0, errUnavailable
	}
	for _, r := range records {
		l.records = append(l.records, platform.Record{Offset: uint64(len(l.records) + 1), Data: r.Data})
	}
	if l.loseReply {
		return 0, errUnavailable
	}
	return uint64(len(l.records)), nil
}

func (l *fakeLog) Read(_ context.Context, part platform.Range) (platform.Page, error) {
	page := platform.Page{FirstOffset: l.first, NextOffset: uint64(len(l.records) + 1)}
	switch {
	case l.unavailable:
		return platform.Page{}, errUnavailable
	case part.From < l.first:
		page.Trimmed = true
	case part.From <= uint64(len(l.records)):
		end := min(int(part.From)-1+part.MaxRecords, len(l.records))
		page.Records = l.records[part.From-1 : end]
	}
	return page, nil
}

var host = identity.Incarnation{Host: "host-2", Number: 1}

func keyOf(part string) key.Key {
	owner := identity.Incarnation{Host: "host-1", Number: 1}
	return key.Key{Session: key.Session{Owner: owner, Witness: host, Nonce: 1, IssuedMillis: 1}, Part: part}
}

type fixture struct {
	log      *fakeLog
	register *witness.Register
	writer   *journal.Writer
	reader   *journal.Reader
}

func newFixture() *fixture {
	f := &fixture{log: &fakeLog{first: 1}}
	f.register = witness.NewRegister(witness.Config{
		Self:      host,
		Limits:    witness.Limits{MaxRecords: 1 << 20, MaxBytes: 1 << 30, MaxOwners: 4},
		Retention: func() time.Duration { return time.Hour },
	})
	f.writer = journal.NewWriter(journal.WriterConfig{
		Self: host, Register: f.register, Log: f.log, Timeout: time.Second, Metrics: metrics.NewRegistry(),
	})
	f.reader = journal.NewReader(f.log)
	return f
}

func (f *fixture) intend(t *testing.T, part string) {
	t.Helper()
	intent := witness.Intent{Key: keyOf(part), Attempt: 1, Endpoint: "voz-1"}
	assert.Equal(t, f.register.RecordIntent(time.Now(), intent), witness.Accepted)
}

func (f *fixture) finish(part string) {
	f.register.RecordOutcome(witness.Outcome{Key: keyOf(part), Result: witness.Result{Outcome: outcome.Done}})
}

func (f *fixture) find(t *testing.T, part string) (witness.Record, bool) {
	t.Helper()
	record, found, err := f.reader.Find(context.Background(), keyOf(part))
	assert.NilError(t, err)
	return record, found
}

func TestFindReturnsTheLatestState(t *testing.T) {
	f := newFixture()
	f.intend(t, "a")
	_, found := f.find(t, "a")
	assert.Assert(t, !found)
	assert.Assert(t, f.writer.Flush(context.Background()))
	record, found := f.find(t, "a")
	assert.Assert(t, found)
	assert.Equal(t, record.State, witness.StateIntended)
	assert.Equal(t, record.Intent.Endpoint, "voz-1")
	f.finish("a")
	assert.Assert(t, f.writer.Flush(context.Background()))
	record, _ = f.find(t, "a")
	assert.Equal(t, record.State, witness.StateFinished)
	assert.Equal(t, record.Result.Outcome, outcome.Done)
}

func TestOutageKeepsRecordsAtTheWitness(t *testing.T) {
	cases := map[string]func(*fakeLog, bool){
		"down":          func(l *fakeLog, on bool) { l.unavailable = on },
		"reply is lost": func(l *fakeLog, on bool) { l.loseReply = on },
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			fault(f.log, true)
			f.intend(t, "a")
			f.finish("a")
			assert.Assert(t, !f.writer.Flush(context.Background()))
			assert.Equal(t, f.register.VoidOrGet(time.Now(), keyOf("a")).State, witness.StateFinished)
			fault(f.log, false)
			assert.Assert(t, f.writer.Flush(context.Background()))
			assert.Equal(t, f.register.VoidOrGet(time.Now(), keyOf("a")).State, witness.StateLogged)
			_, found := f.find(t, "a")
			assert.Assert(t, found)
		})
	}
}

func TestFindContinuesAfterTrimmedRecords(t *testing.T) {
	f := newFixture()
	for i := range 5 {
		f.intend(t, fmt.Sprint(i))
		assert.Assert(t, f.writer.Flush(context.Background()))
	}
	f.log.first = 4
	_, found := f.find(t, "0")
	assert.Assert(t, !found)
	_, found = f.find(t, "4")
	assert.Assert(t, found)
}

func TestFindFailsWhileTheLogIsUnavailable(t *testing.T) {
	f := newFixture()
	f.log.unavailable = true
	_, _, err := f.reader.Find(context.Background(), keyOf("a"))
	assert.ErrorIs(t, err, errUnavailable)
}

func TestConcurrentFlushes(t *testing.T) {
	f := newFixture()
	var group sync.WaitGroup
	for i := range 8 {
		f.intend(t, fmt.Sprint(i))
		group.Go(func() { f.writer.Flush(context.Background()) })
	}
	group.Wait()
	for i := range 8 {
		_, found := f.find(t, fmt.Sprint(i))
		assert.Assert(t, found)
	}
}
