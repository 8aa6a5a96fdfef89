package witness

import (
	"time"
	"unique"

	"mustarddoor/internal/request/key"
)

// record is what the register holds of one key.
type record struct {
	key    key.Key
	isVoid bool
	// isQueued is set while the record is in its shard's unlogged list.
	isQueued bool
	// isDropped is set once the register no longer holds the record.
	isDropped bool
	attempt   uint32
	service   string
	endpoint  string
	address   string
	// sendBy is when the owner can no longer have dispatched.
	sendBy time.Time
	// final is nil until the outcome is known. It is not changed afterwards.
	final *Final
}

// newRecord returns a record of the key that shares its host names with other
// records.
func newRecord(k key.Key) *record {
	k.Session.Owner.Host = shared(k.Session.Owner.Host)
	k.Session.Witness.Host = shared(k.Session.Witness.Host)
	return &record{key: k}
}

// shared returns an equal text that uses the same memory for all its users.
func shared(text string) string { return unique.Make(text).Value() }

// intend writes an attempt.
func (r *record) intend(now time.Time, intent Intent) {
	r.attempt = intent.Attempt
	r.service = shared(intent.Service)
	r.endpoint = shared(intent.Endpoint)
	r.address = shared(intent.Address)
	r.sendBy = now.Add(intent.SendWithin())
}

// intent is the attempt that stands, with no time to send it.
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
	remaining := r.sendBy.Sub(now) + time.Millisecond - 1
	return max(0, remaining.Milliseconds())
}

// describe is what the witness tells of the record.
func (r *record) describe(now time.Time) Record {
	if r.isVoid {
		return Record{State: StateVoid}
	}
	told := Record{State: StateIntended, Intent: r.intent()}
	told.Intent.SendWithinMillis = r.remainingMillis(now)
	if r.final != nil {
		told.State = StateFinished
		told.Final = *r.final
	}
	return told
}

// Estimates of memory, in bytes, with the places in map and expiry order.
const (
	hashBytes   = 80
	recordBytes = 320
	finalBytes  = 128
)

// size is how much memory the record takes, as estimated.
func (r *record) size() int64 {
	if r == inLog {
		return hashBytes
	}
	size := int64(recordBytes + len(r.key.Part))
	if r.final != nil {
		size += int64(finalBytes + len(r.final.ContentType) + len(r.final.Answer))
	}
	return size
}
