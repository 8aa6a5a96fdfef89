package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// In an outage all hosts of a failure domain together try the log hardly more
// often than one would, and none waits long.
func TestOutageLoad(t *testing.T) {
	const alone = 150 * time.Millisecond
	for _, hosts := range []int{1, 3, 9, 21, 100} {
		wait := lostRetry(alone, hosts)
		assert.Assert(t, wait >= alone && wait <= lostRetryMost, "%d hosts: %v", hosts, wait)
		tries := float64(hosts) / wait.Seconds()
		most := max(1/alone.Seconds(), float64(hosts)/lostRetryMost.Seconds())
		assert.Assert(t, tries <= most*1.01, "%d hosts: %.1f tries a second", hosts, tries)
	}
	assert.Equal(t, lostRetry(alone, 0), alone)
	assert.Equal(t, lostRetry(2*time.Second, 9), 2*time.Second)
}
