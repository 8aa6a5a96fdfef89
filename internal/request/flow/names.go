package flow

import "strings"

// HTTP headers that this package sets or reads.
const (
	// HeaderState carries the state of the request in a response.
	HeaderState = "Mustarddoor-State"
	// HeaderRelay carries the name of the host that forwarded a request to its
	// owner.
	HeaderRelay = "Mustarddoor-Relay"
)

// eventStreamType is the media type of server-sent events.
const eventStreamType = "text/event-stream"

// isEventStream reports whether a content type, with or without parameters, is
// that of server-sent events.
func isEventStream(contentType string) bool { return strings.HasPrefix(contentType, eventStreamType) }
