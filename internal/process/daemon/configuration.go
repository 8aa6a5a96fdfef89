package daemon

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"mustarddoor/internal/connection/platform"
	"mustarddoor/internal/process/hlc"
	"mustarddoor/internal/process/loadpoll"
	"mustarddoor/internal/process/placement"
	"mustarddoor/internal/process/timeline"
	"mustarddoor/internal/version/bundle"
	"mustarddoor/internal/version/config"
)

// Defaults that apply until a bundle is in force.
const (
	defaultRetention = 5 * time.Minute
	defaultEntryTTL  = 10 * time.Second
)

// initConfig creates the log client, the configuration follower and the
// operator interface.
func (h *host) initConfig() error {
	keys, err := config.NewKeyring(h.settings.Operators, h.settings.FleetSecret)
	if err != nil {
		return err
	}
	h.log = platform.NewLogClient(h.settings.Platform.Log)
	h.follower = config.NewFollower(config.Options{
		Host:     h.self.Host,
		Keys:     keys,
		Log:      h.log,
		Caller:   h.meshCaller,
		Peers:    h.peerAddresses,
		Metrics:  h.metrics,
		Logger:   h.logger,
		OnChange: h.observeConfig,

		LogRetention: h.settings.Platform.LogRetention(),
	})
	h.follower.Register(h.meshServer)
	h.operator = config.NewOperator(h.follower)
	return nil
}

// initPlacement creates the placer and the poller of endpoint loads.
func (h *host) initPlacement() error {
	h.placer = placement.New(placement.Config{
		Self:    h.self,
		Homes:   h.homes,
		Caller:  h.meshCaller,
		Metrics: h.metrics,

		OnLimitChange: h.observeLimit,
	})
	h.placer.Register(h.meshServer)
	h.loads = loadpoll.New(h.endpoints, h.placer)
	return nil
}

// followConfig applies each new configuration view until the context ends. It
// applies the current view again when reapply is signaled.
func (h *host) followConfig(ctx context.Context) error {
	views, unsubscribe := h.follower.Subscribe()
	defer unsubscribe()
	h.apply(h.follower.Current())
	for {
		select {
		case <-ctx.Done():
			return nil
		case view := <-views:
			h.apply(view)
		case <-h.reapply:
			h.apply(h.follower.Current())
		}
	}
}

// apply updates the parts of this host with a configuration view.
func (h *host) apply(view *config.View) {
	if view.Bundle == nil {
		return
	}
	if current := h.index.Load(); current == nil || current.Bundle() != view.Bundle {
		next := bundle.NewIndex(view.Bundle)
		h.index.Store(next)
		h.recordEndpoints(current, next, view.Version.Version)
		h.ring.Record(timeline.Event{
			Kind:   timeline.ConfigInForce,
			Value:  int64(view.Version.Version),
			Detail: view.Version.Name,
		})
		h.logger.WithFields(logrus.Fields{
			"bundle":  view.Version.Name,
			"version": view.Version.Version,
		}).Info("bundle is in force")
	}
	h.homes.Update(view.Bundle)
	h.rollouts.Apply(movesOf(view))
	h.placer.Update(h.placementView(view))
	h.loads.Update(view.Bundle)
}

func (h *host) placementView(view *config.View) placement.View {
	excludedDomains := []string{}
	for name := range view.ExcludedDomains {
		excludedDomains = append(excludedDomains, name)
	}
	hosts := append(h.Live(), h.self)
	return placement.View{
		Bundle:            view.Bundle,
		ExcludedDomains:   excludedDomains,
		ExcludedEndpoints: h.homes.ExcludedEndpoints(),
		Hosts:             hosts,

		Versions: h.rollouts,
	}
}

// observeConfig records configuration changes on the timeline.
func (h *host) observeConfig(change config.Change) {
	switch change.Kind {
	case config.ChangeLog:
		kind := timeline.LogAvailable
		if change.LogUnavailable {
			kind = timeline.LogUnavailable
		}
		h.ring.Record(timeline.Event{Kind: kind})
	case config.ChangeReady:
		h.ring.Record(timeline.Event{Kind: timeline.HostReady})
	case config.ChangeDomain:
		kind := timeline.DomainIncluded
		if change.Mark.Excluded {
			kind = timeline.DomainExcluded
		}
		h.ring.Record(timeline.Event{
			Kind:   kind,
			Domain: change.Mark.Domain,
			Detail: change.Mark.Reason,
			Since:  hlc.At(time.UnixMilli(change.Mark.Stamp.Millis)),
		})
	case config.ChangeRefused:
		h.ring.Record(timeline.Event{
			Kind:    timeline.ConfigRejected,
			Outcome: string(change.Outcome.Result),
			Detail:  string(change.Outcome.Reason) + " " + change.Outcome.Detail,
		})
	}
}

// retention returns how long request records are kept.
func (h *host) retention() time.Duration {
	index := h.index.Load()
	if index == nil {
		return defaultRetention
	}
	return time.Duration(index.Bundle().RetentionSeconds) * time.Second
}

// entryTTL returns how long callers may cache an entry.
func (h *host) entryTTL() time.Duration {
	index := h.index.Load()
	if index == nil {
		return defaultEntryTTL
	}
	return time.Duration(index.Bundle().EntryKeepSeconds) * time.Second
}
