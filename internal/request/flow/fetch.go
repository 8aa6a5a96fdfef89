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

// resumeStream copies an engine's event stream to the caller, starting at the
// offset. It fetches the last bytes before the offset again, so that it
// recognizes the end of the stream even if the caller already has every byte.
func (f *forwardedRequest) resumeStream(ctx context.Context, intent witness.Intent) resume.Result {
	if f.wantsJSON {
		return f.fetchJSON(ctx, intent)
	}
	if f.out != nil && !f.out.isStream {
		return resume.Disconnected
	}
	f.resumeCount.Inc(1)
	f.config.Events.Resumed(f.request, intent, f.offset)
	overlap := min(f.offset, int64(len(streamTerminator)))
	reply, ending := f.openStream(ctx, intent, f.offset-overlap)
	if reply == nil {
		return ending
	}
	defer reply.Body.Close()
	tail := make([]byte, overlap)
	if _, err := io.ReadFull(reply.Body, tail); err != nil {
		return resume.Disconnected
	}
	f.begin(owner.Head{Status: reply.Status, ContentType: reply.ContentType})
	tailed := &tailReader{source: reply.Body, tail: tail}
	err := f.copyFrom(tailed)
	if err == nil && !bytes.Equal(tailed.tail, streamTerminator) {
		return resume.Disconnected
	}
	return f.copyEnding(err)
}

// openStream requests the engine's stream starting at an offset. If it returns
// no reply, it returns how the attempt to open the stream ended.
func (f *forwardedRequest) openStream(ctx context.Context, intent witness.Intent, offset int64) (*engine.Response, resume.Result) {
	stall := newStallTimer(ctx)
	reply, err := f.config.Endpoints.Resume(stall.ctx, intent.Address, f.key.String(), offset)
	reply, err = wrapReply(stall, reply, err)
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

// fetchJSON responds with an engine's whole event stream as one JSON object. It
// cannot complete JSON that another host has begun, because the bytes may
// differ.
func (f *forwardedRequest) fetchJSON(ctx context.Context, intent witness.Intent) resume.Result {
	if f.out != nil {
		return resume.Disconnected
	}
	f.resumeCount.Inc(1)
	reply, ending := f.openStream(ctx, intent, 0)
	if reply == nil {
		return ending
	}
	defer reply.Body.Close()
	stream, err := io.ReadAll(io.LimitReader(reply.Body, maxAssembledBytes))
	if err != nil {
		return resume.Disconnected
	}
	response, err := engine.Assemble(stream)
	if err != nil {
		return resume.Disconnected
	}
	f.begin(owner.Head{Status: http.StatusOK, ContentType: contentTypeJSON})
	return f.copyEnding(f.copyFrom(bytes.NewReader(response)))
}

// maxAssembledBytes bounds the size of an event stream that is converted to
// JSON.
const maxAssembledBytes = 16 << 20

const contentTypeJSON = "application/json"

// tailReader keeps the last bytes that were read, as many as streamTerminator
// has.
type tailReader struct {
	source io.Reader
	tail   []byte
}

// Read implements io.Reader.
func (r *tailReader) Read(buffer []byte) (int, error) {
	count, err := r.source.Read(buffer)
	r.tail = append(r.tail, buffer[:count]...)
	if excess := len(r.tail) - len(streamTerminator); excess > 0 {
		r.tail = append(r.tail[:0], r.tail[excess:]...)
	}
	return count, err
}

// lookUp asks a plain service for the outcome of a call and copies its response
// to the caller.
func (f *forwardedRequest) lookUp(ctx context.Context, intent witness.Intent) resume.Result {
	service := f.service(intent.Service)
	if service == nil || f.out != nil {
		return resume.Disconnected
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	path := LookupPath(service.LookupPath, f.key.String())
	reply, err := f.config.Endpoints.Send(ctx, engine.Call{Address: intent.Address, Method: http.MethodGet, Path: path})
	if err != nil {
		return resume.Disconnected
	}
	defer reply.Body.Close()
	if reply.Status != http.StatusOK {
		return resume.NotFound
	}
	f.begin(owner.Head{Status: reply.Status, ContentType: reply.ContentType})
	if f.copyFrom(reply.Body) != nil {
		panic(http.ErrAbortHandler)
	}
	return resume.Complete
}
