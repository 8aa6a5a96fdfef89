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

// Digest is the SHA-256 of a bundle's canonical content, hexadecimal.
type Digest string

// Parse checks a bundle whole and decodes it. It fails with
// jsoncheck.ErrInvalid; the text has one line for each fault, which names the
// file, the path in it, the value and what is allowed.
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

// dropDuplicateKeys keeps the last of equal keys in an object, which is the one
// that the schema checks. The decoder would mix the elements of two lists of
// the same name. It returns data that is not one JSON document as it is.
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

// Canonical gives the bundle's content in one fixed form, so that equal
// bundles have equal bytes whatever the layout of the files they came from.
func (b *Bundle) Canonical() []byte {
	data, err := json.Marshal(b)
	if err != nil {
		panic(fmt.Sprintf("bundle %s cannot be encoded: %v", b.Name, err))
	}
	return data
}

// Digest gives the SHA-256 of the canonical content.
func (b *Bundle) Digest() Digest { return DigestOf(b.Canonical()) }

// DigestOf gives the digest of a canonical content.
func DigestOf(canonical []byte) Digest {
	sum := sha256.Sum256(canonical)
	return Digest(hex.EncodeToString(sum[:]))
}
