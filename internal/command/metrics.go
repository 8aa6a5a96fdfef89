package command

import (
	"fmt"
	"io"

	"mustarddoor/internal/process/daemon"
	"mustarddoor/internal/process/telemetry"
)

// metricsCommand prints a host's counters and timers.
type metricsCommand struct {
	adminOptions
	outputOptions
	out io.Writer
}

func newMetrics(out io.Writer) subcommand {
	return subcommand{"metrics", "Print a host's counters and timers",
		"Prints the counters and timers of one host. Timers are in microseconds.",
		&metricsCommand{out: out}}
}

// Execute implements flags.Commander.
func (c *metricsCommand) Execute([]string) error {
	var values []telemetry.Value
	if err := c.get(daemon.PathMetrics, nil, &values); err != nil {
		return err
	}
	return c.print(c.out, values, func() *table {
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
