package timeline

import (
	"slices"

	"mustarddoor/internal/process/identity"
)

// failureEnded tells that a host's ring ended with its process.
const failureEnded = "the host is gone"

// endedHostGaps gives gaps for the incarnations that this host has seen end and that
// neither answered nor have a gap already.
func (r *Ring) endedHostGaps(pages []Page, gaps []Gap) []Gap {
	covered := map[identity.Incarnation]bool{}
	for _, page := range pages {
		covered[page.Host] = true
	}
	for _, gap := range gaps {
		covered[gap.Host] = true
	}
	var found []Gap
	for _, event := range r.Page(Filter{}, 0, len(r.events)).Events {
		hasEnded := slices.Contains([]Kind{MemberDead, MemberLeft}, event.Kind)
		if hasEnded && !covered[event.Peer] {
			covered[event.Peer] = true
			found = append(found, Gap{Host: event.Peer, Failure: failureEnded})
		}
	}
	return found
}
