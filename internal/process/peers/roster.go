package peers

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// heardAge is the age from which a host counts as not heard, beside the
	// time between its messages.
	heardAge = 900 * time.Millisecond
	// missedMessages is how many messages in a row may be lost before that.
	missedMessages = 4
	// restartSilence is the silence from which a message of a lower incarnation
	// is that of a new process and not a late one of an old process.
	restartSilence = 400 * time.Millisecond
	// keepAge is how long a host that is not heard still counts among those
	// that may spend: it may be cut off and serve its own callers.
	keepAge = 20 * time.Second
	// helloEvery is the pause between messages to hosts that are not heard.
	helloEvery = time.Second
	// forgetAge is when a host that was never heard again is forgotten.
	forgetAge = 2 * time.Minute
)

// peer is another host.
type peer struct {
	link netip.AddrPort
	host Host
	// status is from its newest message.
	status  Status
	number  uint64
	heardAt time.Time
	// last is its newest message.
	last Message
	// sentAt is when it was last sent a message, knownAt when it was first
	// known of.
	sentAt, knownAt time.Time
}

// Roster is what is known of the other hosts. It is safe for concurrent use.
type Roster struct {
	self Host

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
	every time.Duration
}

// NewRoster returns a roster of a host that knows of no other.
func NewRoster(self Host) *Roster {
	return &Roster{self: self, peers: map[netip.AddrPort]*peer{}, every: leastEvery}
}

// Know notes that a host may be at a link.
func (r *Roster) Know(link netip.AddrPort, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.know(link, now)
}

func (r *Roster) know(link netip.AddrPort, now time.Time) *peer {
	if !link.IsValid() || link == r.self.Link {
		return nil
	}
	p := r.peers[link]
	if p == nil {
		p = &peer{link: link, knownAt: now}
		r.peers[link] = p
	}
	return p
}

// isHeard reports whether the host was heard lately.
func (r *Roster) isHeard(p *peer, now time.Time) bool {
	return !p.heardAt.IsZero() && now.Sub(p.heardAt) < heardAge+missedMessages*r.every
}

// hear takes a message in. It reports whether the message is new, and whether
// the host was not heard before.
func (r *Roster) hear(message Message, now time.Time) (isNew, isBack bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.know(message.From.Link, now)
	if p == nil {
		return false, false
	}
	if !p.isSucceededBy(message, now) {
		return false, false
	}
	isBack = !r.isHeard(p, now) || p.host.Incarnation != message.From.Incarnation
	if message.From.Name != "" || p.host.Incarnation != message.From.Incarnation {
		p.host = message.From
	}
	p.status, p.number, p.heardAt, p.last = message.Status, message.Number, now, message
	for _, link := range message.Hosts {
		r.know(link, now)
	}
	return true, isBack
}

// isSucceededBy reports whether a message is newer than the last one heard. An
// incarnation is a time of day, which may jump back before a host starts again:
// a lower one counts once the host has been silent for some of its messages.
func (p *peer) isSucceededBy(message Message, now time.Time) bool {
	switch known := p.host.Incarnation; {
	case message.From.Incarnation == known:
		return message.Number > p.number
	case message.From.Incarnation < known:
		return now.Sub(p.heardAt) > restartSilence
	}
	return true
}

// due are the links to send a message to now, and those that are heard.
func (r *Roster) due(now time.Time) (to, heard []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for link, p := range r.peers {
		switch {
		case r.isHeard(p, now):
			heard = append(heard, link)
		case now.Sub(p.knownAt) > forgetAge && now.Sub(p.heardAt) > forgetAge:
			delete(r.peers, link)
			continue
		case now.Sub(p.sentAt) < helloEvery:
			continue
		}
		p.sentAt = now
		to = append(to, link)
	}
	r.every = max(leastEvery, time.Duration(len(heard))*everyPerHost)
	return to, heard
}

// bundling says which messages a host sends beside those to all hosts.
type bundling struct {
	// relay is the host of this failure domain that bundles its messages: the
	// first to serve. It is the zero link if they are not bundled.
	relay netip.AddrPort
	// members are the other hosts of this domain, and latest their messages.
	members []netip.AddrPort
	latest  []Message
	// relays are those of the other domains.
	relays []netip.AddrPort
}

