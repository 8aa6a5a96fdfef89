package home

import metrics "github.com/rcrowley/go-metrics"

// managerMetrics holds a manager's metrics.
type managerMetrics struct {
	held           metrics.Gauge
	claimsLost     metrics.Counter
	appended       metrics.Counter
	appendErrors   metrics.Counter
	recordsRefused metrics.Counter
	gaps           metrics.Counter
}

func newManagerMetrics(registry metrics.Registry) managerMetrics {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	return managerMetrics{
		held:           metrics.GetOrRegisterGauge("homes.held", registry),
		claimsLost:     metrics.GetOrRegisterCounter("homes.claims_lost", registry),
		appended:       metrics.GetOrRegisterCounter("homes.appended", registry),
		appendErrors:   metrics.GetOrRegisterCounter("homes.append_errors", registry),
		recordsRefused: metrics.GetOrRegisterCounter("homes.records_refused", registry),
		gaps:           metrics.GetOrRegisterCounter("homes.gaps", registry),
	}
}
