package decisionlog_test

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/decisionlog"
)

// Above the rate limit, success lines are sampled and marked as such, failure
// lines are kept, and omitted lines are counted.
func TestSampling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out, registry := &bytes.Buffer{}, metrics.NewRegistry()
		log := decisionlog.New(out, registry)
		for range 100 {
			for class, text := range map[decisionlog.Class]string{decisionlog.Success: "good", decisionlog.Failure: "bad"} {
				log.LogRequest(class, func() (string, logrus.Fields) { return text, logrus.Fields{"request": "r"} })
			}
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		assert.NilError(t, log.Run(ctx))
		good, bad := 0, 0
		for line := range strings.Lines(out.String()) {
			fields := map[string]any{}
			assert.NilError(t, json.Unmarshal([]byte(line), &fields))
			assert.Equal(t, fields["request"], "r")
			if fields["msg"] == "good" {
				good++
				assert.Equal(t, fields["sampled"], true)
			} else {
				bad++
			}
		}
		assert.Equal(t, bad, 100)
		assert.Assert(t, good >= 1 && good < 20, "%d", good)
		assert.Equal(t, metrics.GetOrRegisterCounter("log.sampled_out", registry).Count(), int64(100-good))
	})
}

// The buffer is bounded while nothing is written, and the number of dropped
// lines is logged.
func TestBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out, registry := &bytes.Buffer{}, metrics.NewRegistry()
		log := decisionlog.New(out, registry)
		for range 1000 {
			log.Entry().Info(strings.Repeat("x", 1000))
		}
		dropped := metrics.GetOrRegisterCounter("log.dropped", registry).Count()
		assert.Assert(t, dropped > 0)
		ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
		defer cancel()
		assert.NilError(t, log.Run(ctx))
		assert.Assert(t, strings.Contains(out.String(), "log lines dropped"))
	})
}
