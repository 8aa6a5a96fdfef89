package witness

import (
	"time"
	"unique"

	"mustarddoor/internal/request/key"
)

// record is the register's entry for one key.
type record struct {
	key    key.Key
	isVoid bool
	// isQueued is set while the record is in its shard's unlogged list.
	isQueued bool
	// isDropped is set after the register has dropped the record.
	isDropped bool
	attempt   uint32
	service   string
	endpoint  string
	address   string
	// sendDeadline is the time after which the owner does not dispatch.
	sendDeadline time.Time
	// result is nil until the outcome is known. It is not modified afterwards.
	result *Result
}

// newRecord returns a record of the key whose host names are interned.
func newRecord(k key.Key) *record {
	k.Session.Owner.Host = interned(k.Session.Owner.Host)
	k.Session.Witness.Host = interned(k.Session.Witness.Host)
	return &record{key: k}
}

// interned returns the canonical copy of a string, so that equal strings share
// memory.
func interned(text string) string { return unique.Make(text).Value() }

// setIntent sets the record's intent.
func (r *record) setIntent(now time.Time, intent Intent) {
	r.attempt = intent.Attempt
	r.service = interned(intent.Service)
	r.endpoint = interned(intent.Endpoint)
	r.address = interned(intent.Address)
	r.sendDeadline = now.Add(intent.SendWithin())
}

// intent returns the record's intent, with no time left to send it.
func (r *record) intent() Intent {
	return Intent{
		Key:      r.key,
		Attempt:  r.attempt,
		Service:  r.service,
		Endpoint: r.endpoint,
		Address:  r.address,
	}
}

// remainingMillis is how long the owner may still dispatch, rounded up.
func (r *record) remainingMillis(now time.Time) int64 {
	remaining := r.sendDeadline.Sub(now) + time.Millisecond - 1
	return max(0, remaining.Milliseconds())
}

// toRecord converts the record to the form that the witness reports.
func (r *record) toRecord(now time.Time) Record {
	if r.isVoid {
		return Record{State: StateVoid}
	}
	reply := Record{State: StateIntended, Intent: r.intent()}
	reply.Intent.SendWithinMillis = r.remainingMillis(now)
	if r.result != nil {
		reply.State = StateFinished
		reply.Result = *r.result
	}
	return reply
}

// Estimated sizes in memory, in bytes, including the entries in the map and in
// the list of expirations.
const (
	tombstoneBytes = 80
	recordBytes    = 320
	resultBytes    = 128
)

// size returns the estimated size of the record in memory.
func (r *record) size() int64 {
	if r == loggedTombstone {
		return tombstoneBytes
	}
	size := int64(recordBytes + len(r.key.Part))
	if r.result != nil {
		size += int64(resultBytes + len(r.result.ContentType) + len(r.result.Response))
	}
	return size
}
