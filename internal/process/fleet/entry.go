// Package fleet is the registry of endpoints. For each endpoint it holds its
// directory entry, the load of this and the other hosts on it, and its learned
// latency and failure rate.
//
// It starts no goroutines and reads no clock: the time is passed in.
package fleet

import "time"

// Entry is an endpoint's entry in the platform's directory.
type Entry struct {
	// ID identifies the endpoint. StartMillis is the time of its last start in
	// Unix milliseconds, or 0 if the entry does not say.
	ID          string
	StartMillis int64
	// Service is the service that the endpoint belongs to, Version the version
	// of its software.
	Service, Version string
	// Address is IP:port.
	Address string
	// Domain is the endpoint's failure domain.
	Domain string
	// Slots is the number of requests that the endpoint serves at once.
	Slots int
	// Draining is set if the endpoint is about to leave.
	Draining bool
	// ColdFor is how long the endpoint stays cold, counted from when the entry
	// was written.
	ColdFor time.Duration
	// Sequence numbers the entries that the endpoint has written since its
	// start.
	Sequence uint64
}

// Supersedes reports whether the entry is at least as recent as another one of
// the same ID.
func (e Entry) Supersedes(other Entry) bool {
	if e.StartMillis != other.StartMillis {
		return e.StartMillis > other.StartMillis
	}
	return e.Sequence >= other.Sequence
}
