package slot

import (
	"time"

	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/request/tier"
)

// Times of the grant protocol.
const (
	// GrantTTL is how long a grant is valid. The holder counts it from the
	// sending of the report that the grant acknowledges, the home from the
	// sending of the grant.
	GrantTTL = 2 * time.Second
	// ExpiryMargin covers the time between a dispatch within the grant and its
	// arrival at the endpoint.
	ExpiryMargin = 500 * time.Millisecond
	// MinUsedWindow is how far Report.Least looks back.
	MinUsedWindow = 4 * time.Second
)

// MaxSamples bounds the first-token samples in one report.
const MaxSamples = 8

// Report is what a holder tells an endpoint's home.
type Report struct {
	Endpoint string               `cbor:"1,keyasint"`
	Holder   identity.Incarnation `cbor:"2,keyasint"`
	// Fence is the fencing number of the home that the report is for.
	Fence uint64 `cbor:"3,keyasint"`
	// Sequence grows with every report of the holder for the endpoint.
	Sequence uint64 `cbor:"4,keyasint"`
	// Grant is the number of the last grant that the holder applied.
	Grant uint64 `cbor:"5,keyasint,omitempty"`
	// Allowed is how many slots the holder still considers its own.
	Allowed int `cbor:"6,keyasint,omitempty"`
	// Expired tells that the holder's last grant had lapsed by the report.
	Expired bool `cbor:"15,keyasint,omitempty"`
	// Used are the slots in use, by tier.
	Used tier.Counts `cbor:"7,keyasint,omitzero"`
	// MinUsed is the least number of slots in use at any time of the last
	// LeastWindow.
	MinUsed int `cbor:"14,keyasint,omitempty"`
	// Waiting are the requests that wait for a slot, by tier.
	Waiting tier.Counts `cbor:"8,keyasint,omitzero"`
	// OldestMillis is how long the first of them has waited, by tier.
	OldestMillis [tier.Max]uint32 `cbor:"9,keyasint,omitzero"`
	// PrefillTokens are the prompt tokens of requests without a first token.
	PrefillTokens int `cbor:"10,keyasint,omitempty"`
	// Failures counts the dispatches that ended in a failure, ever.
	Failures uint64 `cbor:"11,keyasint,omitempty"`
	// Slowdowns are the latest first-token times in percent of the expected
	// ones, at most MaxSamples, none twice.
	Slowdowns []uint16 `cbor:"12,keyasint,omitempty"`
	// EngineIncarnation is the endpoint's incarnation as the holder last saw it.
	EngineIncarnation string `cbor:"13,keyasint,omitempty"`
}

// Grant is what a home tells a holder.
type Grant struct {
	Endpoint string `cbor:"1,keyasint"`
	// Holder is the host that the grant is for.
	Holder identity.Incarnation `cbor:"12,keyasint"`
	Fence  uint64               `cbor:"2,keyasint"`
	// Number grows with every grant of the home to the holder.
	Number uint64 `cbor:"3,keyasint"`
	// Sequence is that of the last report that the home had seen.
	Sequence uint64 `cbor:"4,keyasint"`
	// Slots is how many slots the holder may use in all.
	Slots int `cbor:"5,keyasint,omitempty"`
	// Unused is how many of them may be unused.
	Unused int `cbor:"14,keyasint,omitempty"`
	// MaxIdle is how many unused slots the holder may keep when a request ends;
	// it gives back the rest at once.
	MaxIdle int `cbor:"6,keyasint,omitempty"`
	// Floor is the least urgent tier that the holder may start.
	Floor tier.Tier `cbor:"7,keyasint,omitempty"`
	// Sheddable has bit t set if tier t may be shed: no holder serves a lower
	// one.
	Sheddable uint8 `cbor:"8,keyasint,omitempty"`
	// Limit is the endpoint's present limit.
	Limit int `cbor:"9,keyasint,omitempty"`
	// Cold tells that the endpoint is cold, as far as the home knows.
	Cold bool `cbor:"15,keyasint,omitempty"`
	// Headroom is how many slots the home could grant at once to whoever asks.
	Headroom int `cbor:"13,keyasint,omitempty"`
	// OtherUsed are the slots that other holders use.
	OtherUsed int `cbor:"10,keyasint,omitempty"`
	// OtherPrefillTokens are the prompt tokens that wait at the endpoint for
	// other holders.
	OtherPrefillTokens int `cbor:"11,keyasint,omitempty"`
}

// AllowsShedding reports whether the grant lets the holder shed requests of tier t.
func (g *Grant) AllowsShedding(t tier.Tier) bool { return g.Sheddable&(1<<t) != 0 }
