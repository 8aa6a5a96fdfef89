package soak

import (
	"fmt"
	"maps"
	"time"

	"mustarddoor/platform/standin"
)

const (
	// otherService has an endpoint of its own, which gets requests while the routes are
	// split.
	otherService = "other"
	// teamName and teamKey are those of the callers. Routes with anonymous access need
	// no key.
	teamName = "callers"
	teamKey  = "key-1"
	// streamTimeout is the time-out of streams in the configuration, longer than any
	// deadline of a caller.
	streamTimeout = 12 * time.Second
	// stormPause is the time between two versions of a storm.
	stormPause = 200 * time.Millisecond
)

// key returns the key that requests on a route bear.
func key(route string) string {
	if route == routeToggled {
		return ""
	}
	return teamKey
}

// team returns the team that endpoints get to know for requests on a route.
func team(route string) string {
	if route == routeToggled {
		return ""
	}
	return teamName
}

// newConfig returns the configuration at the start of a run, with additional routes that get
// no requests.
func newConfig(additional int) map[string]any {
	config := standin.Config(service)
	for n := range additional {
		route := maps.Clone(config["routes"].([]any)[0].(map[string]any))
		route["name"], route["pathPrefix"] = fmt.Sprint("additional-", n), fmt.Sprintf("/additional-%d/", n)
		config["routes"] = append(config["routes"].([]any), route)
	}
	for _, route := range config["routes"].([]any) {
		if fields := route.(map[string]any); fields["routeKind"] == "streaming" {
			fields["timeoutMs"] = streamTimeout.Milliseconds()
		}
	}
	config["services"].([]any)[0].(map[string]any)["scaling"] = newScaling()
	config["services"] = append(config["services"].([]any), map[string]any{"name": otherService, "healthPath": "/health", "maxConnections": 50})
	config["tenants"] = []any{newTeam(teamName, teamKey)}
	return config
}

func newTeam(name, key string) map[string]any {
	return map[string]any{"name": name, "apiKeys": []string{key}}
}

// configChanges are changes that no request may notice. Each sets fields or, if isUndone
// is set, restores them.
var configChanges = []func(config map[string]any, isUndone bool){
	// Time-outs.
	func(config map[string]any, isUndone bool) {
		timeout := streamTimeout
		if !isUndone {
			timeout += time.Second
		}
		setRoutes(config, "timeoutMs", timeout.Milliseconds(), routeStream, routeOnce)
	},
	// Weights.
	func(config map[string]any, isUndone bool) {
		split := []any{map[string]any{"serviceName": service, "weight": 80}, map[string]any{"serviceName": otherService, "weight": 20}}
		if isUndone {
			split = nil
		}
		setRoutes(config, "trafficSplit", split, routeSafe, routeUnsafe, routeStream)
	},
	// The quota of the callers' team, far beyond what they send.
	func(config map[string]any, isUndone bool) {
		quota := 1_000_000
		if isUndone {
			quota = 0
		}
		fields := config["tenants"].([]any)[0].(map[string]any)
		fields["ratePerS"], fields["burstSize"] = quota, quota
	},
	// Another team.
	func(config map[string]any, isUndone bool) {
		teams := config["tenants"].([]any)[:1]
		if !isUndone {
			teams = append(teams[:1:1], newTeam("others", "key-2"))
		}
		config["tenants"] = teams
	},
	// The idle time of callers, longer than their pauses.
	func(config map[string]any, isUndone bool) {
		idle := 15 * time.Second
		if !isUndone {
			idle = 2 * time.Second
		}
		config["limits"].(map[string]any)["idleTimeoutMs"] = idle.Milliseconds()
	},
}

// setRoutes sets a field of routes.
func setRoutes(config map[string]any, field string, value any, names ...string) {
	for _, route := range config["routes"].([]any) {
		fields := route.(map[string]any)
		for _, name := range names {
			if fields["name"] == name {
				fields[field] = value
			}
		}
	}
}

// storm publishes changes one after another and restores the configuration at the end.
func (f *fleet) storm(fault Fault) {
	lock := f.orderLock(string(ConfigStorm))
	lock.Lock()
	defer lock.Unlock()
	for n, start := 0, time.Now(); time.Since(start) < fault.Duration; n++ {
		change := configChanges[(fault.Target+n)%len(configChanges)]
		f.change(func(config map[string]any) { change(config, n/len(configChanges)%2 == 1) })
		time.Sleep(stormPause)
	}
	f.change(func(config map[string]any) {
		for _, change := range configChanges {
			change(config, true)
		}
	})
}

// change publishes a changed configuration.
func (f *fleet) change(change func(config map[string]any)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f.config)
	f.publish()
}

// publish publishes the configuration as a new version. The caller holds mu.
func (f *fleet) publish() {
	f.version++
	f.store.Configure(f.config, f.version)
	f.record.AddVersion(f.version)
}
