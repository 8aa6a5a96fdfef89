package gateway

import (
	"github.com/sirupsen/logrus"

	"mustarddoor/internal/process/keyed"
	"mustarddoor/internal/version/routing"
)

// operatorChanged takes in records of the operator.
func (g *Gateway) operatorChanged(change keyed.Change) {
	g.recordsMu.Lock()
	defer g.recordsMu.Unlock()
	for _, key := range change.Removed {
		if record := g.records[key]; record.LeftDomain != "" {
			g.log.Entry().WithFields(logrus.Fields{"domain": record.LeftDomain, "offset": change.Offset}).Info("failure domain back in use")
		}
		delete(g.records, key)
	}
	for key, value := range change.Set {
		record, err := g.ports.Operator(key, value)
		if err != nil {
			g.log.Entry().WithError(err).WithField("offset", change.Offset).Warn("operator's record rejected")
			continue
		}
		if record.LeftDomain != "" && g.records[key].LeftDomain == "" {
			g.log.Entry().WithFields(logrus.Fields{"domain": record.LeftDomain, "offset": change.Offset}).Info("failure domain out of use")
		}
		if record.Config != nil {
			g.apply(*record.Config, change.Offset)
		}
		g.records[key] = record
	}
	left := map[string]bool{}
	for _, record := range g.records {
		if record.LeftDomain != "" {
			left[record.LeftDomain] = true
		}
	}
	g.dispatcher.SetLeft(left)
}

// apply puts a configuration in force if it is newer.
func (g *Gateway) apply(config routing.Config, offset uint64) {
	if current := g.table.Load(); current != nil && current.Version >= config.Version {
		return
	}
	table := routing.NewTable(config)
	g.limits.SetTable(config.Teams)
	g.dispatcher.SetTable(table)
	g.table.Store(table)
	g.log.Entry().WithFields(logrus.Fields{"config_version": config.Version, "offset": offset, "routes": len(config.Routes), "teams": len(config.Teams)}).
		Info("configuration in force")
}

// endpointsChanged takes in endpoints' entries.
func (g *Gateway) endpointsChanged(change keyed.Change) {
	for _, id := range change.Removed {
		if _, again := change.Set[id]; !again {
			g.dispatcher.RemoveEntry(id, change.AfterOutage)
		}
	}
	for id, value := range change.Set {
		entry, err := g.ports.Entry(id, value)
		if err != nil {
			g.malformed.Inc(1)
			g.log.Entry().WithError(err).WithField("offset", change.Offset).Warn("endpoint's entry rejected")
			g.dispatcher.RemoveEntry(id, false)
			continue
		}
		g.dispatcher.SetEntry(entry)
	}
}

// hostsChanged takes in where other hosts are.
func (g *Gateway) hostsChanged(change keyed.Change) {
	for _, value := range change.Set {
		link, err := parseLink(value)
		if err != nil {
			g.log.Entry().WithError(err).Warn("host's record rejected")
			continue
		}
		g.roster.Know(link, g.now())
	}
}
