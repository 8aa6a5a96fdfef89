package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"mustarddoor/internal/process/keyed"
	"mustarddoor/internal/process/pause"
)

const (
	// minWriterUptime is how long after its start a host may write on behalf of
	// the fleet: before that, it may not have heard of the host that does.
	minWriterUptime = 3 * time.Second
	// registerRetryDelay is the delay between attempts to write this host's
	// record.
	registerRetryDelay = 2 * time.Second
	// registerCheckInterval is the time between checks whether the store was
	// restored, registerSpread the time over which the hosts then write.
	registerCheckInterval = 500 * time.Millisecond
	registerSpread        = 2 * time.Second
)

// uptime returns the time since the start.
func (g *Gateway) uptime() time.Duration { return time.Since(g.startedAt) }

// registerHost writes this host's address to the hosts topic, retrying until it
// succeeds, and again when the store may have lost it: without seeds, this is how hosts
// that start together find each other. The record is always the same, so a repeated
// write is harmless.
func (g *Gateway) registerHost(ctx context.Context) error {
	record := keyed.Record{Key: g.settings.Name, Value: []byte(g.settings.PeerAddress.String())}
	for {
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		end, err := g.ports.Store.Append(callCtx, keyed.Partition{Topic: g.ports.Topics.Hosts}, record, nil)
		cancel()
		if err != nil {
			g.log.Entry().WithError(err).Warn("cannot write this host's record")
			if !pause.For(ctx, registerRetryDelay) {
				return nil
			}
			continue
		}
		for g.storeEra() <= end.Era {
			if !pause.For(ctx, registerCheckInterval) {
				return nil
			}
		}
		// All hosts write when the store is back.
		pause.For(ctx, rand.N(registerSpread))
	}
}
