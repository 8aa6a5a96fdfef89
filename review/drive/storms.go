//go:build review

package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Doses of the disruption: a storm of configurations lasts 2 s and has a change each
// 0.08 s, as on the site's day trouble-1; at most 350 routes are added at a time.
const (
	stormLength   = 2 * time.Second
	stormGap      = 80 * time.Millisecond
	stormPause    = time.Second
	mostStorms    = 32
	quietLength   = 10 * time.Second
	calmLength    = 60 * time.Second
	routesAtATime = 330
	routeSteps    = 3
	// stormMemoryMB is the memory of a machine of the small deployment.
	stormMemoryMB = 134
	restartDelay  = 500 * time.Millisecond
	// stormHosts is the number of hosts. Any number of the sheet's nine may be lost.
	stormHosts = 3
)

// playStorms changes a configuration of many routes again and again, and ends each process
// whose memory exceeds its limit, as the platform does.
func playStorms(r *record, trouble bool) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 117*time.Second)
	defer cancel()
	d, err := newDeployment(r, stormHosts, stormMemoryMB)
	if err != nil {
		return 0, err
	}
	defer d.close()
	version := 1
	d.store.put("keyed.op", "config", configuration(version, 8, 2500))
	var background sync.WaitGroup
	background.Go(func() { d.beat(ctx) })
	if err := d.start(ctx); err != nil {
		return 0, err
	}
	watch := newMemoryWatch(d.fleet)
	callers := newCallers(r, d.fleet, d.runs)
	for _, h := range d.hosts {
		background.Go(func() { watch.run(ctx, h) })
	}
	for _, kind := range sheet {
		background.Go(func() { callers.run(ctx, kind, 1) })
	}
	judge := &cutJudge{begun: time.Now()}
	time.Sleep(quietLength)
	for step := 1; step <= routeSteps; step++ {
		time.Sleep(time.Second)
		version += 1 + rand.IntN(3)
		judge.change(func() { d.store.put("keyed.op", "config", configuration(version, 8+step*routesAtATime, 2500)) })
		value, _ := d.store.get("keyed.op", "config")
		r.say("%d routes are added: version %d, a record of %d bytes", routesAtATime, version, len(value))
		if len(value) > maxRecordBytes {
			r.say("the record is larger than the store takes")
			return exitCannotRun, nil
		}
	}
	changes, storms := 0, 0
	for ; trouble && storms < mostStorms && !judge.isBroken(callers); storms++ {
		r.add("a storm of configurations begins")
		for begun := time.Now(); time.Since(begun) < stormLength; changes++ {
			next := time.Now().Add(stormGap)
			version += 1 + rand.IntN(3)
			timeout := 2000 + rand.IntN(1000)
			judge.change(func() { d.store.put("keyed.op", "config", configuration(version, 8+routeSteps*routesAtATime, timeout)) })
			time.Sleep(time.Until(next))
		}
		time.Sleep(stormPause)
	}
	if !trouble {
		time.Sleep(calmLength)
	}
	cancel()
	background.Wait()
	r.say("%d storms with %d changes of the configuration", storms, changes)
	watch.report(r)
	callers.report(r)
	judge.report(r, callers)
	if judge.isBroken(callers) {
		r.say("broken: LOST")
		return exitBroken, nil
	}
	r.say("held")
	return exitHeld, nil
}

// memoryWatch ends processes whose memory exceeds the limit, and starts them again.
type memoryWatch struct {
	fleet *fleet
	mu    sync.Mutex
	most  map[*host]int
	ends  map[*host]int
}

func newMemoryWatch(f *fleet) *memoryWatch {
	return &memoryWatch{fleet: f, most: map[*host]int{}, ends: map[*host]int{}}
}

func (m *memoryWatch) run(ctx context.Context, h *host) {
	limit := m.fleet.memoryMB << 20
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		used := h.memory()
		m.mu.Lock()
		m.most[h] = max(m.most[h], used)
		m.mu.Unlock()
		if used <= limit && !h.hasEnded() {
			continue
		}
		m.fleet.record.say("%s: %.1f MB of memory, limit %d MB: its process ends", h.name, float64(used)/(1<<20), m.fleet.memoryMB)
		h.kill()
		m.mu.Lock()
		m.ends[h]++
		m.mu.Unlock()
		time.Sleep(restartDelay)
		if err := h.start(); err != nil {
			m.fleet.record.say("cannot start: %v", err)
			return
		}
	}
}

func (m *memoryWatch) report(r *record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range m.fleet.hosts {
		r.say("%s: at most %.1f MB of memory, limit %d MB, ended %d times", h.name, float64(m.most[h])/(1<<20), m.fleet.memoryMB, m.ends[h])
	}
}
