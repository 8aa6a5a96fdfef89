package flow

import "strings"

// Headers that the flow reads or writes itself.
const (
	// HeaderState tells the state of a request that is looked up.
	HeaderState = "Mustarddoor-State"
	// HeaderRelay names the host that sent a request on to its owner.
	HeaderRelay = "Mustarddoor-Relay"
)

// eventStreamType is the content type of server-sent events.
const eventStreamType = "text/event-stream"

// isEventStream reports whether a content type, with or without parameters, is
// that of server-sent events.
func isEventStream(contentType string) bool { return strings.HasPrefix(contentType, eventStreamType) }
