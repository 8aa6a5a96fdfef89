package relay

import "bytes"

// eventDelimiter terminates each server-sent event.
var eventDelimiter = []byte("\n\n")

// eventSplitter splits a byte stream into complete server-sent events.
type eventSplitter struct {
	pending []byte
	// lastID is the last event ID that a complete event carried; empty if none
	// did.
	lastID string
	// count is the number of complete events.
	count int
}

// maxEventBytes is the maximum size of one event.
const maxEventBytes = 1 << 20

// add appends data and returns the complete events that are now available. The
// result is valid until the next call.
func (s *eventSplitter) add(data []byte) []byte {
	// Further line ends after an event are not the begin of another one.
	lineEnds := 0
	if s.count > 0 && s.isAtEventBoundary() {
		lineEnds = len(data) - len(bytes.TrimLeft(data, "\n"))
	}
	// What was pending holds no delimiter, at most the first byte of one.
	searched := max(len(s.pending)-(len(eventDelimiter)-1), 0)
	s.pending = append(s.pending, data...)
	end := lineEnds
	if last := bytes.LastIndex(s.pending[searched:], eventDelimiter); last >= 0 {
		end = max(end, searched+last+len(eventDelimiter))
	}
	if end == 0 {
		return nil
	}
	complete := bytes.Clone(s.pending[:end])
	s.pending = append(s.pending[:0], s.pending[end:]...)
	if end > lineEnds {
		s.countEvents(complete[lineEnds : end-len(eventDelimiter)])
	}
	return complete
}

// countEvents counts events, without the delimiter of the last one, and notes the last ID.
func (s *eventSplitter) countEvents(events []byte) {
	for event := range bytes.SplitSeq(events, eventDelimiter) {
		if s.count > 0 && len(bytes.TrimLeft(event, "\n")) == 0 {
			continue
		}
		s.count++
		for line := range bytes.SplitSeq(event, []byte("\n")) {
			if id, found := bytes.CutPrefix(line, []byte("id:")); found {
				s.lastID = string(bytes.TrimSpace(id))
			}
		}
	}
}

// isAtEventBoundary reports whether no partial event is pending.
func (s *eventSplitter) isAtEventBoundary() bool { return len(s.pending) == 0 }
