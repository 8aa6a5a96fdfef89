package relay

import "sync/atomic"

const (
	// requestOverheadBytes is the size of a request's headers and of the
	// packets that open and acknowledge it, packetOverheadBytes that of a
	// packet's headers.
	requestOverheadBytes = 1200
	packetOverheadBytes  = 66
)

// traffic counts the callers' requests and the bytes forwarded for them. What
// is forwarded arrives on the host's link and leaves on it, so the count holds
// for either direction.
type traffic struct{ requests, bytes atomic.Int64 }

func (t *traffic) addRequest() {
	t.requests.Add(1)
	t.bytes.Add(requestOverheadBytes)
}

func (t *traffic) add(bytes int) { t.bytes.Add(int64(bytes)) }

// Traffic returns the number of requests since the start and the bytes
// forwarded for them in each direction.
func (r *Relay) Traffic() (requests, bytes int64) {
	return r.traffic.requests.Load(), r.traffic.bytes.Load()
}
