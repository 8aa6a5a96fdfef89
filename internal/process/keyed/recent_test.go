package keyed_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/keyed"
)

// generatedStore has a large value for each offset, and keeps none.
type generatedStore struct {
	records   uint64
	valueSize int
	// others is the number of records of other keys between two of the large ones.
	others uint64
}

func (s *generatedStore) Newest(context.Context, keyed.Partition) (keyed.Snapshot, error) {
	return keyed.Snapshot{Values: map[string][]byte{}}, nil
}

func (s *generatedStore) Append(context.Context, keyed.Partition, keyed.Record, *uint64) (keyed.Position, error) {
	return keyed.Position{}, keyed.ErrRefused
}

func (s *generatedStore) Read(ctx context.Context, _ keyed.Partition, from keyed.Position, _ time.Duration) (keyed.Batch, error) {
	if from.Offset >= s.records {
		<-ctx.Done()
		return keyed.Batch{}, ctx.Err()
	}
	record := keyed.Record{Key: "config", Value: make([]byte, s.valueSize)}
	if s.others > 0 && from.Offset%(s.others+1) > 0 {
		record = keyed.Record{Key: fmt.Sprint("other", from.Offset), Value: []byte("{}")}
	}
	return keyed.Batch{Records: []keyed.Record{record}, Next: at(from.Offset + 1)}, nil
}

// newGenerated returns a topic of a store.
func newGenerated(store keyed.Store, onChange func(keyed.Change)) *keyed.Topic {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	longPoll := func() keyed.PollPolicy { return keyed.PollPolicy{ResponseTimeout: time.Minute} }
	return keyed.NewTopic(keyed.Partition{Topic: "t"}, store, longPoll, restorePolicy, logrus.NewEntry(logger), onChange)
}

// runUntil lets a topic read up to an offset.
func runUntil(t testing.TB, topic *keyed.Topic, end uint64) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- topic.Run(ctx) }()
	assert.Assert(t, topic.Await(t.Context(), at(end)))
	cancel()
	assert.NilError(t, <-done)
}

// followGenerated returns a topic that has read a store up to an offset.
func followGenerated(t testing.TB, store keyed.Store, end uint64) *keyed.Topic {
	topic := newGenerated(store, func(keyed.Change) {})
	runUntil(t, topic, end)
	return topic
}

// heapBytes returns the size of the objects in use.
func heapBytes() int64 {
	runtime.GC()
	stats := runtime.MemStats{}
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

const largeValueSize = 256 << 10

// A host kept the last 1,000 records whatever their size, and ended for memory after some 490
// changes of a large configuration, at the same moment as all others.
func TestTopicKeepsNoReplacedValues(t *testing.T) {
	for _, others := range []uint64{0, 3} {
		before := heapBytes()
		records := 1000 * (others + 1)
		topic := followGenerated(t, &generatedStore{records: records, valueSize: largeValueSize, others: others}, records)
		held := heapBytes() - before
		assert.Assert(t, held < 4*largeValueSize, "%d bytes held with %d other records each", held, others)
		batch, err := topic.Since(t.Context(), at(records-1))
		assert.NilError(t, err)
		assert.Equal(t, len(batch.Records), 1)
	}
}

func BenchmarkBytesHeldByTopic(b *testing.B) {
	for b.Loop() {
		before := heapBytes()
		topic := followGenerated(b, &generatedStore{records: 1000, valueSize: 1 << 20}, 1000)
		b.ReportMetric(float64(heapBytes()-before)/(1<<20), "bytes/byte")
		runtime.KeepAlive(topic)
	}
}

// Hosts that are behind get the newest record of each key only.
func TestRecordsThatWereReplacedAreLeftOut(t *testing.T) {
	store := &memoryStore{}
	follow(t, store, func(topic *keyed.Topic, _ func() []keyed.Change) {
		settle()
		for _, value := range []string{"1", "2", "3"} {
			store.put("config", value)
			settle()
		}
		store.put("other", "4")
		store.put("gone", "5")
		store.put("gone", "")
		settle()
		for from, test := range []struct {
			offsets       []uint64
			isConsecutive bool
		}{
			{[]uint64{2, 3, 5}, false},
			{[]uint64{2, 3, 5}, false},
			{[]uint64{2, 3, 5}, false},
			{[]uint64{3, 5}, false},
			{[]uint64{5}, false},
			{[]uint64{5}, true},
		} {
			batch, err := topic.Since(t.Context(), at(uint64(from)))
			assert.NilError(t, err)
			assert.DeepEqual(t, batch.Offsets, test.offsets)
			assert.Equal(t, batch.Next, at(6))
			assert.Equal(t, batch.IsConsecutive(at(uint64(from))), test.isConsecutive)
			last := len(batch.Records) - 1
			assert.DeepEqual(t, batch.Records[last], keyed.Record{Key: "gone"})
		}
	})
}

// Changes that are no longer known are not served from the middle.
func TestChangesOfTooManyKeysAreForgotten(t *testing.T) {
	const records = 5000
	topic := followGenerated(t, &generatedStore{records: records, valueSize: 1, others: records}, records)
	_, err := topic.Since(t.Context(), at(0))
	assert.Assert(t, errors.Is(err, keyed.ErrTrimmed))
	batch, err := topic.Since(t.Context(), at(records-500))
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Records), 500)
	assert.Assert(t, batch.IsConsecutive(at(records-500)))
}