// bundling describes the bundles of a large fleet; it is empty for a small one.
func (r *Roster) bundling(now time.Time) bundling {
	r.mu.Lock()
	defer r.mu.Unlock()
	relay := r.self
	b := bundling{}
	others := map[string]Host{}
	heard := 0
	for link, p := range r.peers {
		if !r.isHeard(p, now) || p.host.Domain == "" {
			continue
		}
		heard++
		if p.host.Domain == r.self.Domain {
			b.members = append(b.members, link)
			b.latest = append(b.latest, p.last)
			if p.host.servesBefore(relay) && !p.status.Leaving {
				relay = p.host
			}
			continue
		}
		if known, found := others[p.host.Domain]; (!found || p.host.servesBefore(known)) && !p.status.Leaving {
			others[p.host.Domain] = p.host
		}
	}
	if heard < bundleAbove {
		return bundling{}
	}
	b.relay = relay.Link
	for _, other := range others {
		b.relays = append(b.relays, other.Link)
	}
	return b
}

// Fronts are the callers' addresses of the other hosts that take callers, in
// order.
func (r *Roster) Fronts(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var fronts []string
	for _, p := range r.peers {
		if r.isHeard(p, now) && p.status.Ready && !p.status.Leaving && p.host.Front != "" {
			fronts = append(fronts, p.host.Front)
		}
	}
	slices.Sort(fronts)
	return fronts
}

// Spenders are the links of the hosts that may use what all hosts share, in
// order, and how many of them are heard; this one is included.
func (r *Roster) Spenders(now time.Time) (links []netip.AddrPort, heard int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	links, heard = append(links, r.self.Link), 1
	for link, p := range r.peers {
		switch {
		case r.isHeard(p, now):
			links = append(links, link)
			heard++
		case p.status.Leaving:
		case now.Sub(p.heardAt) < keepAge || p.heardAt.IsZero() && now.Sub(p.knownAt) < keepAge:
			links = append(links, link)
		}
	}
	slices.SortFunc(links, netip.AddrPort.Compare)
	return links, heard
}

// Reader is the link of the heard host that reads the platform's log for this
// host's failure domain: the first to serve of those that the log answers. It
// is this host's own if there is no other. Avoided hosts are passed over.
func (r *Roster) Reader(avoid func(netip.AddrPort) bool, selfReads bool, now time.Time) netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	reader := Host{}
	if selfReads {
		reader = r.self
	}
	for link, p := range r.peers {
		if !r.isHeard(p, now) || p.status.StoreLost || p.status.Leaving || p.status.ConfigNext == 0 ||
			p.host.Domain != r.self.Domain || avoid(link) {
			continue
		}
		if !reader.Link.IsValid() || p.host.servesBefore(reader) {
			reader = p.host
		}
	}
	if !reader.Link.IsValid() {
		return r.self.Link
	}
	return reader.Link
}

// InDomain is the number of heard hosts in this host's failure domain, itself
// included.
func (r *Roster) InDomain(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 1
	for _, p := range r.peers {
		if p.host.Domain == r.self.Domain && r.isHeard(p, now) {
			count++
		}
	}
	return count
}

// Lost are the names of the hosts that have ceased to be heard since the last
// call; seen is the caller's memory between calls.
func (r *Roster) Lost(seen map[string]bool, now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lost []string
	for _, p := range r.peers {
		if p.host.Name == "" {
			continue
		}
		heard := r.isHeard(p, now)
		if seen[p.host.Name] && !heard {
			lost = append(lost, p.host.Name)
		}
		seen[p.host.Name] = heard
	}
	return lost
}

// IsFirst reports whether this host has the lowest link among the heard ones
// whose status satisfies a condition, and itself.
func (r *Roster) IsFirst(condition func(Status) bool, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for link, p := range r.peers {
		if r.isHeard(p, now) && condition(p.status) && link.Compare(r.self.Link) < 0 {
			return false
		}
	}
	return true
}

// Ahead is the link of a heard host whose status satisfies a condition, or the
// zero link.
func (r *Roster) Ahead(condition func(Status) bool, now time.Time) netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	for link, p := range r.peers {
		if r.isHeard(p, now) && condition(p.status) {
			return link
		}
	}
	return netip.AddrPort{}
}

// Silence makes all hosts unheard, after a time in which this host stood still.
func (r *Roster) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.peers {
		p.heardAt = time.Time{}
	}
}
