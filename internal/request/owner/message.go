package owner

import (
	"mustarddoor/internal/connection/mesh"
	"mustarddoor/internal/request/key"
	"mustarddoor/internal/request/witness"
)

// KindLocate carries LocateRequest and answers LocateReply.
const KindLocate mesh.Kind = "owner.locate"

// LocateRequest asks a key's owner where the request stands.
type LocateRequest struct {
	Key key.Key `cbor:"1,keyasint"`
	// CloseUnseen asks to refuse the key for good if the owner has not seen it.
	CloseUnseen bool `cbor:"2,keyasint,omitempty"`
}

// LocateReply tells where a request stands.
type LocateReply struct {
	// NotOwner is set if this incarnation does not own the key.
	NotOwner bool `cbor:"1,keyasint,omitempty"`
	// Expired is set if records of the key may already have been dropped.
	Expired bool `cbor:"2,keyasint,omitempty"`
	// State is zero if the owner has not seen the key and was not asked to
	// close it.
	State State `cbor:"3,keyasint,omitempty"`
	// Service, Endpoint and Address are where the request was dispatched, if it
	// was.
	Service  string `cbor:"4,keyasint,omitempty"`
	Endpoint string `cbor:"5,keyasint,omitempty"`
	Address  string `cbor:"6,keyasint,omitempty"`
	// Result is set in final states.
	Result witness.Result `cbor:"7,keyasint,omitempty"`
}
