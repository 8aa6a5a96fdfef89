// Package fairshare decides which teams use more than their fair share of a
// service's slot time. It reads no clock: the time is passed in.
//
// It is built for a team that suddenly asks for many times its usual while the
// endpoints cannot do all the work. Without shares, all teams' callers are refused
// alike. The slot time that was granted lately is divided in proportion to the
// teams' weights; what a team does not ask for goes to the others (max-min
// fairness). A team that got more than that is over its share, and its requests
// yield to those of the other teams. Shares order requests only: they leave no slot
// idle.
//
// Each host counts the requests that it decides itself. Callers spread over the
// hosts, so each host sees the teams in about the same proportions, and no messages
// are needed. A host that starts has counted nothing and finds no team over its
// share.
package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// window is the time in which the weight of past slot time falls to 1/e: some
	// bursts long.
	window = 5 * time.Second
	// levelInterval is the time for which a computed level is used.
	levelInterval = 20 * time.Millisecond
	// minAsked is the slot time in seconds below which a team's past is dropped.
	minAsked = 1e-3
	// roundingMargin keeps rounding errors from counting as slot time.
	roundingMargin = 1e-9
)

// Tracker holds the slot time of the teams of one service. The zero value is ready
// for use. It is not safe for concurrent use.
type Tracker struct {
	teams map[string]*usage
	// level is the granted slot time per unit of weight that a team may have,
	// in seconds, as of levelAt.
	level   float64
	levelAt time.Time
}

// usage is a team's slot time in seconds with exponentially decaying weight.
type usage struct {
	weight, asked, granted float64
	updatedAt              time.Time
}

func (u *usage) decay(now time.Time) {
	if elapsed := now.Sub(u.updatedAt); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / window.Seconds())
		u.asked, u.granted, u.updatedAt = u.asked*factor, u.granted*factor, now
	}
}

func (t *Tracker) team(name string, now time.Time) *usage {
	if t.teams == nil {
		t.teams = map[string]*usage{}
	}
	u := t.teams[name]
	if u == nil {
		u = &usage{weight: 1}
		t.teams[name] = u
	}
	u.decay(now)
	return u
}

// RecordAsked records that a team asks for slot time. The share of a team grows in
// proportion to its weight; weights that are not positive count as 1.
func (t *Tracker) RecordAsked(team string, weight float64, slotTime time.Duration, now time.Time) {
	u := t.team(team, now)
	u.asked += slotTime.Seconds()
	if u.weight = weight; weight <= 0 {
		u.weight = 1
	}
}

// RecordGranted records that a request of a team got a slot.
func (t *Tracker) RecordGranted(team string, slotTime time.Duration, now time.Time) {
	t.team(team, now).granted += slotTime.Seconds()
}

// IsOver reports whether a team got more than its fair share of the slot time that
// was granted lately.
func (t *Tracker) IsOver(team string, now time.Time) bool {
	u := t.teams[team]
	if u == nil {
		return false
	}
	if now.Sub(t.levelAt) >= levelInterval || now.Before(t.levelAt) {
		t.updateLevel(now)
	}
	u.decay(now)
	return u.granted > t.level*u.weight*(1+roundingMargin)
}

// updateLevel divides the granted slot time: the level is the highest at which the
// teams, each with no more than it asked for, together have what was granted.
func (t *Tracker) updateLevel(now time.Time) {
	t.level, t.levelAt = math.Inf(1), now
	remaining, weights := 0.0, 0.0
	teams := make([]*usage, 0, len(t.teams))
	for name, u := range t.teams {
		u.decay(now)
		if u.asked < minAsked && u.granted < minAsked {
			delete(t.teams, name)
			continue
		}
		remaining += u.granted
		weights += u.weight
		teams = append(teams, u)
	}
	slices.SortFunc(teams, func(a, b *usage) int { return cmp.Compare(a.asked/a.weight, b.asked/b.weight) })
	for _, u := range teams {
		if level := remaining / weights; u.asked > level*u.weight*(1+roundingMargin) {
			t.level = level
			return
		}
		remaining -= u.asked
		weights -= u.weight
	}
}

// Team is the slot time of a team, in seconds with exponentially decaying weight.
type Team struct {
	Name           string
	Asked, Granted float64
	// Share is the most that the team may have before it is over its share;
	// infinite while there is room for all.
	Share float64
}

// Teams returns the slot time of all teams, by name.
func (t *Tracker) Teams(now time.Time) []Team {
	t.updateLevel(now)
	var teams []Team
	for name, u := range t.teams {
		teams = append(teams, Team{Name: name, Asked: u.asked, Granted: u.granted, Share: t.level * u.weight})
	}
	slices.SortFunc(teams, func(a, b Team) int { return cmp.Compare(a.Name, b.Name) })
	return teams
}
