package fault

import "net/http"

// abortingWriter closes the connection in place of the reply.
type abortingWriter struct{ http.ResponseWriter }

// WriteHeader closes the connection.
func (abortingWriter) WriteHeader(int) { panic(http.ErrAbortHandler) }

// Write closes the connection.
func (abortingWriter) Write([]byte) (int, error) { panic(http.ErrAbortHandler) }

// garbageWriter replaces the body by garbage.
type garbageWriter struct {
	http.ResponseWriter
	written bool
}

// Write writes garbage once and drops the rest.
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

// truncatingWriter closes the connection after some bytes of the body.
type truncatingWriter struct {
	http.ResponseWriter
	remaining int
}

// Write writes the bytes that are left and then closes the connection.
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
