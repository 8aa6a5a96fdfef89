package config

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/platform"
	"mustarddoor/internal/standin/logservice"
	"mustarddoor/internal/version/bundle"
)

// BenchmarkRollToInForce measures the time from the roll of a bundle until it is
// in force on the last host, with a log service on loopback.
func BenchmarkRollToInForce(b *testing.B) {
	for _, hosts := range []int{3, 9, 30, 100} {
		for _, size := range []fleetSize{fleetSizes[0], fleetSizes[len(fleetSizes)-1]} {
			b.Run(fmt.Sprintf("hosts=%d/%s", hosts, size), func(b *testing.B) {
				c := newFixture(b)
				service := logservice.New(logservice.Options{AppendsPerSecond: 500, AppendBurst: 100, MaxRecords: 10000})
				server := httptest.NewServer(service.Handler())
				defer server.Close()
				ctx, cancel := context.WithCancel(b.Context())
				defer cancel()
				followers := startFollowers(ctx, c, strings.TrimPrefix(server.URL, "http://"), hosts)
				operator := NewOperator(followers[0])
				total := time.Duration(0)
				for i := range b.N {
					total += rollOnce(ctx, b, c, operator, followers, sizedBundle(fmt.Sprintf("bundle-%d", i), size.teams, size.endpoints))
				}
				b.ReportMetric(float64(total.Microseconds())/float64(b.N)/1000, "ms-to-last-host")
			})
		}
	}
}

func startFollowers(ctx context.Context, c *fixture, address string, hosts int) []*Follower {
	n := newNetwork()
	followers := []*Follower{}
	for i := range hosts {
		f := newTestFollower(fmt.Sprintf("host-%d", i), c, platform.NewLogClient(address), n)
		followers = append(followers, f)
		go func() { _ = f.Run(ctx) }()
	}
	return followers
}

// rollOnce publishes, approves and rolls a bundle. It returns the time from the
// roll until the bundle is in force on all hosts.
func rollOnce(ctx context.Context, b *testing.B, c *fixture, operator *Operator, followers []*Follower, next *bundle.Bundle) time.Duration {
	submit := func(record Record) uint64 {
		outcome := operator.Submit(ctx, record.Raw)
		assert.Equal(b, outcome.Result, ResultAccepted, "%+v", outcome)
		return outcome.Offset
	}
	views := []<-chan *View{}
	for _, f := range followers {
		channel, cancel := f.Subscribe()
		defer cancel()
		views = append(views, channel)
	}
	base := uint64(0)
	if head := operator.Status().Head; head != nil {
		base = head.Version
	}
	version := submit(c.alma.Publish(Draft{Base: base, Bundle: next}, c.nextSequence()))
	submit(c.berta.Approve(version, string(next.Digest()), c.nextSequence()))
	roll := c.alma.Roll(version, string(next.Digest()), c.nextSequence())
	begin := time.Now()
	submit(roll)
	for _, channel := range views {
		view := <-channel
		assert.Equal(b, view.Version.Version, version)
	}
	return time.Since(begin)
}
