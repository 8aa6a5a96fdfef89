package scheduler

import (
	"slices"
	"strings"
)

// sortAndIndex sorts the endpoints by version and name and builds positions and
// groups.
func (p *Pool) sortAndIndex() {
	slices.SortFunc(p.endpoints, func(a, b Endpoint) int {
		if c := strings.Compare(a.Version, b.Version); c != 0 {
			return c
		}
		return strings.Compare(a.Name, b.Name)
	})
	for i, e := range p.endpoints {
		p.setPosition(int(e.ID), i)
		if len(p.groups) == 0 || p.groups[len(p.groups)-1].version != e.Version {
			p.groups = append(p.groups, versionGroup{version: e.Version, start: i})
		}
		p.groups[len(p.groups)-1].end = i + 1
	}
}

// setPosition records the index of the endpoint with the given ID.
func (p *Pool) setPosition(id, position int) {
	for len(p.positions) <= id {
		p.positions = append(p.positions, -1)
	}
	p.positions[id] = int32(position)
}

// versionRange returns the index range of the endpoints of a version; an empty
// version selects all.
func (p *Pool) versionRange(version string) (start, end int) {
	if version == "" {
		return 0, len(p.endpoints)
	}
	for _, g := range p.groups {
		if g.version == version {
			return g.start, g.end
		}
	}
	return 0, 0
}

// filter fills list with the eligible endpoints for a request and returns their
// number: all of a small pool, otherwise a random sample plus those that have a
// prefix of the prompt cached.
func (p *Pool) filter(r *Request, list *[maxCandidates]candidate) int {
	start, end := p.versionRange(r.Version)
	count := 0
	if end-start <= maxFullScan {
		for i := start; i < end; i++ {
			count = p.appendIfEligible(r, list, count, i)
		}
	} else {
		count = p.sample(r, list, start, end)
	}
	return p.addCached(r, list, count, start, end)
}

// appendIfEligible appends endpoint i to the list if it can serve the request,
// and returns the new count.
func (p *Pool) appendIfEligible(r *Request, list *[maxCandidates]candidate, count, i int) int {
	e := &p.endpoints[i]
	if int(e.ID) == r.Avoid && len(p.endpoints) > 1 {
		return count
	}
	if r.Adapter != "" && !slices.Contains(e.Adapters, r.Adapter) {
		return count
	}
	list[count] = candidate{position: int32(i)}
	return count + 1
}

// sample visits endpoints from a random offset with a random stride until
// sampleSize are eligible or all were visited. The stride is coprime to the
// range's size, so that every endpoint is visited once.
func (p *Pool) sample(r *Request, list *[maxCandidates]candidate, start, end int) int {
	size := end - start
	offset := int(r.Random % uint64(size))
	stride := 1 + int(r.Random>>32%uint64(size-1))
	for gcd(stride, size) != 1 {
		stride = stride%(size-1) + 1
	}
	count := 0
	for range size {
		count = p.appendIfEligible(r, list, count, start+offset)
		if count == sampleSize {
			break
		}
		offset = (offset + stride) % size
	}
	return count
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// addCached sets the cached tokens of the candidates and adds further endpoints
// that have a prefix of the prompt cached.
func (p *Pool) addCached(r *Request, list *[maxCandidates]candidate, count, start, end int) int {
	for i := len(r.Prefixes) - 1; i >= 0; i-- {
		entry := p.index.lookup(r.Prefixes[i].Hash)
		if entry == nil {
			continue
		}
		tokens := int32(min(r.Prefixes[i].Tokens, r.PromptTokens))
		for _, o := range entry.owners[:entry.count] {
			count = p.recordCached(r, list, count, start, end, o.endpoint, tokens)
		}
	}
	return count
}

// recordCached records that the endpoint with the given ID has a prefix of that
// many tokens cached, and adds it as a candidate if it is not one yet.
func (p *Pool) recordCached(r *Request, list *[maxCandidates]candidate, count, start, end int, id uint16, tokens int32) int {
	if int(id) >= len(p.positions) {
		return count
	}
	position := p.positions[id]
	if int(position) < start || int(position) >= end {
		return count
	}
	for i := range list[:count] {
		if list[i].position == position {
			list[i].cached = max(list[i].cached, tokens)
			return count
		}
	}
	if count == maxCandidates {
		return count
	}
	added := p.appendIfEligible(r, list, count, int(position))
	if added > count {
		list[count].cached = tokens
	}
	return added
}
