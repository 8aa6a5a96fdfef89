// Package fleet knows the endpoints: what the platform says of each, how much
// work is under way there from this and the other hosts, how fast it is and
// whether it can be trusted.
//
// It holds no goroutines; the time is passed in.
package fleet

import "time"

// Entry is what the platform's list says of an endpoint.
type Entry struct {
	// ID names one endpoint, Born one start of it in Unix milliseconds; Born
	// is 0 if it was not said.
	ID          string
	StartMillis int64
	// Service is the service it belongs to, Version that of its software.
	Service, Version string
	// Address is IP:port.
	Address string
	// Domain is its failure domain.
	Domain string
	// Slots is the number of requests it serves at once.
	Slots int
	// Draining tells that it is about to leave.
	Draining bool
	// ColdFor is how long it stays cold, counted from when the entry was written.
	ColdFor time.Duration
	// Sequence counts what the endpoint has written since its start.
	Sequence uint64
}

// Supersedes reports whether the entry was written after another one of the
// same ID.
func (e Entry) Supersedes(other Entry) bool {
	if e.StartMillis != other.StartMillis {
		return e.StartMillis > other.StartMillis
	}
	return e.Sequence >= other.Sequence
}
