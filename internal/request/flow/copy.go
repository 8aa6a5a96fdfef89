package flow

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"mustarddoor/internal/request/outcome"
	"mustarddoor/internal/request/owner"
)

// writeTimeout bounds how long a caller may take to receive one write of the
// response.
const writeTimeout = 30 * time.Second

// copyResponse writes a response to one caller, starting at the request's
// offset.
func (r *Runner) copyResponse(ctx context.Context, owned *owner.Request, request *Request, w http.ResponseWriter) {
	response := owned.Response()
	head, begun, err := response.Head(ctx)
	if err != nil {
		return
	}
	if !begun {
		r.refuseEnded(ctx, response, w)
		return
	}
	out := newResponseWriter(w, head)
	out.isRelayed = request.IsRelayed
	offset := request.Offset
	for {
		segment, err := response.ReadAt(ctx, offset)
		switch {
		case errors.Is(err, owner.ErrTrimmed):
			r.copyFromEndpoint(ctx, owned, offset, out)
			return
		case err != nil:
			out.abort(outcome.Refuse(outcome.Unknown, outcome.ReasonReplyLost))
			return
		case segment.End:
			out.end(segment.Refusal)
			return
		}
		if out.write(segment.Bytes) != nil {
			return
		}
		offset += int64(len(segment.Bytes))
	}
}

// refuseEnded writes the refusal of a request that ended without a response.
func (r *Runner) refuseEnded(ctx context.Context, response *owner.Response, w http.ResponseWriter) {
	segment, err := response.ReadAt(ctx, 0)
	if err != nil {
		return
	}
	r.refuse(w, segment.Refusal)
}

// copyFromEndpoint copies the bytes that this host no longer holds from the
// engine that executed the request.
func (r *Runner) copyFromEndpoint(ctx context.Context, owned *owner.Request, offset int64, out *responseWriter) {
	target, mayHaveRun := owned.Target()
	if !mayHaveRun {
		out.abort(outcome.Refuse(outcome.Unknown, outcome.ReasonReplyLost))
		return
	}
	response, err := r.config.Endpoints.Resume(ctx, target.Address, owned.Key().String(), offset)
	if err != nil {
		out.abort(outcome.Refuse(outcome.Unknown, outcome.ReasonReplyLost))
		return
	}
	defer response.Body.Close()
	if err := out.copyFrom(response.Body); err != nil {
		out.abort(outcome.Refuse(outcome.Unknown, outcome.ReasonReplyLost))
	}
}

// responseWriter writes a response to a caller. It flushes every write of an
// event stream.
type responseWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	isStream   bool
	// isRelayed is set if another host reads the response for the caller. That
	// host must see a truncated response as an aborted connection.
	isRelayed bool
}

func newResponseWriter(w http.ResponseWriter, head owner.Head) *responseWriter {
	if head.ContentType != "" {
		w.Header().Set("Content-Type", head.ContentType)
	}
	w.WriteHeader(head.Status)
	return &responseWriter{
		w:          w,
		controller: http.NewResponseController(w),
		isStream:   isEventStream(head.ContentType),
	}
}

func (w *responseWriter) write(data []byte) error {
	// Response writers in tests do not support deadlines.
	_ = w.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := w.w.Write(data); err != nil {
		return err
	}
	if !w.isStream {
		return nil
	}
	return w.controller.Flush()
}

// copyFrom copies everything from the source to the caller. It returns read
// errors only; a write error means that the caller has disconnected.
func (w *responseWriter) copyFrom(source io.Reader) error {
	buffer := make([]byte, copyBufferBytes)
	for {
		count, err := source.Read(buffer)
		if count > 0 {
			if writeErr := w.write(buffer[:count]); writeErr != nil {
				return nil
			}
		}
		if err != nil {
			return ignoreEOF(err)
		}
	}
}

// end finishes the response; it aborts it if the refusal has an outcome other
// than Done.
func (w *responseWriter) end(refusal outcome.Refusal) {
	if refusal.Outcome != "" && refusal.Outcome != outcome.Done {
		w.abort(refusal)
	}
}

// abort signals to the caller that the response is truncated: by a final error
// event in an event stream, otherwise by aborting the connection.
func (w *responseWriter) abort(refusal outcome.Refusal) {
	if !w.isStream || w.isRelayed {
		panic(http.ErrAbortHandler)
	}
	body, err := json.Marshal(refusal)
	if err != nil {
		panic(err)
	}
	_ = w.write([]byte("event: error\ndata: " + string(body) + "\n\n"))
}

func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
