package dispatch

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/fleet"
)

// Probes whose time ran out while the host stood still made it look as if it had lost its
// endpoints.
func TestLateProbesDoNotLoseAService(t *testing.T) {
	fail := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("timeout") }
	for name, test := range map[string]struct {
		deadline time.Duration
		isLost   bool
	}{
		"in time": {time.Minute, true},
		"late":    {-time.Second, false},
	} {
		d := New("z", fail, metrics.NewCounter(), func(EndpointChange) {})
		ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(test.deadline))
		defer cancel()
		for _, id := range []string{"a", "b", "c", "d"} {
			d.SetEntry(fleet.Entry{ID: id, Service: "s", Address: "127.0.0.1:1", Domain: "z", Slots: 4, Sequence: 1})
			e := d.fleet.Get(id)
			Probe{dispatcher: d, endpoint: e, pool: d.pools[e]}.Run(ctx)
		}
		assert.Equal(t, d.HasLost("s"), test.isLost, name)
	}
}
