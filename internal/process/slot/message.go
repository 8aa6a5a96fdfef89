package slot

import (
	"time"

	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/request/tier"
)

// Time constants of the grant protocol.
const (
	// GrantTTL is how long a grant is valid. The holder counts it from the
	// sending of the report that the grant acknowledges, the home from the
	// sending of the grant.
	GrantTTL = 2 * time.Second
	// ExpiryMargin covers the time between a dispatch within the grant and its
	// arrival at the endpoint.
	ExpiryMargin = 500 * time.Millisecond
	// MinUsedWindow is the time that Report.MinUsed covers.
	MinUsedWindow = 4 * time.Second
)

// MaxSamples is the maximum number of slowdown samples in one report.
const MaxSamples = 8

// Report is a message from a holder to an endpoint's home.
type Report struct {
	Endpoint string               `cbor:"1,keyasint"`
	Holder   identity.Incarnation `cbor:"2,keyasint"`
	// Fence is the fencing token of the home that the report is for.
	Fence uint64 `cbor:"3,keyasint"`
	// Sequence increases with every report of the holder for the endpoint.
	Sequence uint64 `cbor:"4,keyasint"`
	// Grant is the number of the last grant that the holder applied.
	Grant uint64 `cbor:"5,keyasint,omitempty"`
	// Allowed is the number of slots that the holder may still use.
	Allowed int `cbor:"6,keyasint,omitempty"`
	// Expired is true if the holder's last grant had expired by the time of the
	// report.
	Expired bool `cbor:"15,keyasint,omitempty"`
	// Used is the number of slots in use, by tier.
	Used tier.Counts `cbor:"7,keyasint,omitzero"`
	// MinUsed is the minimum number of slots in use at any time during the last
	// MinUsedWindow.
	MinUsed int `cbor:"14,keyasint,omitempty"`
	// Waiting is the number of requests that wait for a slot, by tier.
	Waiting tier.Counts `cbor:"8,keyasint,omitzero"`
	// OldestMillis is how long the oldest of them has waited, by tier.
	OldestMillis [tier.Max]uint32 `cbor:"9,keyasint,omitzero"`
	// PrefillTokens is the number of prompt tokens of requests that have no
	// first token yet.
	PrefillTokens int `cbor:"10,keyasint,omitempty"`
	// Failures is the total number of failed dispatches.
	Failures uint64 `cbor:"11,keyasint,omitempty"`
	// Slowdowns holds the latest times to first token in percent of the
	// expected ones, at most MaxSamples. Each sample is reported once.
	Slowdowns []uint16 `cbor:"12,keyasint,omitempty"`
	// EngineIncarnation is the endpoint's incarnation last seen by the holder.
	EngineIncarnation string `cbor:"13,keyasint,omitempty"`
}

// Grant is a message from a home to a holder.
type Grant struct {
	Endpoint string `cbor:"1,keyasint"`
	// Holder is the host that the grant is for.
	Holder identity.Incarnation `cbor:"12,keyasint"`
	Fence  uint64               `cbor:"2,keyasint"`
	// Number increases with every grant of the home to the holder.
	Number uint64 `cbor:"3,keyasint"`
	// Sequence is that of the last report that the home had received.
	Sequence uint64 `cbor:"4,keyasint"`
	// Slots is the total number of slots that the holder may use.
	Slots int `cbor:"5,keyasint,omitempty"`
	// Unused is how many of them may be unused.
	Unused int `cbor:"14,keyasint,omitempty"`
	// MaxIdle is the number of unused slots that the holder may keep when a
	// request ends; it gives back the others at once.
	MaxIdle int `cbor:"6,keyasint,omitempty"`
	// Floor is the lowest-priority tier that the holder may start.
	Floor tier.Tier `cbor:"7,keyasint,omitempty"`
	// Sheddable has bit t set if tier t may be shed because no holder serves a
	// lower tier.
	Sheddable uint8 `cbor:"8,keyasint,omitempty"`
	// Limit is the endpoint's concurrency limit.
	Limit int `cbor:"9,keyasint,omitempty"`
	// Cold is true if the home considers the endpoint cold.
	Cold bool `cbor:"15,keyasint,omitempty"`
	// Headroom is the number of slots that the home could grant at once on
	// request.
	Headroom int `cbor:"13,keyasint,omitempty"`
	// OtherUsed is the number of slots that other holders use.
	OtherUsed int `cbor:"10,keyasint,omitempty"`
	// OtherPrefillTokens is the number of prompt tokens pending at the endpoint
	// for other holders.
	OtherPrefillTokens int `cbor:"11,keyasint,omitempty"`
}

// AllowsShedding reports whether the grant allows the holder to shed requests
// of tier t.
func (g *Grant) AllowsShedding(t tier.Tier) bool { return g.Sheddable&(1<<t) != 0 }
