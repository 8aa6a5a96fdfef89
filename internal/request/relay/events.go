package relay

import "bytes"

// eventDelimiter ends each event of a stream.
var eventDelimiter = []byte("\n\n")

// eventSplitter cuts a stream of bytes into whole events.
type eventSplitter struct {
	pending []byte
	// lastID is the id of the lastID whole event; empty if it had none.
	lastID string
	// count is the number of whole events.
	count int
}

// maxEventBytes bounds one event in bytes.
const maxEventBytes = 1 << 20

// add takes bytes in and returns the whole events among them. The result is
// valid until the next call.
func (s *eventSplitter) add(data []byte) []byte {
	s.pending = append(s.pending, data...)
	end := bytes.LastIndex(s.pending, eventDelimiter)
	if end < 0 {
		return nil
	}
	end += len(eventDelimiter)
	complete := bytes.Clone(s.pending[:end])
	s.pending = append(s.pending[:0], s.pending[end:]...)
	for event := range bytes.SplitSeq(complete[:end-len(eventDelimiter)], eventDelimiter) {
		s.count++
		for line := range bytes.SplitSeq(event, []byte("\n")) {
			if id, found := bytes.CutPrefix(line, []byte("id:")); found {
				s.lastID = string(bytes.TrimSpace(id))
			}
		}
	}
	return complete
}

// isAtEventBoundary reports whether no event is cut.
func (s *eventSplitter) isAtEventBoundary() bool { return len(s.pending) == 0 }
