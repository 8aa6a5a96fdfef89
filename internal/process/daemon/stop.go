package daemon

import (
	"context"
	"time"

	"mustarddoor/internal/process/timeline"
)

// drainInterval is how often a planned stop checks for running requests.
const drainInterval = 20 * time.Millisecond

// stop performs a planned stop: the host removes itself from the entry
// responses, refuses new requests, lets running requests finish within the stop
// timeout, gives up its homes, and flushes the outcomes and the journal, which
// other hosts may need later. Canceling the context ends the stop early.
func (h *host) stop(ctx context.Context) {
	h.logger.Info("stopping")
	h.ring.Record(timeline.Event{Kind: timeline.HostStopping})
	h.stopping.Store(true)
	h.members.AnnounceLeaving()
	h.registry.Stop()
	h.placer.Leave()
	stopCtx, cancel := context.WithTimeout(ctx, h.settings.Limits.StopTimeout())
	defer cancel()
	h.drain(stopCtx)
	h.homes.Leave(stopCtx)
	h.sender.Flush(stopCtx)
	h.journal.Flush(stopCtx)
	h.members.AnnounceLeft(stopCtx)
	h.ring.Record(timeline.Event{Kind: timeline.HostStopped})
}

// drain waits until no request runs or the context ends.
func (h *host) drain(ctx context.Context) {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for h.registry.Running() > 0 {
		select {
		case <-ctx.Done():
			h.logger.WithField("requests", h.registry.Running()).Warn("stopping with requests still running")
			return
		case <-ticker.C:
		}
	}
}
