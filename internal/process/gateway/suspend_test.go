package gateway

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// A process that was suspended for longer than the threshold detects that once.
func TestSuspendDetector(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	detector := newSuspendDetector(logrus.NewEntry(logger))
	assert.Equal(t, detector.check(), time.Duration(0))
	detector.last -= suspendThreshold
	assert.Assert(t, detector.check() >= suspendThreshold)
	assert.Equal(t, detector.check(), time.Duration(0))
}
