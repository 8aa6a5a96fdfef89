package gateway

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// A host that did not run for longer than others keep it in mind notices that
// once.
func TestStillness(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	still := newStillness(logrus.NewEntry(logger))
	assert.Equal(t, still.check(), time.Duration(0))
	still.last -= stillLimit
	assert.Assert(t, still.check() >= stillLimit)
	assert.Equal(t, still.check(), time.Duration(0))
}
