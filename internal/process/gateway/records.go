package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"mustarddoor/internal/process/keyed"
	"mustarddoor/internal/version/canary"
	"mustarddoor/internal/version/routing"
)

// operatorChanged takes in records of the operator.
func (g *Gateway) operatorChanged(change keyed.Change) {
	g.recordsMu.Lock()
	defer g.recordsMu.Unlock()
	for _, changed := range change.Records {
		g.recordChanged(changed, change.Offset)
	}
	left, orders := map[string]bool{}, []canary.Order(nil)
	for _, record := range g.records {
		if record.LeftDomain != "" {
			left[record.LeftDomain] = true
		}
		if record.Move != nil {
			orders = append(orders, *record.Move)
		}
	}
	g.dispatcher.SetExcludedDomains(left)
	g.dispatcher.SetOrders(orders)
}

// recordChanged takes in one record of the operator. The caller holds
// recordsMu.
func (g *Gateway) recordChanged(changed keyed.Record, offset uint64) {
	known := g.records[changed.Key]
	if len(changed.Value) == 0 {
		if known.LeftDomain != "" {
			g.log.Entry().WithFields(logrus.Fields{"domain": known.LeftDomain, "offset": offset}).Info("failure domain back in use")
		}
		delete(g.records, changed.Key)
		return
	}
	record, err := g.ports.Operator(changed.Key, changed.Value)
	if err != nil {
		g.log.Entry().WithError(err).WithField("offset", offset).Warn("operator's record rejected")
		return
	}
	if record.LeftDomain != "" && known.LeftDomain == "" {
		g.log.Entry().WithFields(logrus.Fields{"domain": record.LeftDomain, "offset": offset}).Info("failure domain out of use")
	}
	if record.Move != nil {
		g.log.Entry().WithFields(logrus.Fields{"service": record.Move.Service, "target": record.Move.Target, "duration_ms": record.Move.Duration.Milliseconds(), "offset": offset}).
			Info("move to a version ordered")
	}
	if record.Config != nil {
		g.apply(*record.Config, offset)
	}
	g.records[changed.Key] = record
}

// apply puts a configuration in force if it is newer.
func (g *Gateway) apply(config routing.Config, offset uint64) {
	if current := g.table.Load(); current != nil && current.Version >= config.Version {
		return
	}
	table := routing.NewTable(config)
	g.limits.SetTable(config.Teams)
	g.dispatcher.SetRoutingTable(table)
	g.table.Store(table)
	g.log.Entry().WithFields(logrus.Fields{"config_version": config.Version, "offset": offset, "routes": len(config.Routes), "teams": len(config.Teams)}).
		Info("configuration in force")
}

// endpointsChanged takes in endpoints' entries.
func (g *Gateway) endpointsChanged(change keyed.Change) {
	for _, changed := range change.Records {
		if len(changed.Value) == 0 {
			g.dispatcher.RemoveEntry(changed.Key, change.AfterOutage)
			continue
		}
		entry, err := g.ports.Entry(changed.Key, changed.Value)
		if err != nil {
			g.malformed.Inc(1)
			g.log.Entry().WithError(err).WithField("offset", change.Offset).Warn("endpoint's entry rejected")
			g.dispatcher.RemoveEntry(changed.Key, false)
			continue
		}
		g.dispatcher.SetEntry(entry)
	}
}

// hostsChanged takes in where other hosts are.
func (g *Gateway) hostsChanged(change keyed.Change) {
	for _, changed := range change.Records {
		if len(changed.Value) == 0 {
			continue // a host that is gone is found out by its silence
		}
		link, err := parseLink(changed.Value)
		if err != nil {
			g.log.Entry().WithError(err).Warn("host's record rejected")
			continue
		}
		g.roster.Know(link, time.Now())
	}
}
