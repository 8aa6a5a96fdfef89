package daemon

import (
	"context"
	"slices"
	"time"

	"mustarddoor/internal/connection/mesh"
	"mustarddoor/internal/connection/platform"
	"mustarddoor/internal/process/member"
	"mustarddoor/internal/process/timeline"
)

// hostListInterval is how often the platform's host list is read. It lags, so
// that a shorter time would bring no news.
const hostListInterval = 10 * time.Second

// initMesh makes the connections to other hosts and the membership.
func (h *host) initMesh() error {
	options := mesh.Options{Self: h.self, Clock: h.clock, Metrics: h.metrics}
	memberOptions := member.Options{
		Self:     h.self,
		Seeds:    h.settings.Peers,
		Clock:    h.clock,
		Recorder: h.ring,
		Metrics:  h.metrics,
	}
	if h.settings.TestGate {
		options.Gate = h.gate
		memberOptions.Gate = h.gate
	}
	driver, err := member.NewDriver(memberOptions)
	if err != nil {
		return err
	}
	h.members = driver
	h.meshServer = mesh.NewServer(options)
	h.meshCaller = member.Watch(mesh.NewClient(options), driver)
	timeline.Register(h.meshServer, h.ring)
	return nil
}

// followHostList takes the hosts of the platform's list as addresses at which
// others may be found. The list is a hint: only probes tell who lives.
func (h *host) followHostList(ctx context.Context) error {
	if h.settings.Platform.HostList == "" {
		<-ctx.Done()
		return nil
	}
	client := platform.NewHostsClient(h.settings.Platform.HostList)
	ticker := time.NewTicker(hostListInterval)
	defer ticker.Stop()
	for {
		if list, err := client.List(ctx); err == nil {
			h.members.SetSeeds(mergeSeeds(h.settings.Peers, list))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// mergeSeeds joins the addresses of the settings and of the platform's list.
func mergeSeeds(peers []string, list platform.HostList) []string {
	seeds := slices.Clone(peers)
	for _, listed := range list.Hosts {
		if !slices.Contains(seeds, listed.MeshAddress) {
			seeds = append(seeds, listed.MeshAddress)
		}
	}
	return seeds
}