// batchStore returns one batch.
type batchStore struct {
	generatedStore
	batch keyed.Batch
}

func (s *batchStore) Read(ctx context.Context, partition keyed.Partition, from keyed.Position, wait time.Duration) (keyed.Batch, error) {
	if from == at(0) {
		return s.batch, nil
	}
	return s.generatedStore.Read(ctx, partition, from, wait)
}

// What a host got without the records that were replaced, it passes on with their offsets.
func TestSparseRecordsArePassedOn(t *testing.T) {
	const records = 40
	first := followGenerated(t, &generatedStore{records: records, valueSize: 10, others: 3}, records)
	batch, err := first.Since(t.Context(), at(0))
	assert.NilError(t, err)
	second := followGenerated(t, &batchStore{batch: batch}, records)
	for _, from := range []uint64{0, 20, 37, 39} {
		want, err := first.Since(t.Context(), at(from))
		assert.NilError(t, err)
		got, err := second.Since(t.Context(), at(from))
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
	}
}

// An endpoint's entry that arrived late replaced a newer one: hosts did not get the newer one,
// which the later record had replaced.
func TestRecordsWithAnOrderOfTheirOwnAreAllReported(t *testing.T) {
	records := []keyed.Record{{Key: "w1", Value: []byte("newer")}, {Key: "w1", Value: []byte("older")}}
	var reported []keyed.Record
	topic := newGenerated(&batchStore{batch: keyed.Batch{Records: records, Next: at(2)}}, func(change keyed.Change) {
		reported = append(reported, change.Records...)
	})
	topic.KeepReplaced(1 << 10)
	runUntil(t, topic, 2)
	assert.DeepEqual(t, reported, records)
	batch, err := topic.Since(t.Context(), at(0))
	assert.NilError(t, err)
	assert.DeepEqual(t, batch.Records, records)
	assert.Assert(t, batch.IsConsecutive(at(0)))
}

func TestReplacedRecordsAreBoundedInBytes(t *testing.T) {
	const records, maxBytes = 100, 10 * largeValueSize
	before := heapBytes()
	store := &generatedStore{records: records, valueSize: largeValueSize}
	topic := newGenerated(store, func(keyed.Change) {})
	topic.KeepReplaced(maxBytes)
	runUntil(t, topic, records)
	held := heapBytes() - before
	assert.Assert(t, held < maxBytes+4*largeValueSize, "%d bytes held", held)
	_, err := topic.Since(t.Context(), at(records-20))
	assert.ErrorIs(t, err, keyed.ErrTrimmed)
	batch, err := topic.Since(t.Context(), at(records-5))
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Records), 5)
}
