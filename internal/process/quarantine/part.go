// Package quarantine finds the prompts that crash endpoints.
package quarantine

import (
	"strconv"

	"github.com/rotisserie/eris"
)

// Part identifies a part of a prompt, or a whole request.
type Part uint64

// requestFlag is set in the parts that identify a whole request.
const requestFlag Part = 1 << 63

// NewPromptPart returns the part of a prompt with an ID or its hash.
func NewPromptPart(id uint64) Part { return Part(id) &^ requestFlag }

// NewRequestPart returns the part that identifies all requests with a digest.
func NewRequestPart(digest uint64) Part { return Part(digest) | requestFlag }

// IsRequest reports whether the part identifies a whole request.
func (p Part) IsRequest() bool { return p&requestFlag != 0 }

// String returns the part's identifier in logs.
func (p Part) String() string { return strconv.FormatUint(uint64(p), 16) }

// MarshalText implements encoding.TextMarshaler. It never returns an error.
func (p Part) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error if the
// text is not a hexadecimal number of up to 64 bits.
func (p *Part) UnmarshalText(text []byte) error {
	number, err := strconv.ParseUint(string(text), 16, 64)
	*p = Part(number)
	return eris.Wrapf(err, "prompt part %q", text)
}
