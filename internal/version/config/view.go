package config

import (
	"maps"
	"slices"

	"mustarddoor/internal/version/bundle"
)

// View is the configuration in force on a host. It is never changed; a change
// makes a new one.
type View struct {
	// Version describes the version in force; nil before the first.
	Version *VersionInfo
	// Bundle is its content; nil before the first.
	Bundle *bundle.Bundle
	// Out holds the failure domains that are out of service, by name.
	Out map[string]Outage
	// Moves are the version moves of the bundle, in its order.
	Moves []MoveView
}

// Outage tells why a failure domain is out of service.
type Outage struct {
	Domain   string `json:"domain"`
	Reason   string `json:"reason"`
	Operator string `json:"operator"`
	Stamp    Stamp  `json:"stamp"`
}

// MoveView is one version move under way.
type MoveView struct {
	ID    MoveID      `json:"id"`
	Move  bundle.Move `json:"move"`
	State MoveState   `json:"state"`
}

// IsOut reports whether a failure domain is out of service.
func (v *View) IsOut(domain string) bool {
	_, out := v.Out[domain]
	return out
}

// Move finds the version move of a service.
func (v *View) Move(service string) (MoveView, bool) {
	for _, move := range v.Moves {
		if move.ID.Service == service {
			return move, true
		}
	}
	return MoveView{}, false
}

// newView describes a state. The version is the greatest rolled one that this
// release knows the schema of.
func newView(state State, known *Version) *View {
	view := &View{Out: map[string]Outage{}}
	for _, domain := range slices.Sorted(maps.Keys(state.Marks)) {
		if mark := state.Marks[domain]; mark.Out {
			view.Out[domain] = Outage{
				Domain:   domain,
				Reason:   mark.Reason,
				Operator: mark.Operator,
				Stamp:    mark.Stamp,
			}
		}
	}
	if known == nil {
		return view
	}
	view.Version = known.Info()
	view.Bundle = known.bundle
	view.Moves = moveViews(state, known)
	return view
}

// moveViews pairs the bundle's moves with their ids and states.
func moveViews(state State, known *Version) []MoveView {
	views := []MoveView{}
	for _, move := range known.bundle.Moves {
		for _, id := range known.Moves {
			if id.Service == move.Service && id.From == move.From && id.To == move.To {
				views = append(views, MoveView{ID: id, Move: move, State: state.Moves[id]})
			}
		}
	}
	return views
}
