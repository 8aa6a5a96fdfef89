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
	response, result := f.openStream(ctx, intent, f.offset-overlap)
	if response == nil {
		return result
	}
	defer response.Body.Close()
	tail := make([]byte, overlap)
	if _, err := io.ReadFull(response.Body, tail); err != nil {
		return resume.Disconnected
	}
	f.begin(owner.Head{Status: response.Status, ContentType: response.ContentType})
	tailed := &tailReader{source: response.Body, tail: tail}
	err := f.copyFrom(tailed)
	if err == nil && !bytes.Equal(tailed.tail, streamTerminator) {
		return resume.Disconnected
	}
	return f.copyResult(err)
}

// openStream requests the engine's stream starting at an offset. If it returns
// no response, the result says why.
func (f *forwardedRequest) openStream(ctx context.Context, intent witness.Intent, offset int64) (*engine.Response, resume.Result) {
	stall := newStallTimer(ctx)
	response, err := f.config.Endpoints.Resume(stall.ctx, intent.Address, f.key.String(), offset)
	response, err = wrapResponse(stall, response, err)
	switch {
	case errors.Is(err, engine.ErrUnknownKey):
		return nil, resume.NotFound
	case err != nil:
		return nil, resume.Disconnected
	case response.Status != http.StatusOK:
		response.Body.Close()
		return nil, resume.Disconnected
	default:
		return response, 0
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
	response, result := f.openStream(ctx, intent, 0)
	if response == nil {
		return result
	}
	defer response.Body.Close()
	stream, err := io.ReadAll(io.LimitReader(response.Body, maxAssembledBytes))
	if err != nil {
		return resume.Disconnected
	}
	assembled, err := engine.Assemble(stream)
	if err != nil {
		return resume.Disconnected
	}
	f.begin(owner.Head{Status: http.StatusOK, ContentType: contentTypeJSON})
	return f.copyResult(f.copyFrom(bytes.NewReader(assembled)))
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
	response, err := f.config.Endpoints.Send(ctx, engine.Call{Address: intent.Address, Method: http.MethodGet, Path: path})
	if err != nil {
		return resume.Disconnected
	}
	defer response.Body.Close()
	if response.Status != http.StatusOK {
		return resume.NotFound
	}
	f.begin(owner.Head{Status: response.Status, ContentType: response.ContentType})
	if f.copyFrom(response.Body) != nil {
		panic(http.ErrAbortHandler)
	}
	return resume.Complete
}
