package config

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/version/bundle"
)

// MaxBundleBytes bounds the size of a bundle's canonical content.
const MaxBundleBytes = 32 << 20

// ErrInvalidContent is returned for bundle content that cannot be decompressed or
// does not match its record.
var ErrInvalidContent = eris.New("invalid bundle content")

// Version is a published bundle. It is immutable.
type Version struct {
	// Offset is the log offset of its publish record. It identifies the version.
	Offset    uint64 `cbor:"1,keyasint"`
	Name      string `cbor:"2,keyasint"`
	Publisher string `cbor:"3,keyasint"`
	Digest    string `cbor:"4,keyasint"`
	// Schema is the bundle's schema version.
	Schema int `cbor:"5,keyasint"`
	// Content is the canonical content, compressed.
	Content         []byte `cbor:"6,keyasint"`
	PublishedMillis int64  `cbor:"7,keyasint"`
	// Approver is empty until another operator has approved the version.
	Approver string `cbor:"8,keyasint"`
	// Roller is empty until an operator has rolled the version.
	Roller string `cbor:"9,keyasint"`
	// RollOffset is the log offset of its roll record, or zero.
	RollOffset   uint64 `cbor:"10,keyasint"`
	RolledMillis int64  `cbor:"11,keyasint"`
	// Moves are the version moves that are in progress while it is in force.
	Moves []MoveID `cbor:"12,keyasint"`

	// bundle is nil if the schema is newer than this release supports.
	bundle *bundle.Bundle
}

// Bundle returns the version's bundle, or nil if its schema is newer than this
// release supports.
func (v *Version) Bundle() *bundle.Bundle { return v.bundle }

// pack compresses a bundle's canonical content.
func pack(canonical []byte) []byte {
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestCompression)
	if err != nil {
		panic(err)
	}
	if _, err := writer.Write(canonical); err != nil {
		panic(err)
	}
	if err := writer.Close(); err != nil {
		panic(err)
	}
	return packed.Bytes()
}

// unpack is the inverse of pack. It fails with ErrInvalidContent.
func unpack(packed []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	canonical, err := io.ReadAll(io.LimitReader(reader, MaxBundleBytes+1))
	if err != nil {
		return nil, eris.Wrap(ErrInvalidContent, err.Error())
	}
	if len(canonical) > MaxBundleBytes {
		return nil, eris.Wrapf(ErrInvalidContent, "more than %d bytes", MaxBundleBytes)
	}
	return canonical, nil
}

// decodeBundle decompresses and validates a bundle and compares it with the
// fields of its record. The bundle is nil if its schema is newer than this
// release supports.
func decodeBundle(schema int, name, digest string, content []byte) (*bundle.Bundle, error) {
	canonical, err := unpack(content)
	if err != nil {
		return nil, err
	}
	if string(bundle.DigestOf(canonical)) != digest {
		return nil, eris.Wrap(ErrInvalidContent, "the digest does not match")
	}
	if schema > bundle.SchemaVersion {
		return nil, nil
	}
	parsed, err := bundle.Parse(name, canonical)
	if err != nil {
		return nil, err
	}
	if parsed.Name != name || parsed.Schema != schema {
		return nil, eris.Wrapf(ErrInvalidContent, "the content is bundle %q of schema %d", parsed.Name, parsed.Schema)
	}
	return parsed, nil
}
