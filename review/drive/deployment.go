//go:build review

package main

import (
	"context"
	"fmt"
	"time"
)

const (
	engineService = "huvo11a"
	plainService  = "wuno96b"
	heartbeat     = 1200 * time.Millisecond
)

// zones are those of the small deployment.
var zones = []string{"guadalupe-a", "ensenada-b", "tecate-c"}

// deployment is a small deployment: hosts, the platform's store and the workers of two
// services.
type deployment struct {
	*fleet
	store   *store
	workers []*worker
}

// newDeployment returns a deployment with a number of hosts, each in a zone of its own. Its
// other sizes are those of the sheet of hielo-ruta.
func newDeployment(r *record, hosts, memoryMB int) (*deployment, error) {
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	f, err := newFleet(r, s, zones[:hosts], memoryMB)
	if err != nil {
		return nil, err
	}
	d := &deployment{fleet: f, store: s}
	for i := range 15 {
		service, slots := engineService, 9
		if i >= 12 {
			service, slots = plainService, 6
		}
		w, err := newWorker(r, fmt.Sprintf("i-%08x", 0x7f3a0000+i), service, zones[i%len(zones)], slots, service == engineService)
		if err != nil {
			return nil, err
		}
		d.workers = append(d.workers, w)
	}
	return d, nil
}

// beat writes the workers' entries until ctx is done.
func (d *deployment) beat(ctx context.Context) {
	for sequence := 1; ctx.Err() == nil; sequence++ {
		for _, w := range d.workers {
			d.store.put("keyed.servers", w.id, w.entry(sequence))
		}
		time.Sleep(heartbeat)
	}
}

// runs returns how often a request has run.
func (d *deployment) runs(id string) int {
	sum := 0
	for _, w := range d.workers {
		sum += w.runCount(id)
	}
	return sum
}

func (d *deployment) close() {
	d.stop()
	d.store.close()
}

// configuration returns the operator's record with the routes of the sheet and a number of
// further routes, which get no traffic.
func configuration(version, extraRoutes, plainTimeoutMs int) map[string]any {
	route := func(name, prefix, kind, service string, timeoutMs, target int, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "hostname": hostname, "pathPrefix": prefix, "routeKind": kind, "timeoutMs": timeoutMs, "targetLatencyMs": target,
			"priority": 2, "serviceName": service, "maxAttempts": 1, "anonymousAccess": false, "stickySessions": false, "streamResume": false,
		}
		for key, value := range more {
			r[key] = value
		}
		return r
	}
	stream := map[string]any{"stickySessions": true, "targetGapMs": 400}
	resumed := map[string]any{"stickySessions": true, "targetGapMs": 400, "streamResume": true, "maxAttempts": 2}
	routes := []any{
		route("r-nr26tta", "/lohu930/", "streaming", engineService, 12000, 800, resumed),
		route("r-828m82t", "/pufi791/", "streaming", engineService, 10000, 400, stream),
		route("r-7k2mm1a", "/gono990/", "streaming", engineService, 3000, 400, resumed),
		route("r-5pl02xs", "/puxa403/", "unsafe", plainService, plainTimeoutMs, 150, nil),
		route("r-3du9cc4", "/cufi504/", "safe", plainService, plainTimeoutMs, 150, map[string]any{"maxAttempts": 2}),
	}
	for i := range extraRoutes {
		routes = append(routes, route(fmt.Sprintf("r-idle%05d", i), fmt.Sprintf("/idle-%05d/", i), "safe", plainService, 2500, 150, nil))
	}
	service := func(name string, connections int, engine map[string]any) map[string]any {
		s := map[string]any{"name": name, "healthPath": "/health", "maxConnections": connections, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0}
		if engine != nil {
			s["inferenceEngine"] = engine
		}
		return s
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			service(engineService, 370, map[string]any{"concurrencySlots": 9, "kvCacheTokens": 374906, "stride": tokensPerEvent}),
			service(plainService, 110, nil),
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{
			"name": "hule930", "apiKeys": []string{apiKey}, "priority": 1, "unit": "token_count", "uncachedTokens": 200, "ratePerS": 3140610, "burstSize": 3140610,
		}},
	}
}
