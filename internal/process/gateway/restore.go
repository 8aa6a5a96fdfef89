package gateway

import (
	"time"

	"mustarddoor/internal/process/keyed"
)

const (
	// restoreRewriteTime is the time after the store was restored from an older copy
	// within which the operator writes again what it lost.
	restoreRewriteTime = 5 * time.Second
	// maxOrderDelay is how long an order may be mistaken for one that the operator
	// has withdrawn, if it was given again before this host read the restored store.
	maxOrderDelay = 3 * time.Second
	// endpointRewriteTime is the time within which endpoints write their entries
	// again.
	endpointRewriteTime = 2 * time.Second
	// missedHeartbeats is the number of heartbeats after which the platform removes
	// the entry of an endpoint that has left, and expiryMargin the time until a host
	// has read that.
	missedHeartbeats = 3
	expiryMargin     = 2 * time.Second
	// defaultHeartbeat applies if the settings name no heartbeat interval.
	defaultHeartbeat = 1200 * time.Millisecond
)

// storeEra returns the highest era in which this host has read the log. What it wrote
// in an earlier one may be lost.
func (g *Gateway) storeEra() uint64 {
	era := uint64(0)
	for _, topic := range []*keyed.Topic{g.operator, g.endpoints, g.hosts} {
		next, _ := topic.Next()
		era = max(era, next.Era)
	}
	return era
}

// operatorRestorePolicy returns the policy of the operator's records.
func (g *Gateway) operatorRestorePolicy() keyed.RestorePolicy {
	return keyed.RestorePolicy{DeletedBytes: g.settings.DeletedBytes, Supersedes: g.isNewerConfig, KeepMissing: restoreRewriteTime, KeepChanged: maxOrderDelay}
}

// isNewerConfig reports whether both values are configurations and the second one has
// a higher version.
func (g *Gateway) isNewerConfig(key string, older, newer []byte) bool {
	a, aErr := g.ports.DecodeOperatorRecord(key, older)
	b, bErr := g.ports.DecodeOperatorRecord(key, newer)
	return aErr == nil && bErr == nil && a.Config != nil && b.Config != nil && b.Config.Version > a.Config.Version
}

// endpointsRestorePolicy returns the policy of the endpoints' entries. An endpoint that
// is listed again though it had left must not be used until it writes an entry, or
// the platform removes it.
func (g *Gateway) endpointsRestorePolicy() keyed.RestorePolicy {
	heartbeat := g.settings.EndpointHeartbeat
	if heartbeat <= 0 {
		heartbeat = defaultHeartbeat
	}
	return keyed.RestorePolicy{DeletedBytes: g.settings.DeletedBytes, Supersedes: g.isNewerEntry, KeepMissing: endpointRewriteTime, KeepChanged: missedHeartbeats*heartbeat + expiryMargin}
}

// isNewerEntry reports whether the second value is a later entry of an endpoint than
// the first.
func (g *Gateway) isNewerEntry(id string, older, newer []byte) bool {
	a, aErr := g.ports.DecodeEntry(id, older)
	b, bErr := g.ports.DecodeEntry(id, newer)
	if bErr != nil {
		return false
	}
	return aErr != nil || !a.Supersedes(b)
}

// hostsRestorePolicy returns the policy of what the hosts have written for each other,
// which they write again.
func (g *Gateway) hostsRestorePolicy() keyed.RestorePolicy {
	return keyed.RestorePolicy{DeletedBytes: g.settings.DeletedBytes, KeepMissing: restoreRewriteTime, KeepChanged: restoreRewriteTime}
}
