package keyed_test

import (
	"context"
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
	memoryStore
	records   uint64
	valueSize int
	// others is the number of records of other keys between two of the large ones.
	others uint64
	// batch is what a read from the start returns, if it has records.
	batch keyed.Batch
}

func (s *generatedStore) Read(ctx context.Context, _ keyed.Partition, from keyed.Position, _ time.Duration) (keyed.Batch, error) {
	if from == at(0) && len(s.batch.Records) > 0 {
		return s.batch, nil
	}
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

// readAll returns a topic that has read a store up to an offset. It keeps replaced records up
// to a size in bytes, if that is not 0.
func readAll(t testing.TB, store keyed.Store, end uint64, keptBytes int, onChange func(keyed.Change)) *keyed.Topic {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	longPoll := func() keyed.PollPolicy { return keyed.PollPolicy{ResponseTimeout: time.Minute} }
	topic := keyed.NewTopic(keyed.Partition{Topic: "t"}, store, longPoll, restorePolicy, logrus.NewEntry(logger), onChange)
	topic.KeepReplaced(keptBytes)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- topic.Run(ctx) }()
	assert.Assert(t, topic.Await(t.Context(), at(end)))
	cancel()
	assert.NilError(t, <-done)
	return topic
}

func ignore(keyed.Change) {}

// since returns the records of a topic from an offset on.
func since(t *testing.T, topic *keyed.Topic, from uint64) keyed.Batch {
	t.Helper()
	batch, err := topic.Since(t.Context(), at(from))
	assert.NilError(t, err)
	return batch
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
func TestRecentRecordsAreBoundedInBytes(t *testing.T) {
	for _, test := range []struct {
		others    uint64
		keptBytes int
	}{{0, 0}, {3, 0}, {0, 10 * largeValueSize}} {
		before := heapBytes()
		records := 1000 * (test.others + 1)
		topic := readAll(t, &generatedStore{records: records, valueSize: largeValueSize, others: test.others}, records, test.keptBytes, ignore)
		held := heapBytes() - before
		assert.Assert(t, held < int64(test.keptBytes)+4*largeValueSize, "%+v: %d bytes held", test, held)
		assert.Equal(t, len(since(t, topic, records-1).Records), 1)
		if test.keptBytes > 0 {
			_, err := topic.Since(t.Context(), at(records-20))
			assert.ErrorIs(t, err, keyed.ErrTrimmed)
			assert.Equal(t, len(since(t, topic, records-5).Records), 5)
		}
	}
}

func BenchmarkBytesHeldByTopic(b *testing.B) {
	for b.Loop() {
		before := heapBytes()
		topic := readAll(b, &generatedStore{records: 1000, valueSize: 1 << 20}, 1000, 0, ignore)
		b.ReportMetric(float64(heapBytes()-before)/(1<<20), "bytes/byte")
		runtime.KeepAlive(topic)
	}
}

// Hosts that are behind get the newest record of each key only.
func TestRecordsThatWereReplacedAreLeftOut(t *testing.T) {
	store := &memoryStore{}
	follow(t, store, func(topic *keyed.Topic, _ func() []keyed.Change) {
		settle()
		for _, record := range []struct{ key, value string }{{"config", "1"}, {"config", "2"}, {"config", "3"}, {"other", "4"}, {"gone", "5"}, {"gone", ""}} {
			store.put(record.key, record.value)
			settle()
		}
		for from, offsets := range [][]uint64{{2, 3, 5}, {2, 3, 5}, {2, 3, 5}, {3, 5}, {5}, {5}} {
			batch := since(t, topic, uint64(from))
			assert.DeepEqual(t, batch.Offsets, offsets)
			assert.Equal(t, batch.Next, at(6))
			assert.Equal(t, batch.IsConsecutive(at(uint64(from))), from == 5)
			assert.DeepEqual(t, batch.Records[len(batch.Records)-1], keyed.Record{Key: "gone"})
		}
	})
}

// Changes that are no longer known are not served from the middle.
func TestChangesOfTooManyKeysAreForgotten(t *testing.T) {
	const records = 5000
	topic := readAll(t, &generatedStore{records: records, valueSize: 1, others: records}, records, 0, ignore)
	_, err := topic.Since(t.Context(), at(0))
	assert.ErrorIs(t, err, keyed.ErrTrimmed)
	batch := since(t, topic, records-500)
	assert.Equal(t, len(batch.Records), 500)
	assert.Assert(t, batch.IsConsecutive(at(records-500)))
}

// What a host got without the records that were replaced, it passes on with their offsets.
func TestSparseRecordsArePassedOn(t *testing.T) {
	const records = 40
	first := readAll(t, &generatedStore{records: records, valueSize: 10, others: 3}, records, 0, ignore)
	second := readAll(t, &generatedStore{batch: since(t, first, 0)}, records, 0, ignore)
	for _, from := range []uint64{0, 20, 37, 39} {
		assert.DeepEqual(t, since(t, second, from), since(t, first, from))
	}
}

// An endpoint's entry that arrived late replaced a newer one: hosts did not get the newer one,
// which the later record had replaced.
func TestRecordsWithAnOrderOfTheirOwnAreAllReported(t *testing.T) {
	records := []keyed.Record{{Key: "w1", Value: []byte("newer")}, {Key: "w1", Value: []byte("older")}}
	var reported []keyed.Record
	topic := readAll(t, &generatedStore{batch: keyed.Batch{Records: records, Next: at(2)}}, 2, 1<<10, func(change keyed.Change) {
		reported = append(reported, change.Records...)
	})
	assert.DeepEqual(t, reported, records)
	batch := since(t, topic, 0)
	assert.DeepEqual(t, batch.Records, records)
	assert.Assert(t, batch.IsConsecutive(at(0)))
}
