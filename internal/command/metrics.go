package command

import (
	"fmt"
	"io"

	"mustarddoor/internal/process/daemon"
	"mustarddoor/internal/process/telemetry"
)

// metricsVerb prints a host's counters and timers.
type metricsVerb struct {
	adminOptions
	outputOptions
	out io.Writer
}

func newMetrics(out io.Writer) verb {
	return verb{"metrics", "Print a host's counters and timers",
		"Prints the counters and timers of one host. Timers are in microseconds.",
		&metricsVerb{out: out}}
}

// Execute implements flags.Commander.
func (v *metricsVerb) Execute([]string) error {
	var values []telemetry.Value
	if err := v.get(daemon.PathMetrics, nil, &values); err != nil {
		return err
	}
	return v.print(v.out, values, func() *table {
		t := &table{header: []string{"NAME", "COUNT", "P50", "P95", "P99"}}
		for _, value := range values {
			t.add(value.Name, fmt.Sprint(value.Count), percentile(value.P50), percentile(value.P95), percentile(value.P99))
		}
		return t
	})
}

func percentile(value float64) string {
	if value == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f", value)
}
