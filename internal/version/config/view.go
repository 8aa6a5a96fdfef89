package config

import (
	"maps"
	"slices"

	"mustarddoor/internal/version/bundle"
)

// View is the configuration in force on a host. It is immutable; every change
// creates a new one.
type View struct {
	// Version describes the version in force; nil if there is none yet.
	Version *VersionInfo
	// Bundle is its content; nil if there is none yet.
	Bundle *bundle.Bundle
	// ExcludedDomains holds the excluded failure domains by name.
	ExcludedDomains map[string]Exclusion
	// Moves are the version moves of the bundle, in its order.
	Moves []MoveView
}

// Exclusion describes why a failure domain is excluded.
type Exclusion struct {
	Domain   string `json:"domain"`
	Reason   string `json:"reason"`
	Operator string `json:"operator"`
	Stamp    Stamp  `json:"stamp"`
}

// MoveView is a version move in progress.
type MoveView struct {
	ID    MoveID      `json:"id"`
	Move  bundle.Move `json:"move"`
	State MoveState   `json:"state"`
}

// IsExcluded reports whether a failure domain is excluded.
func (v *View) IsExcluded(domain string) bool {
	_, excluded := v.ExcludedDomains[domain]
	return excluded
}

// Move returns the version move of a service.
func (v *View) Move(service string) (MoveView, bool) {
	for _, move := range v.Moves {
		if move.ID.Service == service {
			return move, true
		}
	}
	return MoveView{}, false
}

// newView returns a view of a state with the version that the host serves.
func newView(state State, serving *Version) *View {
	view := &View{ExcludedDomains: map[string]Exclusion{}}
	for _, domain := range slices.Sorted(maps.Keys(state.Marks)) {
		if mark := state.Marks[domain]; mark.Excluded {
			view.ExcludedDomains[domain] = Exclusion{
				Domain:   domain,
				Reason:   mark.Reason,
				Operator: mark.Operator,
				Stamp:    mark.Stamp,
			}
		}
	}
	if serving == nil {
		return view
	}
	view.Version = serving.Info()
	view.Bundle = serving.bundle
	view.Moves = moveViews(state, serving)
	return view
}

// moveViews combines the bundle's moves with their ids and states.
func moveViews(state State, serving *Version) []MoveView {
	views := []MoveView{}
	for _, move := range serving.bundle.Moves {
		for _, id := range serving.Moves {
			if id.Service == move.Service && id.From == move.From && id.To == move.To {
				views = append(views, MoveView{ID: id, Move: move, State: state.Moves[id]})
			}
		}
	}
	return views
}
