// Package codec encodes messages between hosts as CBOR and limits what is
// decoded from other hosts.
package codec

import "github.com/fxamacker/cbor/v2"

// Limits bound what a decoder accepts.
type Limits struct {
	// MaxNestedLevels bounds the nesting depth of arrays and maps.
	MaxNestedLevels int
	// MaxArrayElements and MaxMapPairs bound the size of each array and map.
	MaxArrayElements, MaxMapPairs int
}

// Codec encodes and decodes CBOR. It is safe for concurrent use.
type Codec struct {
	encoder cbor.EncMode
	decoder cbor.DecMode
}

// New returns a codec. It panics if the limits are out of the range that the
// CBOR library allows.
func New(limits Limits) Codec {
	encoder, err := cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode()
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

// Unmarshal decodes a single value into target, a pointer. It fails if bytes
// remain.
func (c Codec) Unmarshal(encoded []byte, target any) error {
	return c.decoder.Unmarshal(encoded, target)
}

// UnmarshalFirst decodes the first value into target, a pointer, and returns
// the remaining bytes.
func (c Codec) UnmarshalFirst(encoded []byte, target any) ([]byte, error) {
	return c.decoder.UnmarshalFirst(encoded, target)
}
