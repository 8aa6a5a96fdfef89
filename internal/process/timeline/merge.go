package timeline

import (
	"cmp"
	"slices"

	"mustarddoor/internal/process/hlc"
	"mustarddoor/internal/process/identity"
)

// Page holds consecutive events of one host's ring that match a query.
type Page struct {
	Host   identity.Incarnation `cbor:"1,keyasint"`
	Events []Event              `cbor:"2,keyasint"`
	// Dropped is the number of oldest events that are left out, because the ring
	// overwrote them or the query asked for fewer events.
	Dropped uint64 `cbor:"3,keyasint"`
	// Next is the sequence number after which the next page starts.
	Next uint64 `cbor:"4,keyasint"`
	// More is set if the ring has events after Next.
	More bool `cbor:"5,keyasint"`
}

// Gap describes events of a host that a merged timeline lacks.
type Gap struct {
	Host identity.Incarnation `json:"host"`
	// Dropped is the number of the host's oldest events that are left out.
	Dropped uint64 `json:"dropped,omitempty"`
	// Before is the stamp of the host's oldest event in the timeline, or zero.
	Before hlc.Stamp `json:"before,omitempty"`
	// Failure is the reason why some or all events of the host could not be
	// read.
	Failure string `json:"failure,omitempty"`
}

// Merged is the timeline of several hosts in causal order.
type Merged struct {
	Events []Event `json:"events"`
	Gaps   []Gap   `json:"gaps"`
}

// Merge puts the events of several hosts in causal order: an event that may
// depend on another one comes after it. Pages of the same host belong to one
// ring.
func Merge(pages []Page, failures []Gap) Merged {
	merged := Merged{Events: []Event{}, Gaps: slices.Clone(failures)}
	dropped := map[identity.Incarnation]uint64{}
	for _, page := range pages {
		merged.Events = append(merged.Events, page.Events...)
		dropped[page.Host] = max(dropped[page.Host], page.Dropped)
	}
	slices.SortFunc(merged.Events, compareEvents)
	merged.Events = slices.CompactFunc(merged.Events, func(a, b Event) bool { return compareEvents(a, b) == 0 })
	for host, count := range dropped {
		if count > 0 {
			merged.Gaps = append(merged.Gaps, Gap{Host: host, Dropped: count, Before: firstStamp(merged.Events, host)})
		}
	}
	slices.SortFunc(merged.Gaps, func(a, b Gap) int {
		return cmp.Or(cmp.Compare(a.Before, b.Before), compareHosts(a.Host, b.Host))
	})
	return merged
}

func compareEvents(a, b Event) int {
	return cmp.Or(
		cmp.Compare(a.Stamp, b.Stamp),
		compareHosts(a.Host, b.Host),
		cmp.Compare(a.Sequence, b.Sequence),
	)
}

func compareHosts(a, b identity.Incarnation) int {
	return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Number, b.Number))
}

func firstStamp(events []Event, host identity.Incarnation) hlc.Stamp {
	for _, event := range events {
		if event.Host == host {
			return event.Stamp
		}
	}
	return 0
}
