package member

import (
	"slices"
	"strings"

	"mustarddoor/internal/process/identity"
)

// Member is one host of a View.
type Member struct {
	identity.Host
	State State
	// Leaving is set once the host has begun a planned stop.
	Leaving bool
}

// IsUsable reports whether the host may get new requests and become a witness.
func (m Member) IsUsable() bool { return m.State == StateAlive && !m.Leaving }

// View is this process's view of the fleet at one time, itself included. It is
// immutable.
type View struct {
	self   identity.Incarnation
	sorted []Member
	byName map[string]Member
}

func newView(self identity.Incarnation, members []Member) *View {
	view := &View{self: self, sorted: members, byName: make(map[string]Member, len(members))}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Host.Host, b.Host.Host) })
	for _, member := range members {
		view.byName[member.Host.Host] = member
	}
	return view
}

// Members returns all members by name, including those that are gone but not
// removed yet. Callers must not modify the slice.
func (v *View) Members() []Member { return v.sorted }

// ByName returns the newest incarnation of a host.
func (v *View) ByName(name string) (Member, bool) {
	member, found := v.byName[name]
	return member, found
}

// ByIncarnation returns the member if this incarnation is the newest known one.
// An incarnation that has been replaced is gone.
func (v *View) ByIncarnation(incarnation identity.Incarnation) (Member, bool) {
	member, found := v.byName[incarnation.Host]
	if !found || member.Number != incarnation.Number {
		return Member{}, false
	}
	return member, true
}

// Usable returns the hosts that may get new requests, including this host.
func (v *View) Usable() []Member {
	return v.filter(func(m Member) bool { return m.IsUsable() })
}

// Peers returns the other hosts that are not gone.
func (v *View) Peers() []identity.Host {
	var peers []identity.Host
	for _, member := range v.sorted {
		if member.Incarnation != v.self && !member.State.IsGone() {
			peers = append(peers, member.Host)
		}
	}
	return peers
}

func (v *View) filter(keep func(Member) bool) []Member {
	var kept []Member
	for _, member := range v.sorted {
		if keep(member) {
			kept = append(kept, member)
		}
	}
	return kept
}

// Change is one change of a View.
type Change struct {
	// Member is the new state.
	Member Member
	// Before is the previous state; zero for a host name that was not known.
	Before Member
}

// IsNewIncarnation reports whether the host was not known before or has a new
// incarnation.
func (c Change) IsNewIncarnation() bool { return c.Before.Incarnation != c.Member.Incarnation }
