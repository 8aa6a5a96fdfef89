// Package codectest checks that encodings of different builds can be read by each other.
package codectest

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// AssertExtends checks that a build that wrote older can read newer and finds in it what it
// knows: each field of a map is there with the same content, and arrays, which may encode
// structs by position, are as long.
func AssertExtends(t *testing.T, newer, older []byte) {
	t.Helper()
	var newValue, oldValue any
	assert.NilError(t, cbor.Unmarshal(newer, &newValue))
	assert.NilError(t, cbor.Unmarshal(older, &oldValue))
	assertExtends(t, newValue, oldValue, "")
}

func assertExtends(t *testing.T, newer, older any, path string) {
	t.Helper()
	switch older := older.(type) {
	case map[any]any:
		fields, isMap := newer.(map[any]any)
		assert.Assert(t, isMap, "%s is no map any more", path)
		for key, value := range older {
			assertExtends(t, fields[key], value, fmt.Sprintf("%s/%v", path, key))
		}
	case []any:
		elements, isArray := newer.([]any)
		assert.Assert(t, isArray && len(elements) == len(older), "%s has another length: %v", path, newer)
		for i, value := range older {
			assertExtends(t, elements[i], value, fmt.Sprintf("%s/%d", path, i))
		}
	default:
		assert.DeepEqual(t, newer, older)
	}
}

// WithUnknownFields returns the encoding with a field that no build knows in each map with
// integer keys, as a later build may add.
func WithUnknownFields(t *testing.T, encoded []byte) []byte {
	t.Helper()
	var value any
	assert.NilError(t, cbor.Unmarshal(encoded, &value))
	addUnknownFields(value)
	extended, err := cbor.Marshal(value)
	assert.NilError(t, err)
	return extended
}

// unknownField is a key that no struct has.
const unknownField = uint64(9999)

func addUnknownFields(value any) {
	switch value := value.(type) {
	case map[any]any:
		hasFields := false
		for key, field := range value {
			_, isField := key.(uint64)
			hasFields = hasFields || isField
			addUnknownFields(field)
		}
		if hasFields {
			value[unknownField] = map[string]any{"later": []int{1, 2}}
		}
	case []any:
		for _, element := range value {
			addUnknownFields(element)
		}
	}
}
