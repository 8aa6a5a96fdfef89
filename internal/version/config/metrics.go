package config

import (
	"strings"

	metrics "github.com/rcrowley/go-metrics"
)

// followerMetrics are the metrics of a follower.
type followerMetrics struct {
	registry         metrics.Registry
	offset           metrics.Gauge
	inForce          metrics.Gauge
	logErrors        metrics.Counter
	gaps             metrics.Counter
	snapshotsAdopted metrics.Counter
	pulls            metrics.Counter
	pullErrors       metrics.Counter
	pushErrors       metrics.Counter
	appended         metrics.Counter
	appendErrors     metrics.Counter
}

func newFollowerMetrics(registry metrics.Registry) followerMetrics {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	return followerMetrics{
		registry:         registry,
		offset:           metrics.GetOrRegisterGauge("config.offset", registry),
		inForce:          metrics.GetOrRegisterGauge("config.version_in_force", registry),
		logErrors:        metrics.GetOrRegisterCounter("config.log_errors", registry),
		gaps:             metrics.GetOrRegisterCounter("config.gaps", registry),
		snapshotsAdopted: metrics.GetOrRegisterCounter("config.snapshots_adopted", registry),
		pulls:            metrics.GetOrRegisterCounter("config.pulls", registry),
		pullErrors:       metrics.GetOrRegisterCounter("config.pull_errors", registry),
		pushErrors:       metrics.GetOrRegisterCounter("config.push_errors", registry),
		appended:         metrics.GetOrRegisterCounter("config.appended", registry),
		appendErrors:     metrics.GetOrRegisterCounter("config.append_errors", registry),
	}
}

// countOutcome counts an outcome by result and reason.
func (m followerMetrics) countOutcome(outcome Outcome) {
	name := "config.records." + string(outcome.Result)
	if outcome.Reason != ReasonNone {
		name += "." + string(outcome.Reason)
	}
	name = strings.ReplaceAll(name, " ", "_")
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}
