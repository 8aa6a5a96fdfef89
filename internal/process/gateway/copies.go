package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"mustarddoor/internal/connection/transfer"
	"mustarddoor/internal/process/keyed"
	"mustarddoor/internal/process/pause"
)

// snapshotCopies maintains copies of the operator's records in several
// partitions of the platform's log. Partitions can fail independently: a host
// that starts while the operator's partition is unavailable, and finds no host
// with newer data, starts from a copy.
type snapshotCopies struct {
	gateway *Gateway
	// written holds the position that each copy is known to reach.
	written [copyCount]keyed.Position
	// tooLarge is the position of the newest records of which no copy can be written,
	// tooLargeBytes the size of that copy, 0 if the newest can be written.
	tooLarge      keyed.Position
	tooLargeBytes metrics.Gauge
}

const (
	// copyCount is the number of copies. With a third of the partitions
	// unavailable, one start in a hundred finds no copy.
	copyCount = 4
	copyKey   = "operator"
	// copyPackedMark is the first byte of a compressed copy. A copy that is not compressed
	// begins with a CBOR map.
	copyPackedMark = 0
	// copyInterval is the time between checks for copies to write or read. It
	// limits the write rate when changes come in quick succession.
	copyInterval = 300 * time.Millisecond
	// copyTimeout limits one store call.
	copyTimeout = 800 * time.Millisecond
)

func newSnapshotCopies(g *Gateway) *snapshotCopies {
	return &snapshotCopies{gateway: g, tooLargeBytes: metrics.GetOrRegisterGauge("store.copy_too_large_bytes", g.registry)}
}

func (c *snapshotCopies) partition(number int) keyed.Partition {
	return keyed.Partition{Topic: c.gateway.ports.Topics.Copies, Number: number}
}

// run writes and reads copies until ctx is done.
func (c *snapshotCopies) run(ctx context.Context) error {
	for pause.For(ctx, copyInterval) {
		snapshot, known := c.gateway.operator.Snapshot()
		switch {
		case !known && c.gateway.operator.IsUnavailable():
			c.restore(ctx)
		case known && c.gateway.isWriter():
			c.write(ctx, snapshot)
		}
	}
	return nil
}

// write updates the copies that are behind the snapshot.
func (c *snapshotCopies) write(ctx context.Context, snapshot keyed.Snapshot) {
	if snapshot.Position == c.tooLarge {
		return
	}
	var data []byte
	for number, written := range c.written {
		if written.Compare(snapshot.Position) >= 0 {
			continue
		}
		if data == nil {
			encoded, err := c.encode(snapshot)
			if err != nil {
				c.gateway.log.Entry().WithError(err).Error("cannot encode copy of the operator's records")
				return
			}
			if !c.fits(encoded) {
				c.tooLarge = snapshot.Position
				c.tooLargeBytes.Update(int64(len(encoded)))
				c.gateway.log.Entry().WithFields(logrus.Fields{"bytes": len(encoded), "max_bytes": c.gateway.settings.MaxRecordBytes, "operator_next": snapshot.Offset}).
					Error("the operator's records are too large for a copy: hosts cannot start while the log does not deliver them")
				return
			}
			data = encoded
			c.tooLargeBytes.Update(0)
		}
		callCtx, cancel := context.WithTimeout(ctx, copyTimeout)
		_, err := c.gateway.ports.Store.Append(callCtx, c.partition(number), keyed.Record{Key: copyKey, Value: data}, nil)
		cancel()
		fields := logrus.Fields{"part": number, "operator_next": snapshot.Offset, "bytes": len(data)}
		if err != nil {
			c.gateway.log.Entry().WithError(err).WithFields(fields).Warn("cannot write copy of the operator's records")
			continue
		}
		c.written[number] = snapshot.Position
		c.gateway.log.Entry().WithFields(fields).Info("wrote copy of the operator's records")
	}
}

// encode returns the content of a copy, compressed if the log would not take it otherwise: a
// host that runs a version that does not compress copies cannot read it.
func (c *snapshotCopies) encode(snapshot keyed.Snapshot) ([]byte, error) {
	data, err := wire.Marshal(snapshot)
	if err != nil || c.fits(data) {
		return data, eris.Wrap(err, "encode")
	}
	packed, err := pack(data)
	return append([]byte{copyPackedMark}, packed...), err
}

// decodeCopy reverts encode.
func decodeCopy(data []byte) (keyed.Snapshot, error) {
	snapshot := keyed.Snapshot{}
	if len(data) > 0 && data[0] == copyPackedMark {
		unpacked, err := unpack(data[1:])
		if err != nil {
			return snapshot, err
		}
		data = unpacked
	}
	return snapshot, eris.Wrap(wire.Unmarshal(data, &snapshot), "decode")
}

// recordOverhead is how much larger a record is than its value, without the key.
const recordOverhead = 1

// fits reports whether the log takes a copy.
func (c *snapshotCopies) fits(data []byte) bool {
	limit := c.gateway.settings.MaxRecordBytes
	return limit <= 0 || len(copyKey)+len(data)+recordOverhead <= limit
}

// restore adopts the newest copy that can be read. The operator's own records
// replace it as soon as they can be read.
func (c *snapshotCopies) restore(ctx context.Context) {
	var wait sync.WaitGroup
	for number := range copyCount {
		wait.Go(func() {
			callCtx, cancel := transfer.WithTimeout(ctx, 0, copyTimeout)
			defer cancel()
			snapshot, err := c.read(callCtx, number)
			if err != nil {
				c.gateway.log.Entry().WithError(err).WithField("part", number).Warn("cannot read copy of the operator's records")
				return
			}
			if snapshot.Offset == 0 {
				return
			}
			c.gateway.log.Entry().WithFields(logrus.Fields{"part": number, "operator_next": snapshot.Offset}).Info("started from a copy of the operator's records")
			snapshot.Source = keyed.SourceCopy
			c.gateway.operator.Adopt(snapshot)
		})
	}
	wait.Wait()
}

// read reads one copy. Next is 0 if there is none.
func (c *snapshotCopies) read(ctx context.Context, number int) (keyed.Snapshot, error) {
	newest, err := c.gateway.ports.Store.Newest(ctx, c.partition(number))
	if err != nil {
		return keyed.Snapshot{}, eris.Wrap(err, "copy")
	}
	value, found := newest.Values[copyKey]
	if !found {
		return keyed.Snapshot{}, nil
	}
	snapshot, err := decodeCopy(value)
	return snapshot, eris.Wrap(err, "copy")
}
