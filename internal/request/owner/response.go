package owner

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/request/outcome"
)

// Errors returned when a response is read or written.
var (
	// ErrTrimmed is returned for an offset whose bytes are no longer held. The
	// reader may fetch them from the endpoint.
	ErrTrimmed = eris.New("response bytes are no longer held")
	// ErrOffset is returned for an offset beyond the end of a finished response.
	ErrOffset = eris.New("offset is beyond the end of the response")
	// ErrEnded is returned when bytes are written to a finished response.
	ErrEnded = eris.New("response has ended")
)

// Head is the status and the content type that precede the bytes of a response.
type Head struct {
	// Status is the HTTP status, ContentType the value of the Content-Type header.
	Status      int
	ContentType string
}

// Segment is a piece of a response. The segment with End set is the last one
// and indicates how the response ended; a response without it is truncated.
type Segment struct {
	// Bytes must not be modified.
	Bytes []byte
	End   bool
	// Refusal says why the response ended early; its Outcome is empty if the
	// response is complete.
	Refusal outcome.Refusal
}

// chunk is a contiguous range of bytes that starts at an offset.
type chunk struct {
	offset int64
	bytes  []byte
}

// Response buffers the bytes of one response for any number of readers, each at
// its own offset. The writer never waits for a reader. When the buffered bytes
// exceed the window, the oldest are dropped, and readers that still need them
// get ErrTrimmed.
type Response struct {
	windowBytes int64

	mu          sync.Mutex
	head        Head
	begun       bool
	chunks      []chunk
	firstOffset int64
	nextOffset  int64
	ended       bool
	refusal     outcome.Refusal
	changed     chan struct{}
}

// NewResponse returns an empty response that holds up to windowBytes bytes.
func NewResponse(windowBytes int64) *Response {
	return &Response{windowBytes: windowBytes}
}

// Begin sets the head. Only the first call has an effect.
func (r *Response) Begin(head Head) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.begun || r.ended {
		return
	}
	r.begun = true
	r.head = head
	r.notify()
}

// Append adds a copy of the bytes at the end. It returns the net change in the
// number of bytes held, since the oldest may be dropped, and fails with ErrEnded.
func (r *Response) Append(bytes []byte) (int64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return 0, ErrEnded
	}
	if len(bytes) == 0 {
		return 0, nil
	}
	before := r.nextOffset - r.firstOffset
	r.appendChunks(bytes)
	for r.nextOffset-r.firstOffset > r.windowBytes && len(r.chunks) > 1 {
		r.dropFirstChunk()
	}
	r.notify()
	return r.nextOffset - r.firstOffset - before, nil
}

// chunkBytes is the capacity of a chunk. Small writes share one.
const chunkBytes = 4096

func (r *Response) appendChunks(bytes []byte) {
	for len(bytes) > 0 {
		last := len(r.chunks) - 1
		if last < 0 || len(r.chunks[last].bytes) == cap(r.chunks[last].bytes) {
			r.chunks = append(r.chunks, newChunk(r.nextOffset, len(bytes)))
			continue
		}
		tail := &r.chunks[last]
		count := min(cap(tail.bytes)-len(tail.bytes), len(bytes))
		tail.bytes = append(tail.bytes, bytes[:count]...)
		bytes = bytes[count:]
		r.nextOffset += int64(count)
	}
}

// firstChunkBytes is the capacity of the first chunk, so that short responses
// take little memory.
const firstChunkBytes = 512

func newChunk(offset int64, wanted int) chunk {
	size := min(max(wanted, firstChunkBytes), chunkBytes)
	if offset > 0 {
		size = chunkBytes
	}
	return chunk{offset: offset, bytes: make([]byte, 0, size)}
}

func (r *Response) dropFirstChunk() {
	r.firstOffset += int64(len(r.chunks[0].bytes))
	r.chunks[0] = chunk{}
	r.chunks = r.chunks[1:]
}

// End marks the response as ended; a refusal with an empty Outcome means that
// it is complete. Only the first call has an effect and returns true.
func (r *Response) End(refusal outcome.Refusal) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return false
	}
	r.ended = true
	r.refusal = refusal
	r.notify()
	return true
}

// heldBytes returns the number of bytes held.
func (r *Response) heldBytes() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nextOffset - r.firstOffset
}

// completeBytes returns a copy of the response, or nil if bytes were dropped.
func (r *Response) completeBytes() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.firstOffset > 0 {
		return nil
	}
	bytes := make([]byte, 0, r.nextOffset)
	for _, chunk := range r.chunks {
		bytes = append(bytes, chunk.bytes...)
	}
	return bytes
}

// Trim drops all bytes of an ended response and returns their number.
func (r *Response) Trim() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ended {
		return 0
	}
	held := r.nextOffset - r.firstOffset
	r.chunks = nil
	r.firstOffset = r.nextOffset
	return held
}

// Length returns the number of bytes written so far.
func (r *Response) Length() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nextOffset
}

// Head waits until the response has begun or ended and returns its head; ok is
// false if it ended without one. It fails with the context's error.
func (r *Response) Head(ctx context.Context) (head Head, ok bool, err error) {
	for {
		r.mu.Lock()
		if r.begun || r.ended {
			defer r.mu.Unlock()
			return r.head, r.begun, nil
		}
		changed := r.changeSignal()
		r.mu.Unlock()
		if err := awaitSignal(ctx, changed); err != nil {
			return Head{}, false, err
		}
	}
}

// ReadAt waits until the response has bytes at the offset or has ended, and
// returns the next segment. It fails with ErrTrimmed, ErrOffset or the
// context's error.
func (r *Response) ReadAt(ctx context.Context, offset int64) (Segment, error) {
	for {
		r.mu.Lock()
		segment, ready, err := r.segmentAt(offset)
		if ready || err != nil {
			r.mu.Unlock()
			return segment, err
		}
		changed := r.changeSignal()
		r.mu.Unlock()
		if err := awaitSignal(ctx, changed); err != nil {
			return Segment{}, err
		}
	}
}

// segmentAt returns the segment at the offset; ready is false if there is none
// yet.
func (r *Response) segmentAt(offset int64) (segment Segment, ready bool, err error) {
	switch {
	case offset < r.firstOffset:
		return Segment{}, false, ErrTrimmed
	case offset < r.nextOffset:
		return Segment{Bytes: r.bytesAt(offset)}, true, nil
	case !r.ended:
		return Segment{}, false, nil
	case offset > r.nextOffset:
		return Segment{}, false, ErrOffset
	default:
		return Segment{End: true, Refusal: r.refusal}, true, nil
	}
}

// bytesAt returns the held bytes from the offset to the end of their chunk.
func (r *Response) bytesAt(offset int64) []byte {
	low, high := 0, len(r.chunks)-1
	for low < high {
		middle := (low + high + 1) / 2
		if r.chunks[middle].offset <= offset {
			low = middle
		} else {
			high = middle - 1
		}
	}
	found := r.chunks[low]
	tail := found.bytes[offset-found.offset:]
	return tail[:len(tail):len(tail)]
}

// changeSignal returns a channel that is closed by the next change.
func (r *Response) changeSignal() <-chan struct{} {
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

func (r *Response) notify() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

func awaitSignal(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
