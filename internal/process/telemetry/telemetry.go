// Package telemetry sets up the logger and reads the metrics of a process.
//
// Metrics are the primary source of data; log lines are written only for state
// changes.
package telemetry

import (
	"io"
	"slices"
	"strings"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// Format is the output format of log lines.
type Format string

// Formats of log lines.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// ErrFormat is returned for an unknown log format or level.
var ErrFormat = eris.New("unknown log format or level")

// timerPercentiles are the percentiles that Values returns for timers and
// histograms.
var timerPercentiles = []float64{0.5, 0.95, 0.99}

// NewLogger returns a logger that writes to out. Empty strings select the text
// format and the info level. It fails with ErrFormat.
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

// Value is the current value of one metric.
type Value struct {
	Name string `json:"name"`
	// Count is the value of a counter or gauge, or the number of samples of a
	// timer or histogram.
	Count int64 `json:"count"`
	// P50, P95 and P99 are the percentiles of a timer in microseconds, or of a
	// histogram in its own unit.
	P50 float64 `json:"p50,omitempty"`
	P95 float64 `json:"p95,omitempty"`
	P99 float64 `json:"p99,omitempty"`
}

const nanosecondsPerMicrosecond = 1000

// Values returns the values of all metrics of a registry, sorted by name.
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
