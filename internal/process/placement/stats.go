package placement

import "github.com/rcrowley/go-metrics"

// stats holds the metrics of the placer.
type stats struct {
	placed  metrics.Counter
	waited  metrics.Counter
	retried metrics.Counter
	// messagesLost counts messages to other hosts that failed or were dropped.
	messagesLost metrics.Counter
	refused      map[Reason]metrics.Counter
	// waitMillis is the distribution of queueing times, in milliseconds.
	waitMillis metrics.Histogram
}

// waitReservoirSize is the sample size of the queueing time histogram.
const waitReservoirSize = 1024

// reasons lists all refusal reasons that are counted.
var reasons = []Reason{
	ReasonUnknownRoute, ReasonNoEndpoint, ReasonDeadline, ReasonCapacity,
	ReasonQueueFull, ReasonCanceled, ReasonLeaving, ReasonRetryBudget,
}

func newStats(registry metrics.Registry) *stats {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	s := &stats{
		placed:       metrics.GetOrRegisterCounter("placement.placed", registry),
		waited:       metrics.GetOrRegisterCounter("placement.waited", registry),
		retried:      metrics.GetOrRegisterCounter("placement.retried", registry),
		messagesLost: metrics.GetOrRegisterCounter("placement.messages_lost", registry),
		refused:      map[Reason]metrics.Counter{},
		waitMillis:   metrics.GetOrRegisterHistogram("placement.wait_ms", registry, metrics.NewUniformSample(waitReservoirSize)),
	}
	for _, reason := range reasons {
		s.refused[reason] = metrics.GetOrRegisterCounter("placement.refused."+string(reason), registry)
	}
	return s
}
