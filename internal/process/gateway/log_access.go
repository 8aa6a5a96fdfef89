package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mustarddoor/internal/connection/transfer"
	"mustarddoor/internal/process/keyed"
	"mustarddoor/internal/process/pause"
)

// logAccess is the platform's log, with a record of whether this host reaches it. A host
// that gets the operator's records from another host may not.
type logAccess struct {
	keyed.Store
	// partition decides whether the log is reached: others can be unavailable alone.
	partition keyed.Partition
	log       *logrus.Entry

	mu sync.Mutex
	// lostSince is when the log was lost; zero while it is reached.
	lostSince time.Time
	// isInDoubt is set if a call to another partition has failed since.
	isInDoubt bool
}

const (
	// probeInterval is the time between checks whether a host that does not read the log
	// itself reaches it, and probeTimeout limits one check.
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 700 * time.Millisecond
)

func newLogAccess(store keyed.Store, partition keyed.Partition, log *logrus.Entry) *logAccess {
	return &logAccess{Store: store, partition: partition, log: log}
}

// Newest implements keyed.Store.
func (a *logAccess) Newest(ctx context.Context, partition keyed.Partition) (keyed.Snapshot, error) {
	snapshot, err := a.Store.Newest(ctx, partition)
	a.record(ctx, partition, err)
	return snapshot, err
}

// Read implements keyed.Store.
func (a *logAccess) Read(ctx context.Context, partition keyed.Partition, from keyed.Position, wait time.Duration) (keyed.Batch, error) {
	batch, err := a.Store.Read(ctx, partition, from, wait)
	a.record(ctx, partition, err)
	return batch, err
}

// Append implements keyed.Store.
func (a *logAccess) Append(ctx context.Context, partition keyed.Partition, record keyed.Record, expectedEnd *uint64) (keyed.Position, error) {
	end, err := a.Store.Append(ctx, partition, record, expectedEnd)
	a.record(ctx, partition, err)
	return end, err
}

// record records the result of a call.
func (a *logAccess) record(call context.Context, partition keyed.Partition, err error) {
	isReached := err == nil || errors.Is(err, keyed.ErrTrimmed) || errors.Is(err, keyed.ErrConflict) || errors.Is(err, keyed.ErrOutdated)
	if !isReached && (errors.Is(call.Err(), context.Canceled) || keyed.IsLate(call)) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case partition != a.partition:
		a.isInDoubt = a.isInDoubt || !isReached
		return
	case isReached && !a.lostSince.IsZero():
		a.log.WithField("away_ms", time.Since(a.lostSince).Milliseconds()).Info("log reached again")
		a.lostSince = time.Time{}
	case !isReached && a.lostSince.IsZero():
		a.log.WithError(err).Warn("log not reached")
		a.lostSince = time.Now()
	}
	a.isInDoubt = false
}

// isLost reports whether this host has lost the log.
func (a *logAccess) isLost() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.lostSince.IsZero()
}

// needsProbe reports whether a call is needed to find out if this host reaches the log.
// readsLog is set if it reads the log anyway.
func (a *logAccess) needsProbe(readsLog bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.isInDoubt || !readsLog && !a.lostSince.IsZero()
}

// probeLog checks whether this host reaches the log again, while it gets the records
// from another host, until ctx is done.
func (g *Gateway) probeLog(ctx context.Context) error {
	wait := probeInterval
	for pause.For(ctx, wait) {
		wait = probeInterval
		if !g.logAccess.needsProbe(!g.sharedReads.readerAddress().IsValid()) {
			continue
		}
		next, _ := g.operator.Next()
		callCtx, cancel := transfer.WithTimeout(ctx, 0, probeTimeout)
		_, err := g.logAccess.Read(callCtx, g.logAccess.partition, next, 0)
		cancel()
		if err != nil {
			wait = outageRetryDelay(probeInterval, g.membership.ReachableInDomain(g.membership.Now()))
		}
	}
	return nil
}
