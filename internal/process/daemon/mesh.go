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

// hostListInterval is the polling interval of the platform's host list. The
// list itself is updated with a delay, so a shorter interval gives no newer
// data.
const hostListInterval = 10 * time.Second

// initMesh creates the mesh client and server and the membership driver.
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
	h.meshCaller = member.NewProbingCaller(mesh.NewClient(options), driver)
	timeline.Register(h.meshServer, h.ring)
	return nil
}

// followHostList polls the platform's host list and adds its addresses to the
// seeds of the membership. The list is only a hint; probes decide which hosts
// are alive.
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

// mergeSeeds merges the peers of the settings with the addresses of the
// platform's host list.
func mergeSeeds(peers []string, list platform.HostList) []string {
	seeds := slices.Clone(peers)
	for _, listed := range list.Hosts {
		if !slices.Contains(seeds, listed.MeshAddress) {
			seeds = append(seeds, listed.MeshAddress)
		}
	}
	return seeds
}
