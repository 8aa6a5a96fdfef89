package gateway

import (
	"time"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/process/keyed"
)

// recordsReply is the reply to a read from another host. It holds a snapshot
// instead of records if that host no longer has them, as after the log was
// trimmed: if every host then listed the topic itself, the load on the log would
// grow with the fleet.
type recordsReply struct {
	Records  []keyed.Record  `cbor:"1,keyasint,omitempty"`
	Next     uint64          `cbor:"2,keyasint"`
	Snapshot *keyed.Snapshot `cbor:"3,keyasint,omitempty"`
	// Era is the era of Next; 0 if the host runs a version that does not send it.
	Era uint64 `cbor:"4,keyasint,omitempty"`
	// ConfirmedMillis is the time in ms from when the log is known to have held nothing
	// more than this reply until the request arrived, negative if that was later; nil if
	// the host runs a version that does not send it.
	ConfirmedMillis *int64 `cbor:"5,keyasint,omitempty"`
	// Packed is a compressed packedContent. It replaces Records and Snapshot if the host asked
	// for a compressed reply and the content is large enough; otherwise it is empty.
	Packed []byte `cbor:"6,keyasint,omitempty"`
	// Offsets are those of the records if some are left out, because a later one replaces
	// them. They are sent to hosts that read that.
	Offsets []uint64 `cbor:"7,keyasint,omitempty"`
}

// unpack restores Records and Snapshot from Packed.
func (r *recordsReply) unpack() error {
	if len(r.Packed) == 0 {
		return nil
	}
	content, err := unpackContent(r.Packed)
	r.Records, r.Snapshot, r.Packed = content.Records, content.Snapshot, nil
	return err
}

// receivedRecords is a reply from another host to a request sent at a time.
type receivedRecords struct {
	recordsReply
	requestedAt time.Time
}

// errUnconfirmed means that another host has not read the log lately.
var errUnconfirmed = eris.New("the other host has not read the log lately")

// confirmedAt returns when the log is known to have held nothing more than the reply, or
// the zero time.
func (r *receivedRecords) confirmedAt() time.Time {
	if r.ConfirmedMillis == nil {
		return time.Time{}
	}
	return r.requestedAt.Add(-time.Duration(*r.ConfirmedMillis) * time.Millisecond)
}

// isOutdated reports whether the host that replied has not read the log lately.
func (r *receivedRecords) isOutdated() bool {
	return r.ConfirmedMillis != nil && isOutdated(r.confirmedAt())
}

// isOutdated reports whether what was confirmed at a time may lack changes by now.
func isOutdated(confirmedAt time.Time) bool { return time.Since(confirmedAt) >= maxUnconfirmed }

// newRecordsReply returns the reply to a request that arrived at a time.
func newRecordsReply(next keyed.Position, arrivedAt, confirmedAt time.Time) recordsReply {
	age := neverConfirmedAge.Milliseconds()
	if !confirmedAt.IsZero() {
		age = arrivedAt.Sub(confirmedAt).Milliseconds() + 1 // rounded up
	}
	return recordsReply{Next: next.Offset, Era: next.Era, ConfirmedMillis: &age}
}
