package owner

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/request/outcome"
)

// Errors of reading an answer.
var (
	// ErrTrimmed is returned for an offset whose bytes are no longer held. The
	// reader may fetch them from the endpoint.
	ErrTrimmed = eris.New("answer bytes were dropped")
	// ErrOffset is returned for an offset beyond the end of a finished answer.
	ErrOffset = eris.New("offset beyond the end of the answer")
	// ErrEnded is returned when bytes are written to a finished answer.
	ErrEnded = eris.New("answer has ended")
)

// Head is what goes before the bytes of an answer.
type Head struct {
	// Status is the HTTP status, ContentType the header's value.
	Status      int
	ContentType string
}

// Part is a piece of an answer. A part with End set is the last one and tells
// how the answer ended; an answer without it was cut.
type Part struct {
	// Bytes must not be changed.
	Bytes []byte
	End   bool
	// Refusal says why the answer ended early; its Outcome is empty if the
	// answer is whole.
	Refusal outcome.Refusal
}

// chunk is a run of bytes that starts at an offset.
type chunk struct {
	offset int64
	bytes  []byte
}

// Answer holds the bytes of one answer for any number of readers, each at its
// own offset. The writer never waits for a reader. When the answer outgrows
// its window the oldest bytes are dropped, and readers that still need them
// get ErrTrimmed.
type Answer struct {
	window int64

	mu      sync.Mutex
	head    Head
	begun   bool
	chunks  []chunk
	first   int64
	next    int64
	ended   bool
	refusal outcome.Refusal
	changed chan struct{}
}

// NewAnswer returns an empty answer that holds up to window bytes.
func NewAnswer(window int64) *Answer {
	return &Answer{window: window}
}

// Begin sets the head. Only the first call has an effect.
func (a *Answer) Begin(head Head) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.begun || a.ended {
		return
	}
	a.begun = true
	a.head = head
	a.notify()
}

// Append adds bytes at the end; it keeps a copy. It returns by how much the
// bytes held have grown, less what was dropped, and fails with ErrEnded.
func (a *Answer) Append(bytes []byte) (int64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return 0, ErrEnded
	}
	if len(bytes) == 0 {
		return 0, nil
	}
	before := a.next - a.first
	a.add(bytes)
	for a.next-a.first > a.window && len(a.chunks) > 1 {
		a.dropFirst()
	}
	a.notify()
	return a.next - a.first - before, nil
}

// chunkBytes is the capacity of a chunk. Small pieces of a stream share one.
const chunkBytes = 4096

func (a *Answer) add(bytes []byte) {
	for len(bytes) > 0 {
		last := len(a.chunks) - 1
		if last < 0 || len(a.chunks[last].bytes) == cap(a.chunks[last].bytes) {
			a.chunks = append(a.chunks, newChunk(a.next, len(bytes)))
			continue
		}
		tail := &a.chunks[last]
		count := min(cap(tail.bytes)-len(tail.bytes), len(bytes))
		tail.bytes = append(tail.bytes, bytes[:count]...)
		bytes = bytes[count:]
		a.next += int64(count)
	}
}

// firstChunkBytes is the capacity of the first chunk, so that short answers
// take little memory.
const firstChunkBytes = 512

func newChunk(offset int64, wanted int) chunk {
	size := min(max(wanted, firstChunkBytes), chunkBytes)
	if offset > 0 {
		size = chunkBytes
	}
	return chunk{offset: offset, bytes: make([]byte, 0, size)}
}

func (a *Answer) dropFirst() {
	a.first += int64(len(a.chunks[0].bytes))
	a.chunks[0] = chunk{}
	a.chunks = a.chunks[1:]
}

// End marks the answer as ended; a refusal with an empty Outcome means whole.
// Only the first call has an effect and returns true.
func (a *Answer) End(refusal outcome.Refusal) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return false
	}
	a.ended = true
	a.refusal = refusal
	a.notify()
	return true
}

// held is how many bytes are held.
func (a *Answer) held() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.next - a.first
}

// whole returns a copy of the answer if nothing was dropped, else nil.
func (a *Answer) whole() []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.first > 0 {
		return nil
	}
	bytes := make([]byte, 0, a.next)
	for _, chunk := range a.chunks {
		bytes = append(bytes, chunk.bytes...)
	}
	return bytes
}

// Trim drops all bytes of an ended answer and returns how many there were.
func (a *Answer) Trim() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.ended {
		return 0
	}
	held := a.next - a.first
	a.chunks = nil
	a.first = a.next
	return held
}

// Length is how many bytes the answer has had so far.
func (a *Answer) Length() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.next
}

// Head waits until the answer has begun or ended and returns its head; ok is
// false if it ended without one. It fails with the context's error.
func (a *Answer) Head(ctx context.Context) (head Head, ok bool, err error) {
	for {
		a.mu.Lock()
		if a.begun || a.ended {
			defer a.mu.Unlock()
			return a.head, a.begun, nil
		}
		changed := a.wait()
		a.mu.Unlock()
		if err := await(ctx, changed); err != nil {
			return Head{}, false, err
		}
	}
}

// ReadAt waits until the answer has bytes at the offset or has ended, and
// returns the next part. It fails with ErrTrimmed, ErrOffset or the context's
// error.
func (a *Answer) ReadAt(ctx context.Context, offset int64) (Part, error) {
	for {
		a.mu.Lock()
		part, ready, err := a.partAt(offset)
		if ready || err != nil {
			a.mu.Unlock()
			return part, err
		}
		changed := a.wait()
		a.mu.Unlock()
		if err := await(ctx, changed); err != nil {
			return Part{}, err
		}
	}
}

// partAt returns the part at the offset; ready is false if there is none yet.
func (a *Answer) partAt(offset int64) (part Part, ready bool, err error) {
	switch {
	case offset < a.first:
		return Part{}, false, ErrTrimmed
	case offset < a.next:
		return Part{Bytes: a.bytesAt(offset)}, true, nil
	case !a.ended:
		return Part{}, false, nil
	case offset > a.next:
		return Part{}, false, ErrOffset
	default:
		return Part{End: true, Refusal: a.refusal}, true, nil
	}
}

// bytesAt returns the held bytes from the offset to the end of their chunk.
func (a *Answer) bytesAt(offset int64) []byte {
	low, high := 0, len(a.chunks)-1
	for low < high {
		middle := (low + high + 1) / 2
		if a.chunks[middle].offset <= offset {
			low = middle
		} else {
			high = middle - 1
		}
	}
	found := a.chunks[low]
	tail := found.bytes[offset-found.offset:]
	return tail[:len(tail):len(tail)]
}

// wait returns the channel that the next change closes.
func (a *Answer) wait() <-chan struct{} {
	if a.changed == nil {
		a.changed = make(chan struct{})
	}
	return a.changed
}

func (a *Answer) notify() {
	if a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
}

func await(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
