package timeline

import (
	"slices"

	"mustarddoor/internal/process/identity"
)

// failureGone tells that a host's ring ended with its process.
const failureGone = "the host is gone"

// gone gives gaps for the incarnations that this host has seen end and that
// neither answered nor have a gap already.
func (r *Ring) gone(parts []Slice, gaps []Gap) []Gap {
	covered := map[identity.Incarnation]bool{}
	for _, part := range parts {
		covered[part.Host] = true
	}
	for _, gap := range gaps {
		covered[gap.Host] = true
	}
	var found []Gap
	for _, event := range r.Slice(Filter{}, 0, len(r.slots)).Events {
		isEnd := slices.Contains([]Kind{MemberDead, MemberLeft}, event.Kind)
		if isEnd && !covered[event.Peer] {
			covered[event.Peer] = true
			found = append(found, Gap{Host: event.Peer, Failure: failureGone})
		}
	}
	return found
}
