// Package jsoncheck validates JSON documents against a JSON Schema and reports
// each violation with its location, for the author of the document.
package jsoncheck

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// ErrInvalid is returned for an invalid document.
var ErrInvalid = eris.New("invalid document")

// Schema is a compiled JSON Schema.
type Schema struct {
	schema *jsonschema.Schema
}

// MustCompile compiles a schema that is embedded in the program. It panics if
// the schema is invalid, since that is a programming error.
func MustCompile(name string, text []byte) *Schema {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		panic(fmt.Sprintf("schema %s: %v", name, err))
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(name, document); err != nil {
		panic(fmt.Sprintf("schema %s: %v", name, err))
	}
	return &Schema{schema: compiler.MustCompile(name)}
}

// Decode validates data against the schema and decodes it into target, a
// pointer. It fails with ErrInvalid. The message has one line per violation
// with the file, the path in the document, the value and the requirement.
func (s *Schema) Decode(file string, data []byte, target any) error {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return eris.Wrapf(ErrInvalid, "%s: not JSON: %v", file, err)
	}
	if err := s.schema.Validate(document); err != nil {
		return eris.Wrap(ErrInvalid, strings.Join(describeViolations(file, document, err), "\n"))
	}
	if err := json.Unmarshal(data, target); err != nil {
		return eris.Wrapf(ErrInvalid, "%s: %v", file, err)
	}
	return nil
}

// describeViolations returns one line for each violation of a validation error.
func describeViolations(file string, document any, err error) []string {
	validationError, ok := err.(*jsonschema.ValidationError)
	if !ok {
		return []string{fmt.Sprintf("%s: %v", file, err)}
	}
	printer := message.NewPrinter(language.English)
	lines := []string{}
	for _, leaf := range leafErrors(validationError) {
		text := leaf.ErrorKind.LocalizedString(printer)
		lines = append(lines, FormatViolation(file, leaf.InstanceLocation, valueAt(document, leaf.InstanceLocation), text))
	}
	sort.Strings(lines)
	return lines
}

// leafErrors returns the innermost causes of a validation error.
func leafErrors(validationError *jsonschema.ValidationError) []*jsonschema.ValidationError {
	if len(validationError.Causes) == 0 {
		return []*jsonschema.ValidationError{validationError}
	}
	all := []*jsonschema.ValidationError{}
	for _, cause := range validationError.Causes {
		all = append(all, leafErrors(cause)...)
	}
	return all
}

// maxValueBytes is the length from which a value in a message is truncated.
const maxValueBytes = 80

// FormatViolation formats a violation as "file: path: value: requirement".
func FormatViolation(file string, path []string, value any, requirement string) string {
	encoded, err := json.Marshal(value)
	if err != nil {
		encoded = []byte("?")
	}
	if len(encoded) > maxValueBytes {
		encoded = append(encoded[:maxValueBytes:maxValueBytes], "..."...)
	}
	return fmt.Sprintf("%s: /%s: %s: %s", file, strings.Join(path, "/"), encoded, requirement)
}

// valueAt returns the value at a path of object keys and array indexes, or nil
// if the path does not exist.
func valueAt(document any, path []string) any {
	for _, step := range path {
		switch node := document.(type) {
		case map[string]any:
			document = node[step]
		case []any:
			var index int
			if _, err := fmt.Sscanf(step, "%d", &index); err != nil || index >= len(node) {
				return nil
			}
			document = node[index]
		default:
			return nil
		}
	}
	return document
}
