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

// writeTimeout bounds how long a caller may take to read one part of an
// answer.
const writeTimeout = 30 * time.Second

// copyAnswer writes an answer to one caller from the request's offset on.
func (r *Runner) copyAnswer(ctx context.Context, own *owner.Request, request *Request, w http.ResponseWriter) {
	answer := own.Answer()
	head, begun, err := answer.Head(ctx)
	if err != nil {
		return
	}
	if !begun {
		r.refuseEnded(ctx, answer, w)
		return
	}
	out := newAnswerWriter(w, head)
	out.isRelayed = request.IsRelayed
	offset := request.Offset
	for {
		part, err := answer.ReadAt(ctx, offset)
		switch {
		case errors.Is(err, owner.ErrTrimmed):
			r.copyFromEndpoint(ctx, own, offset, out)
			return
		case err != nil:
			out.abort(outcome.Refuse(outcome.Unknown, outcome.ReasonReplyLost))
			return
		case part.End:
			out.end(part.Refusal)
			return
		}
		if out.write(part.Bytes) != nil {
			return
		}
		offset += int64(len(part.Bytes))
	}
}

// refuseEnded answers with the refusal of a request that ended without an
// answer.
func (r *Runner) refuseEnded(ctx context.Context, answer *owner.Answer, w http.ResponseWriter) {
	part, err := answer.ReadAt(ctx, 0)
	if err != nil {
		return
	}
	r.refuse(w, part.Refusal)
}

// copyFromEndpoint writes what this host no longer holds from the engine that
// ran the request.
func (r *Runner) copyFromEndpoint(ctx context.Context, own *owner.Request, offset int64, out *answerWriter) {
	target, mayHaveRun := own.Target()
	if !mayHaveRun {
		out.abort(outcome.Refuse(outcome.Unknown, outcome.ReasonReplyLost))
		return
	}
	reply, err := r.config.Endpoints.Resume(ctx, target.Address, own.Key().String(), offset)
	if err != nil {
		out.abort(outcome.Refuse(outcome.Unknown, outcome.ReasonReplyLost))
		return
	}
	defer reply.Body.Close()
	if err := out.copy(reply.Body); err != nil {
		out.abort(outcome.Refuse(outcome.Unknown, outcome.ReasonReplyLost))
	}
}

// answerWriter writes an answer to a caller and flushes every part.
type answerWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	isStream   bool
	// isRelayed is set if another host reads the answer for the caller. It is
	// to see an answer that is cut as a broken connection.
	isRelayed bool
}

func newAnswerWriter(w http.ResponseWriter, head owner.Head) *answerWriter {
	if head.ContentType != "" {
		w.Header().Set("Content-Type", head.ContentType)
	}
	w.WriteHeader(head.Status)
	return &answerWriter{
		w:          w,
		controller: http.NewResponseController(w),
		isStream:   isEventStream(head.ContentType),
	}
}

func (a *answerWriter) write(part []byte) error {
	// Writers without deadlines, as in tests, go without.
	_ = a.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := a.w.Write(part); err != nil {
		return err
	}
	if !a.isStream {
		return nil
	}
	return a.controller.Flush()
}

// copy writes all of a reader.
func (a *answerWriter) copy(from io.Reader) error {
	buffer := make([]byte, copyBytes)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			if writeErr := a.write(buffer[:count]); writeErr != nil {
				return nil
			}
		}
		if err != nil {
			return ignoreEOF(err)
		}
	}
}

// end closes the answer; a refusal with an outcome says that it is cut.
func (a *answerWriter) end(refusal outcome.Refusal) {
	if refusal.Outcome != "" && refusal.Outcome != outcome.Done {
		a.abort(refusal)
	}
}

// abort tells the caller that the answer is cut: by a last event in an event
// stream, else by breaking the connection off before the answer's end.
func (a *answerWriter) abort(refusal outcome.Refusal) {
	if !a.isStream || a.isRelayed {
		panic(http.ErrAbortHandler)
	}
	body, err := json.Marshal(refusal)
	if err != nil {
		panic(err)
	}
	_ = a.write([]byte("event: error\ndata: " + string(body) + "\n\n"))
}

func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
