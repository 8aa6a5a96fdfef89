package timeline

import (
	"slices"

	"mustarddoor/internal/process/identity"
)

// failureEnded is the Failure of a host whose ring was lost when its process
// ended.
const failureEnded = "the host died or left"

// endedHostGaps returns gaps for the incarnations that died or left according to
// this ring and have neither a page nor a gap.
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
