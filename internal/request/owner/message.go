package owner

import (
	"mustarddoor/internal/connection/mesh"
	"mustarddoor/internal/request/key"
	"mustarddoor/internal/request/witness"
)

// KindLocate carries a LocateRequest and is answered with a LocateReply.
const KindLocate mesh.Kind = "owner.locate"

// LocateRequest asks a key's owner for the state of the request.
type LocateRequest struct {
	Key key.Key `cbor:"1,keyasint"`
	// CloseUnseen refuses the key for good if the owner has not seen it.
	CloseUnseen bool `cbor:"2,keyasint,omitempty"`
}

// LocateReply contains the state of a request.
type LocateReply struct {
	// NotOwner is set if this incarnation does not own the key.
	NotOwner bool `cbor:"1,keyasint,omitempty"`
	// Expired is set if the record of the key may have been dropped.
	Expired bool `cbor:"2,keyasint,omitempty"`
	// State is zero if the owner has not seen the key and was not asked to
	// close it.
	State State `cbor:"3,keyasint,omitempty"`
	// Service, Endpoint and Address identify the endpoint to which the request was
	// dispatched, if it was.
	Service  string `cbor:"4,keyasint,omitempty"`
	Endpoint string `cbor:"5,keyasint,omitempty"`
	Address  string `cbor:"6,keyasint,omitempty"`
	// Result is set in final states.
	Result witness.Result `cbor:"7,keyasint,omitempty"`
}
