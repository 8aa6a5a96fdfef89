package relay

import "bytes"

// eventBorder ends each event of a stream.
var eventBorder = []byte("\n\n")

// splitter cuts a stream of bytes into whole events.
type splitter struct {
	pending []byte
	// last is the id of the last whole event; empty if it had none.
	last string
	// count is the number of whole events.
	count int
}

// maxEvent bounds one event in bytes.
const maxEvent = 1 << 20

// add takes bytes in and returns the whole events among them. The result is
// valid until the next call.
func (s *splitter) add(data []byte) []byte {
	s.pending = append(s.pending, data...)
	end := bytes.LastIndex(s.pending, eventBorder)
	if end < 0 {
		return nil
	}
	end += len(eventBorder)
	whole := bytes.Clone(s.pending[:end])
	s.pending = append(s.pending[:0], s.pending[end:]...)
	for event := range bytes.SplitSeq(whole[:end-len(eventBorder)], eventBorder) {
		s.count++
		for line := range bytes.SplitSeq(event, []byte("\n")) {
			if id, found := bytes.CutPrefix(line, []byte("id:")); found {
				s.last = string(bytes.TrimSpace(id))
			}
		}
	}
	return whole
}

// isAtBorder reports whether no event is cut.
func (s *splitter) isAtBorder() bool { return len(s.pending) == 0 }
