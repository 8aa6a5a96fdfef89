package daemon

import (
	"context"
	"time"

	"mustarddoor/internal/process/timeline"
)

// drainInterval is how often a planned stop looks whether requests still run.
const drainInterval = 20 * time.Millisecond

// stop is a planned stop: it leaves the entry answers, refuses new requests,
// finishes those that run within the set time, and hands on what others may
// ask for. The context ends it early.
func (h *host) stop(ctx context.Context) {
	h.logger.Info("stopping")
	h.ring.Record(timeline.Event{Kind: timeline.HostStopping})
	h.stopping.Store(true)
	h.members.Leave()
	h.registry.Stop()
	h.placer.Leave()
	stopCtx, cancel := context.WithTimeout(ctx, h.settings.Limits.StopTimeout())
	defer cancel()
	h.drain(stopCtx)
	h.homes.Leave(stopCtx)
	h.sender.Flush(stopCtx)
	h.journal.Flush(stopCtx)
	h.members.Depart(stopCtx)
	h.ring.Record(timeline.Event{Kind: timeline.HostStopped})
}

// drain waits until no request runs.
func (h *host) drain(ctx context.Context) {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for h.registry.Running() > 0 {
		select {
		case <-ctx.Done():
			h.logger.WithField("requests", h.registry.Running()).Warn("stopping before all requests have ended")
			return
		case <-ticker.C:
		}
	}
}
