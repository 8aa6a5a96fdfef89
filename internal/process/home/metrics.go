package home

import metrics "github.com/rcrowley/go-metrics"

// managerMetrics are a manager's counters.
type managerMetrics struct {
	held       metrics.Gauge
	lost       metrics.Counter
	appended   metrics.Counter
	appendFail metrics.Counter
	refused    metrics.Counter
	gaps       metrics.Counter
}

func newManagerMetrics(registry metrics.Registry) managerMetrics {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	return managerMetrics{
		held:       metrics.GetOrRegisterGauge("homes.held", registry),
		lost:       metrics.GetOrRegisterCounter("homes.claims_lost", registry),
		appended:   metrics.GetOrRegisterCounter("homes.appended", registry),
		appendFail: metrics.GetOrRegisterCounter("homes.append_errors", registry),
		refused:    metrics.GetOrRegisterCounter("homes.records_refused", registry),
		gaps:       metrics.GetOrRegisterCounter("homes.gaps", registry),
	}
}
