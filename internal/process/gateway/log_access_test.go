package gateway

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/keyed"
)

// scriptedStore is a store whose calls return a set error.
type scriptedStore struct {
	keyed.Store
	err error
}

func (s *scriptedStore) Read(context.Context, keyed.Partition, keyed.Position, time.Duration) (keyed.Batch, error) {
	return keyed.Batch{}, s.err
}

func (s *scriptedStore) Append(context.Context, keyed.Partition, keyed.Record, *uint64) (keyed.Position, error) {
	return keyed.Position{}, s.err
}

// Only failed calls to the operator's partition mean that the log is lost, and only calls
// that were not canceled and did not fail because this process stood still.
func TestLogAccess(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	operator, other := keyed.Partition{Topic: "op"}, keyed.Partition{Topic: "status"}
	store := &scriptedStore{}
	access := newLogAccess(store, operator, logrus.NewEntry(logger))
	read := func(ctx context.Context, err error) {
		store.err = err
		_, got := access.Read(ctx, operator, keyed.Position{}, 0)
		assert.Equal(t, got, err)
	}
	write := func(err error) {
		store.err = err
		_, got := access.Append(t.Context(), other, keyed.Record{}, nil)
		assert.Equal(t, got, err)
	}
	assertState := func(isLost, needsProbe, needsProbeAsReader bool) {
		t.Helper()
		assert.Equal(t, access.isLost(), isLost)
		assert.Equal(t, access.needsProbe(false), needsProbe)
		assert.Equal(t, access.needsProbe(true), needsProbeAsReader)
	}
	assertState(false, false, false)
	read(t.Context(), keyed.ErrTrimmed)
	write(keyed.ErrConflict)
	assertState(false, false, false)
	write(keyed.ErrUnanswered)
	assertState(false, true, true)
	read(t.Context(), nil)
	assertState(false, false, false)

	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	read(canceled, keyed.ErrUnanswered)
	late, cancelLate := context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
	defer cancelLate()
	read(late, keyed.ErrUnanswered)
	assertState(false, false, false)

	read(t.Context(), keyed.ErrUnanswered)
	assertState(true, true, false)
	write(nil)
	assertState(true, true, false)
	read(t.Context(), nil)
	assertState(false, false, false)
}
