//go:build review

package main

import "time"

const (
	// planTime is how long after its acknowledgement a configuration counts as planned work:
	// configApplyMs + 1 s.
	planTime = 3 * time.Second
	// timesAsOften is how much more often than at other times a machine may cut requests
	// beside a configuration, fewCuts the number of cuts that are let pass. The rule has no
	// such number.
	timesAsOften = 3
	fewCuts      = 3
)

// cutJudge judges the requests that hosts cut beside configurations. It is used by one
// goroutine.
type cutJudge struct {
	begun time.Time
	// plans are the times in which a configuration may be in force, one after the other.
	plans []span
}

type span struct{ from, to time.Time }

// change sends a configuration and returns when it is acknowledged.
func (j *cutJudge) change(send func()) {
	sentAt := time.Now()
	send()
	end := time.Now().Add(planTime)
	if last := len(j.plans) - 1; last >= 0 && !j.plans[last].to.Before(sentAt) {
		j.plans[last].to = end
		return
	}
	j.plans = append(j.plans, span{sentAt, end})
}

// count returns, by host, the cuts beside configurations and at other times, and how long
// both lasted.
func (j *cutJudge) count(c *callers) (beside, other map[string]int, besideTime, otherTime time.Duration) {
	now := time.Now()
	for _, plan := range j.plans {
		to := plan.to
		if to.After(now) {
			to = now
		}
		besideTime += to.Sub(plan.from)
	}
	otherTime = now.Sub(j.begun) - besideTime
	beside, other = map[string]int{}, map[string]int{}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cut := range c.cuts {
		counts := other
		for _, plan := range j.plans {
			if !cut.at.Before(plan.from) && !cut.at.After(plan.to) {
				counts = beside
			}
		}
		counts[cut.host]++
	}
	return beside, other, besideTime, otherTime
}

// isBroken reports whether a host has cut requests beside configurations, and more often
// than at other times.
func (j *cutJudge) isBroken(c *callers) bool {
	beside, other, besideTime, otherTime := j.count(c)
	for host, cuts := range beside {
		if cuts > fewCuts && float64(cuts)/besideTime.Seconds() > timesAsOften*float64(other[host])/otherTime.Seconds() {
			return true
		}
	}
	return false
}

func (j *cutJudge) report(r *record, c *callers) {
	beside, other, besideTime, otherTime := j.count(c)
	r.say("beside configurations %.1f s, at other times %.1f s", besideTime.Seconds(), otherTime.Seconds())
	for _, h := range c.fleet.hosts {
		r.say("%s: %d requests that sound workers ran were cut beside configurations, %d at other times", h.name, beside[h.name], other[h.name])
	}
	unanswered := 0
	for _, cut := range c.cuts {
		if cut.isUnanswered {
			unanswered++
		}
	}
	r.say("%d of them on kept connections and without a byte of an answer", unanswered)
}
