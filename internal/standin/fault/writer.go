package fault

import "net/http"

// abortingWriter closes the connection instead of sending the response.
type abortingWriter struct{ http.ResponseWriter }

// WriteHeader aborts the handler.
func (abortingWriter) WriteHeader(int) { panic(http.ErrAbortHandler) }

// Write aborts the handler.
func (abortingWriter) Write([]byte) (int, error) { panic(http.ErrAbortHandler) }

// garbageWriter replaces the body with garbageBody.
type garbageWriter struct {
	http.ResponseWriter
	written bool
}

// Write sends garbageBody on the first call and discards its input.
func (w *garbageWriter) Write(body []byte) (int, error) {
	if w.written {
		return len(body), nil
	}
	w.written = true
	_, err := w.ResponseWriter.Write([]byte(garbageBody))
	return len(body), err
}

// Unwrap lets http.ResponseController find Flush.
func (w *garbageWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// truncatingWriter closes the connection after a number of bytes of the body.
type truncatingWriter struct {
	http.ResponseWriter
	remaining int
}

// Write sends the body up to the remaining bytes and aborts the handler once
// they are used up.
func (w *truncatingWriter) Write(body []byte) (int, error) {
	if len(body) < w.remaining {
		w.remaining -= len(body)
		return w.ResponseWriter.Write(body)
	}
	if _, err := w.ResponseWriter.Write(body[:w.remaining]); err != nil {
		return 0, err
	}
	if err := http.NewResponseController(w.ResponseWriter).Flush(); err != nil {
		return 0, err
	}
	panic(http.ErrAbortHandler)
}

// Unwrap lets http.ResponseController find Flush.
func (w *truncatingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
