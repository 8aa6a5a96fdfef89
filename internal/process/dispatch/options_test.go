package dispatch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/dispatch"
	"mustarddoor/internal/version/routing"
)

// setLimits configures teams with these limits.
func (s *fullService) setLimits(limits map[string]float64) {
	config := routing.Config{}
	for name, limit := range limits {
		config.Teams = append(config.Teams, routing.Team{Name: name, Rate: limit})
	}
	s.SetRoutingTable(routing.NewTable(config))
}

// enqueueFor lets a request of a team wait for a slot and appends the team to order once it
// has one.
func (s *fullService) enqueueFor(team string, order *[]string) {
	go func() {
		j := job(1, 300, "asked")
		j.Team = team
		if _, err := s.Acquire(context.Background(), j); err == nil {
			*order = append(*order, team)
		}
	}()
	synctest.Wait()
	time.Sleep(50 * time.Millisecond) // shares are computed again
}

// A request of a team that got more than its share goes after one of another team that
// arrives later. The shares are in proportion to the teams' limits, if all have one.
// Without fair shares, the first one to arrive is served first.
func TestFairShares(t *testing.T) {
	for _, c := range []struct {
		options dispatch.Options
		limits  map[string]float64
		second  string
	}{
		{dispatch.Options{FairShares: true}, nil, "small"},
		{dispatch.Options{FairShares: true}, map[string]float64{"large": 99, "small": 1}, "large"},
		{dispatch.Options{FairShares: true}, map[string]float64{"large": 99, "small": 0}, "small"},
		{dispatch.Options{}, nil, "large"},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := newFullService(t, c.options)
			s.setLimits(c.limits)
			for range 4 {
				s.release("fast")
				j := job(1, 300, "asked")
				j.Team = "large"
				lease, err := s.Acquire(context.Background(), j)
				assert.NilError(t, err)
				s.running["fast"] = lease
			}
			var order []string
			for _, team := range []string{"small", "large", "small"} {
				s.enqueueFor(team, &order)
			}
			s.release("fast")
			s.release("slow")
			assert.DeepEqual(t, order, []string{"small", c.second})
			assert.Equal(t, len(s.TeamShares()) > 0, c.options.FairShares)
			time.Sleep(time.Second) // the last one expires
		})
	}
}

// Without options, no counter of theirs is registered.
func TestCountersOfOptions(t *testing.T) {
	for count, options := range []dispatch.Options{{}, {FairShares: true}, {MatchSlots: true}} {
		registry := metrics.NewRegistry()
		dispatch.New("z", nil, metrics.NewCounter(), func(dispatch.EndpointChange) {}).Use(options, registry)
		assert.Equal(t, len(registry.GetAll()), count)
	}
}
