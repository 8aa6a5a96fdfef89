package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// During an outage, the hosts of a failure domain together retry about as often
// as a single host would, and no host waits for long.
func TestOutageRetryDelay(t *testing.T) {
	const base = 150 * time.Millisecond
	for _, hosts := range []int{1, 3, 9, 21, 100} {
		wait := outageRetryDelay(base, hosts)
		assert.Assert(t, wait >= base && wait <= maxOutageRetryDelay, "%d hosts: %v", hosts, wait)
		retryRate := float64(hosts) / wait.Seconds()
		limit := max(1/base.Seconds(), float64(hosts)/maxOutageRetryDelay.Seconds())
		assert.Assert(t, retryRate <= limit*1.01, "%d hosts: %.1f retries per second", hosts, retryRate)
	}
	assert.Equal(t, outageRetryDelay(base, 0), base)
	assert.Equal(t, outageRetryDelay(2*time.Second, 9), 2*time.Second)
}
