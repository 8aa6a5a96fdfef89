package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"mustarddoor/internal/process/keyed"
	"mustarddoor/internal/process/pause"
)

// snapshotCopies keeps snapshotCopies of the operator's records in several partitions of the
// platform's log. Partitions can be out one by one; a host that starts while
// the operator's own is out, and finds no other host that knows more, begins
// with a copy.
type snapshotCopies struct {
	gateway *Gateway
	// writtenOffsets is the offset up to which each copy is known to reach.
	writtenOffsets [copyCount]uint64
}

const (
	// copyCount is the number of copies: with a third of the partitions out,
	// one start in a hundred finds none.
	copyCount = 4
	copyKey   = "operator"
	// copyInterval is the pause between looks at what is to be copied or read; it
	// bounds the writes in a quick series of changes.
	copyInterval = 300 * time.Millisecond
	// copyTimeout bounds one call.
	copyTimeout = 800 * time.Millisecond
)

func newSnapshotCopies(g *Gateway) *snapshotCopies { return &snapshotCopies{gateway: g} }

func (c *snapshotCopies) partition(number int) keyed.Partition {
	return keyed.Partition{Topic: c.gateway.ports.Topics.Copies, Number: number}
}

// run writes and reads copies until the context ends.
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

// write brings the copies up to date.
func (c *snapshotCopies) write(ctx context.Context, snapshot keyed.Snapshot) {
	var data []byte
	for number, written := range c.writtenOffsets {
		if written >= snapshot.Next {
			continue
		}
		if data == nil {
			encoded, err := wire.Marshal(snapshot)
			if err != nil {
				c.gateway.log.Entry().WithError(err).Error("copy not encoded")
				return
			}
			data = encoded
		}
		callCtx, cancel := context.WithTimeout(ctx, copyTimeout)
		_, err := c.gateway.ports.Store.Append(callCtx, c.partition(number), keyed.Record{Key: copyKey, Value: data}, nil)
		cancel()
		fields := logrus.Fields{"part": number, "operator_next": snapshot.Next, "bytes": len(data)}
		if err != nil {
			c.gateway.log.Entry().WithError(err).WithFields(fields).Warn("copy of the operator's records not written")
			continue
		}
		c.writtenOffsets[number] = snapshot.Next
		c.gateway.log.Entry().WithFields(fields).Info("copy of the operator's records written")
	}
}

// restore begins with the newest copy that can be read. The operator's own
// records replace it as soon as they can be read.
func (c *snapshotCopies) restore(ctx context.Context) {
	var wait sync.WaitGroup
	for number := range copyCount {
		wait.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, copyTimeout)
			defer cancel()
			snapshot, err := c.read(callCtx, number)
			if err != nil {
				c.gateway.log.Entry().WithError(err).WithField("part", number).Warn("copy of the operator's records not read")
				return
			}
			if snapshot.Next == 0 {
				return
			}
			c.gateway.log.Entry().WithFields(logrus.Fields{"part": number, "operator_next": snapshot.Next}).Info("begun with a copy of the operator's records")
			c.gateway.operator.Adopt(snapshot)
		})
	}
	wait.Wait()
}

// read reads one copy; its Next is 0 if there is none.
func (c *snapshotCopies) read(ctx context.Context, number int) (keyed.Snapshot, error) {
	records, _, err := c.gateway.ports.Store.Newest(ctx, c.partition(number))
	if err != nil {
		return keyed.Snapshot{}, eris.Wrap(err, "copy")
	}
	for _, record := range records {
		if record.Key != copyKey {
			continue
		}
		snapshot := keyed.Snapshot{}
		if err := wire.Unmarshal(record.Value, &snapshot); err != nil {
			return keyed.Snapshot{}, eris.Wrap(err, "copy")
		}
		return snapshot, nil
	}
	return keyed.Snapshot{}, nil
}
