package flow

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"mustarddoor/internal/connection/engine"
	"mustarddoor/internal/request/owner"
	"mustarddoor/internal/request/resume"
	"mustarddoor/internal/request/witness"
)

// resumeStream copies an engine's event stream to the caller, from the offset
// on. It fetches the last bytes before the offset again, so that it sees the
// stream's end even if the caller lacks nothing.
func (t *retry) resumeStream(ctx context.Context, intent witness.Intent) resume.Result {
	if t.isJSON {
		return t.fetchJSON(ctx, intent)
	}
	if t.out != nil && !t.out.isStream {
		return resume.Disconnected
	}
	t.resumed.Inc(1)
	t.config.Events.Resumed(t.request, intent, t.offset)
	overlap := min(t.offset, int64(len(streamEnd)))
	reply, ending := t.openStream(ctx, intent, t.offset-overlap)
	if reply == nil {
		return ending
	}
	defer reply.Body.Close()
	tail := make([]byte, overlap)
	if _, err := io.ReadFull(reply.Body, tail); err != nil {
		return resume.Disconnected
	}
	t.begin(owner.Head{Status: reply.Status, ContentType: reply.ContentType})
	watched := &tailReader{from: reply.Body, tail: tail}
	err := t.copy(watched)
	if err == nil && !bytes.Equal(watched.tail, streamEnd) {
		return resume.Disconnected
	}
	return t.endingOf(err)
}

// openStream asks the engine for its stream from an offset on. Without a reply
// it returns how the attempt ended.
func (t *retry) openStream(ctx context.Context, intent witness.Intent, offset int64) (*engine.Response, resume.Result) {
	guard := newStallGuard(ctx)
	reply, err := t.config.Endpoints.Resume(guard.ctx, intent.Address, t.key.String(), offset)
	reply, err = guarded(guard, reply, err)
	switch {
	case errors.Is(err, engine.ErrUnknownKey):
		return nil, resume.NotFound
	case err != nil:
		return nil, resume.Disconnected
	case reply.Status != http.StatusOK:
		reply.Body.Close()
		return nil, resume.Disconnected
	default:
		return reply, 0
	}
}

// fetchJSON answers with an engine's whole event stream as one JSON object. It
// cannot complete JSON that another host has begun, because its bytes may
// differ.
func (t *retry) fetchJSON(ctx context.Context, intent witness.Intent) resume.Result {
	if t.out != nil {
		return resume.Disconnected
	}
	t.resumed.Inc(1)
	reply, ending := t.openStream(ctx, intent, 0)
	if reply == nil {
		return ending
	}
	defer reply.Body.Close()
	stream, err := io.ReadAll(io.LimitReader(reply.Body, maxAssembledBytes))
	if err != nil {
		return resume.Disconnected
	}
	answer, err := engine.Assemble(stream)
	if err != nil {
		return resume.Disconnected
	}
	t.begin(owner.Head{Status: http.StatusOK, ContentType: contentTypeJSON})
	return t.endingOf(t.copy(bytes.NewReader(answer)))
}

// maxAssembledBytes bounds the event stream of an answer that is turned into
// JSON.
const maxAssembledBytes = 16 << 20

const contentTypeJSON = "application/json"

// tailReader keeps the last bytes that were read, as many as streamEnd has.
type tailReader struct {
	from io.Reader
	tail []byte
}

// Read implements io.Reader.
func (r *tailReader) Read(buffer []byte) (int, error) {
	count, err := r.from.Read(buffer)
	r.tail = append(r.tail, buffer[:count]...)
	if excess := len(r.tail) - len(streamEnd); excess > 0 {
		r.tail = append(r.tail[:0], r.tail[excess:]...)
	}
	return count, err
}

// lookUp asks a plain service for the outcome of a call and answers with it.
func (t *retry) lookUp(ctx context.Context, intent witness.Intent) resume.Result {
	service := t.service(intent.Service)
	if service == nil || t.out != nil {
		return resume.Disconnected
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	path := LookupPath(service.LookupPath, t.key.String())
	reply, err := t.config.Endpoints.Send(ctx, engine.Call{Address: intent.Address, Method: http.MethodGet, Path: path})
	if err != nil {
		return resume.Disconnected
	}
	defer reply.Body.Close()
	if reply.Status != http.StatusOK {
		return resume.NotFound
	}
	t.begin(owner.Head{Status: reply.Status, ContentType: reply.ContentType})
	if t.copy(reply.Body) != nil {
		panic(http.ErrAbortHandler)
	}
	return resume.Complete
}
