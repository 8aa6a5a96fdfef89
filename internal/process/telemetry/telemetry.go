// Package telemetry sets up the log and the metrics of a process.
//
// Counters and timers come first; log lines are written for changes of state
// only.
package telemetry

import (
	"io"
	"slices"
	"strings"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// Format is how log lines are written.
type Format string

// The formats of log lines.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// ErrFormat is returned for an unknown log format or level.
var ErrFormat = eris.New("unknown log format or level")

// timerPercentiles are those that Values gives for timers and histograms.
var timerPercentiles = []float64{0.5, 0.95, 0.99}

// NewLogger gives a logger that writes to out. It fails with ErrFormat.
func NewLogger(out io.Writer, format Format, level string) (*logrus.Logger, error) {
	logger := logrus.New()
	logger.SetOutput(out)
	switch format {
	case FormatText, "":
		logger.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	case FormatJSON:
		logger.SetFormatter(&logrus.JSONFormatter{})
	default:
		return nil, eris.Wrapf(ErrFormat, "format %q", format)
	}
	if level == "" {
		level = logrus.InfoLevel.String()
	}
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, eris.Wrapf(ErrFormat, "level %q", level)
	}
	logger.SetLevel(parsed)
	return logger, nil
}

// Value is one reading of a metric.
type Value struct {
	Name string `json:"name"`
	// Count is a counter's or a gauge's value or a timer's number of readings.
	Count int64 `json:"count"`
	// P50, P95 and P99 are a timer's percentiles in microseconds or a
	// histogram's in its own unit.
	P50 float64 `json:"p50,omitempty"`
	P95 float64 `json:"p95,omitempty"`
	P99 float64 `json:"p99,omitempty"`
}

const nanosecondsPerMicrosecond = 1000

// Values reads all metrics of a registry, in the order of their names.
func Values(registry metrics.Registry) []Value {
	values := []Value{}
	registry.Each(func(name string, metric any) {
		values = append(values, readMetric(name, metric))
	})
	sortByName(values)
	return values
}

func readMetric(name string, metric any) Value {
	value := Value{Name: name}
	switch m := metric.(type) {
	case metrics.Counter:
		value.Count = m.Count()
	case metrics.Gauge:
		value.Count = m.Value()
	case metrics.Meter:
		value.Count = m.Count()
	case metrics.Timer:
		value.Count = m.Count()
		value.setPercentiles(m.Percentiles(timerPercentiles), nanosecondsPerMicrosecond)
	case metrics.Histogram:
		value.Count = m.Count()
		value.setPercentiles(m.Percentiles(timerPercentiles), 1)
	}
	return value
}

func (v *Value) setPercentiles(percentiles []float64, unit float64) {
	v.P50 = percentiles[0] / unit
	v.P95 = percentiles[1] / unit
	v.P99 = percentiles[2] / unit
}

func sortByName(values []Value) {
	slices.SortFunc(values, func(a, b Value) int { return strings.Compare(a.Name, b.Name) })
}
