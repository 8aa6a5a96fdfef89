// Package codec encodes what hosts send each other as CBOR, and bounds what is
// decoded from others.
package codec

import "github.com/fxamacker/cbor/v2"

// Limits bound what a decoder accepts.
type Limits struct {
	// MaxNestedLevels is how deep arrays and maps may be nested.
	MaxNestedLevels int
	// MaxArrayElements and MaxMapPairs bound each array and map.
	MaxArrayElements, MaxMapPairs int
}

// Codec encodes and decodes CBOR. It is safe for concurrent use.
type Codec struct {
	encoder cbor.EncMode
	decoder cbor.DecMode
}

// New makes a codec. It panics on limits that CBOR does not allow.
func New(limits Limits) Codec {
	encoder, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err)
	}
	decoder, err := cbor.DecOptions{
		MaxNestedLevels:  limits.MaxNestedLevels,
		MaxArrayElements: limits.MaxArrayElements,
		MaxMapPairs:      limits.MaxMapPairs,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return Codec{encoder: encoder, decoder: decoder}
}

// Marshal encodes a value.
func (c Codec) Marshal(value any) ([]byte, error) { return c.encoder.Marshal(value) }

// Unmarshal decodes all of the bytes into a pointer.
func (c Codec) Unmarshal(encoded []byte, target any) error {
	return c.decoder.Unmarshal(encoded, target)
}

// UnmarshalFirst decodes the first value of the bytes into a pointer and gives
// the rest.
func (c Codec) UnmarshalFirst(encoded []byte, target any) ([]byte, error) {
	return c.decoder.UnmarshalFirst(encoded, target)
}
