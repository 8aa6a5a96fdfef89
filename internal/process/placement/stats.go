package placement

import "github.com/rcrowley/go-metrics"

// stats counts what placement does.
type stats struct {
	placed  metrics.Counter
	waited  metrics.Counter
	retried metrics.Counter
	// messagesLost counts messages to other hosts that got no answer.
	messagesLost metrics.Counter
	refused      map[Reason]metrics.Counter
	// waitMillis is the time that requests waited, in milliseconds.
	waitMillis metrics.Histogram
}

// waitReservoirSize is how many waits the histogram keeps.
const waitReservoirSize = 1024

// reasons are all reasons that are counted.
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
