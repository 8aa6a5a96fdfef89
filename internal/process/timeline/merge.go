package timeline

import (
	"cmp"
	"slices"

	"mustarddoor/internal/process/hlc"
	"mustarddoor/internal/process/identity"
)

// Page is a part of one host's ring.
type Page struct {
	Host   identity.Incarnation `cbor:"1,keyasint"`
	Events []Event              `cbor:"2,keyasint"`
	// Dropped counts the oldest events, which the ring no longer has or which
	// were not wanted.
	Dropped uint64 `cbor:"3,keyasint"`
	// Next is the sequence number after which the next part begins.
	Next uint64 `cbor:"4,keyasint"`
	// More tells that the ring has events beyond Next.
	More bool `cbor:"5,keyasint"`
}

// Gap tells what a merged time line lacks.
type Gap struct {
	Host identity.Incarnation `json:"host"`
	// Dropped counts the host's older events that are not in the time line.
	Dropped uint64 `json:"dropped,omitempty"`
	// Before is the stamp of the host's oldest event that is left, or zero.
	Before hlc.Stamp `json:"before,omitempty"`
	// Failure tells why the host's events, or some, are missing altogether.
	Failure string `json:"failure,omitempty"`
}

// Merged is the time line of several hosts in causal order.
type Merged struct {
	Events []Event `json:"events"`
	Gaps   []Gap   `json:"gaps"`
}

// Merge puts the events of several hosts in causal order: an event that could
// know of another one comes after it. Slices of the same host are parts of one
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
