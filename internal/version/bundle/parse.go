package bundle

import (
	"bytes"
	"crypto/sha256"
	_ "embed"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/santhosh-tekuri/jsonschema/v6"

	"mustarddoor/internal/process/jsoncheck"
)

//go:embed schema.json
var schemaText []byte

var schema = jsoncheck.MustCompile("bundle.json", schemaText)

// Digest is the SHA-256 of a bundle's canonical content in hexadecimal.
type Digest string

// Parse validates and decodes a bundle. It fails with jsoncheck.ErrInvalid; the
// error text has one line for each fault with the file name, the path in the
// file, the value and what is allowed.
func Parse(fileName string, data []byte) (*Bundle, error) {
	b := &Bundle{}
	if err := schema.Decode(fileName, dropDuplicateKeys(data), b); err != nil {
		return nil, err
	}
	if faults := check(fileName, b); len(faults) > 0 {
		return nil, eris.Wrap(jsoncheck.ErrInvalid, strings.Join(faults, "\n"))
	}
	return b, nil
}

// dropDuplicateKeys keeps only the last of duplicate keys in an object, the one
// that the schema validates. Without this, encoding/json decodes the second of
// two lists with the same key into the elements of the first. Data that is not
// a single JSON document is returned unchanged.
func dropDuplicateKeys(data []byte) []byte {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return data
	}
	unique, err := json.Marshal(document)
	if err != nil {
		return data
	}
	return unique
}

// Canonical returns the canonical encoding of the bundle: equal bundles have
// equal bytes, whatever the layout of the files that they were read from.
func (b *Bundle) Canonical() []byte {
	data, err := json.Marshal(b)
	if err != nil {
		panic(fmt.Sprintf("bundle %s cannot be encoded: %v", b.Name, err))
	}
	return data
}

// Digest returns the digest of the canonical content.
func (b *Bundle) Digest() Digest { return DigestOf(b.Canonical()) }

// DigestOf returns the digest of a bundle's canonical content.
func DigestOf(canonical []byte) Digest {
	sum := sha256.Sum256(canonical)
	return Digest(hex.EncodeToString(sum[:]))
}
