package logservice

import (
	"sync"
	"time"

	"mustarddoor/internal/connection/platform"
)

// streamStore holds streams by name.
type streamStore struct {
	mu         sync.Mutex
	byName     map[string]*stream
	maxRecords int
}

// stream is an append-only sequence of records.
type stream struct {
	mu         sync.Mutex
	records    []platform.Record
	next       uint64
	maxRecords int
	// changed is closed and replaced when records are appended or trimmed.
	changed chan struct{}
}

func newStreams(maxRecords int) *streamStore {
	return &streamStore{byName: map[string]*stream{}, maxRecords: maxRecords}
}

// get returns the stream with a name and creates it if it does not exist.
func (s *streamStore) get(name string) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.byName[name]
	if !ok {
		found = &stream{next: 1, maxRecords: s.maxRecords, changed: make(chan struct{})}
		s.byName[name] = found
	}
	return found
}

// append adds records and returns the offset of the first one. It trims the
// oldest records beyond maxRecords.
func (s *stream) append(records []platform.AppendRecord, now time.Time) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.next
	for _, record := range records {
		s.records = append(s.records, platform.Record{
			Offset:         s.next,
			ID:             record.ID,
			Data:           record.Data,
			AppendedMillis: now.UnixMilli(),
		})
		s.next++
	}
	if excess := len(s.records) - s.maxRecords; excess > 0 {
		s.records = s.records[excess:]
	}
	s.notify()
	return first
}

// read returns up to limit records from an offset on, and a channel that is
// closed at the next change.
func (s *stream) read(from, limit uint64) (platform.ReadResponse, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.next - uint64(len(s.records))
	response := platform.ReadResponse{FirstOffset: first, NextOffset: s.next, Records: []platform.Record{}}
	if from >= first && from < s.next {
		start := from - first
		end := start + min(limit, s.next-from)
		response.Records = append(response.Records, s.records[start:end]...)
	}
	return response, s.changed
}

// trim removes the records before an offset.
func (s *stream) trim(firstKept uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.next - uint64(len(s.records))
	if firstKept <= first {
		return
	}
	s.records = s.records[min(firstKept, s.next)-first:]
	s.notify()
}

// expire removes the records that were appended before the cutoff.
func (s *stream) expire(cutoff time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.records) > 0 && s.records[0].AppendedMillis < cutoff.UnixMilli() {
		s.records = s.records[1:]
	}
}

// notify wakes all waiting readers. The caller holds mu.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
