package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"mustarddoor/internal/process/keyed"
	"mustarddoor/internal/version/canary"
	"mustarddoor/internal/version/routing"
)

// applyOperatorChange applies changed records of the operator.
func (g *Gateway) applyOperatorChange(change keyed.Change) {
	g.operatorRecordsMu.Lock()
	defer g.operatorRecordsMu.Unlock()
	for _, changed := range change.Records {
		g.applyOperatorRecord(changed, &change)
	}
	evacuated, orders := map[string]bool{}, []canary.Order(nil)
	for _, record := range g.operatorRecords {
		if record.EvacuatedDomain != "" {
			evacuated[record.EvacuatedDomain] = true
		}
		if record.Move != nil {
			orders = append(orders, *record.Move)
		}
	}
	g.dispatcher.SetExcludedDomains(evacuated)
	g.dispatcher.SetOrders(orders)
}

// applyOperatorRecord applies one record of the operator. The caller holds
// operatorRecordsMu.
func (g *Gateway) applyOperatorRecord(changed keyed.Record, change *keyed.Change) {
	previous := g.operatorRecords[changed.Key]
	if len(changed.Value) == 0 {
		if previous.EvacuatedDomain != "" {
			g.log.Entry().WithFields(logrus.Fields{"domain": previous.EvacuatedDomain, "offset": change.Position.Offset, "source": change.Source}).Info("failure domain back in use")
		}
		delete(g.operatorRecords, changed.Key)
		return
	}
	startedAt := time.Now()
	record, err := g.ports.DecodeOperatorRecord(changed.Key, changed.Value)
	if err != nil {
		g.log.Entry().WithError(err).WithField("offset", change.Position.Offset).Warn("rejected a record of the operator")
		return
	}
	if record.EvacuatedDomain != "" && previous.EvacuatedDomain == "" {
		g.log.Entry().WithFields(logrus.Fields{"domain": record.EvacuatedDomain, "offset": change.Position.Offset, "source": change.Source}).Info("failure domain out of use")
	}
	if record.Move != nil {
		g.log.Entry().WithFields(logrus.Fields{"service": record.Move.Service, "target": record.Move.Target, "duration_ms": record.Move.Duration.Milliseconds(), "offset": change.Position.Offset, "source": change.Source}).
			Info("move to a version ordered")
	}
	if record.Config != nil {
		g.applyConfig(*record.Config, change, receivedConfig{bytes: len(changed.Value), startedAt: startedAt})
		record.Config = nil // the table has what is in force
	}
	g.operatorRecords[changed.Key] = record
}

// receivedConfig is the size of a configuration and when its decoding began.
type receivedConfig struct {
	bytes     int
	startedAt time.Time
}

// applyConfig puts a configuration in force if it is newer.
func (g *Gateway) applyConfig(config routing.Config, change *keyed.Change, received receivedConfig) {
	if current := g.table.Load(); current != nil && current.Version >= config.Version {
		return
	}
	table := g.table.Load().Next(config)
	g.limits.SetTable(config.Teams)
	g.dispatcher.SetRoutingTable(table)
	g.table.Store(table)
	g.log.Entry().WithFields(logrus.Fields{
		"config_version": config.Version, "offset": change.Position.Offset, "routes": len(config.Routes), "teams": len(config.Teams),
		"source": change.Source, "uptime_ms": g.uptime().Milliseconds(), "unconfirmed_ms": unconfirmedMillis(change.ConfirmedAt),
		"bytes": received.bytes, "apply_ms": time.Since(received.startedAt).Milliseconds(),
	}).Info("configuration in force")
}

// unconfirmedMillis returns the time in ms since a topic was confirmed, or -1 if it never
// was.
func unconfirmedMillis(confirmedAt time.Time) int64 {
	if confirmedAt.IsZero() {
		return -1
	}
	return time.Since(confirmedAt).Milliseconds()
}

// applyEndpointsChange applies changed endpoint entries.
func (g *Gateway) applyEndpointsChange(change keyed.Change) {
	for _, changed := range change.Records {
		if len(changed.Value) == 0 {
			g.dispatcher.RemoveEntry(changed.Key, change.AfterOutage)
			continue
		}
		entry, err := g.ports.DecodeEntry(changed.Key, changed.Value)
		if err != nil {
			g.malformedEntries.Inc(1)
			g.log.Entry().WithError(err).WithField("offset", change.Position.Offset).Warn("rejected an endpoint's entry")
			g.dispatcher.MarkUnreadable(changed.Key)
			continue
		}
		g.dispatcher.SetEntry(entry)
	}
}

// applyHostsChange applies what the hosts have written for each other.
func (g *Gateway) applyHostsChange(change keyed.Change) {
	for _, changed := range change.Records {
		if len(changed.Value) == 0 {
			continue // a stopped host is detected by its missing messages
		}
		if err := g.applyHostsRecord(changed, change.Position.Era); err != nil {
			g.log.Entry().WithError(err).WithField("offset", change.Position.Offset).Warn("rejected a record of the hosts")
		}
	}
}

// applyHostsRecord applies a record of the hosts topic.
func (g *Gateway) applyHostsRecord(record keyed.Record, era uint64) error {
	switch record.Key {
	case quarantineKey:
		return g.quarantine.load(record.Value, era)
	case usageKey:
		return g.usageHistory.load(record.Value)
	}
	address, err := parsePeerAddress(record.Value)
	if err == nil {
		g.membership.AddPeer(address, g.membership.Now())
	}
	return err
}
