package gateway

import (
	"context"
	"time"

	"mustarddoor/internal/process/keyed"
	"mustarddoor/internal/process/pause"
)

const (
	// firstContactTime is how long after its start a host waits to hear from
	// others before it reads the platform's log itself: hosts with the records
	// serve them, and when a whole fleet starts, one host of each failure domain
	// reads for all.
	firstContactTime = 250 * time.Millisecond
	// maxReaderWait is how long after its start a host waits for a preferred
	// host of its failure domain that has not read the log yet.
	maxReaderWait = 1500 * time.Millisecond
	// minWriterUptime is how long after its start a host may write on behalf of
	// the fleet: before that, it may not have heard of the host that does.
	minWriterUptime = 3 * time.Second
	// registerRetryDelay is the delay between attempts to write this host's
	// record.
	registerRetryDelay = 2 * time.Second
)

// uptime returns the time since the start.
func (g *Gateway) uptime() time.Duration { return time.Since(g.startedAt) }

// awaitsReader reports whether this host has just started and leaves it to others
// to read the platform's log.
func (g *Gateway) awaitsReader() bool {
	uptime := g.uptime()
	return uptime < firstContactTime ||
		uptime < maxReaderWait && g.membership.HasPreferredInDomain(time.Now()) && !g.sharedReads.readerAddress().IsValid()
}

// registerHost writes this host's address to the hosts topic, retrying until it
// succeeds: without seeds, this is how hosts that start together find each other.
// The record is always the same, so a repeated write is harmless.
func (g *Gateway) registerHost(ctx context.Context) error {
	record := keyed.Record{Key: g.settings.Name, Value: []byte(g.settings.PeerAddress.String())}
	for {
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		_, err := g.ports.Store.Append(callCtx, keyed.Partition{Topic: g.ports.Topics.Hosts}, record, nil)
		cancel()
		if err == nil {
			break
		}
		g.log.Entry().WithError(err).Warn("cannot write this host's record")
		if !pause.For(ctx, registerRetryDelay) {
			return nil
		}
	}
	<-ctx.Done()
	return nil
}
