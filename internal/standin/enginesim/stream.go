package enginesim

import (
	"context"
	"sync"
	"time"
)

// stream holds the events of one request that have been generated so far.
type stream struct {
	// cancel stops the generation.
	cancel context.CancelFunc

	mu       sync.Mutex
	body     []byte
	ended    bool
	complete bool
	endedAt  time.Time
	// changed is closed and replaced when the stream grows or ends.
	changed chan struct{}
}

func newStream(cancel context.CancelFunc) *stream {
	return &stream{cancel: cancel, changed: make(chan struct{})}
}

// write appends a chunk to the stream.
func (s *stream) write(chunk []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.body = append(s.body, chunk...)
	s.notify()
}

// end marks the stream as ended. A stream that was canceled or failed is not
// complete.
func (s *stream) end(complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.complete = complete
	s.endedAt = time.Now()
	s.notify()
}

// readFrom returns the bytes from an offset on, whether the stream has ended,
// and a channel that is closed at the next change.
func (s *stream) readFrom(offset int) ([]byte, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.body[min(offset, len(s.body)):], s.ended, s.changed
}

// wait waits for the end of the stream and reports whether it is complete. It
// reports false if the context ends first.
func (s *stream) wait(ctx context.Context) bool {
	for {
		s.mu.Lock()
		ended, complete, changed := s.ended, s.complete, s.changed
		s.mu.Unlock()
		if ended {
			return complete
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// expired reports whether the stream ended before the cutoff.
func (s *stream) expired(cutoff time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended && s.endedAt.Before(cutoff)
}

// notify wakes all readers. The caller holds mu.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// streamStore holds streams by request key.
type streamStore struct {
	retention time.Duration

	mu    sync.Mutex
	byKey map[string]*stream
}

// put stores a stream and replaces an older one with the same key. It reports
// false if the store is full.
func (s *streamStore) put(key string, newer *stream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.byKey) >= maxStreams {
		s.expire()
	}
	if len(s.byKey) >= maxStreams {
		return false
	}
	s.byKey[key] = newer
	return true
}

// get returns the stream of a key, or nil if there is none or its retention is
// over.
func (s *streamStore) get(key string) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.byKey[key]
	if found != nil && found.expired(time.Now().Add(-s.retention)) {
		delete(s.byKey, key)
		return nil
	}
	return found
}

// expire removes the streams whose retention is over. The caller holds mu.
func (s *streamStore) expire() {
	cutoff := time.Now().Add(-s.retention)
	for key, kept := range s.byKey {
		if kept.expired(cutoff) {
			delete(s.byKey, key)
		}
	}
}
