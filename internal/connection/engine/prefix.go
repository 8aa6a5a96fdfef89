package engine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the size of the blocks of prompt text that engines
// cache; a partial last block is not cached.
const PrefixBlockBytes = 256

// PrefixHash gives the hash that cache events and cache blocks use for the
// first blocks of a prompt, hexadecimal. The prompt of a chat is its messages'
// contents, each followed by a line feed. The prompt must hold that many
// whole blocks.
func PrefixHash(prompt string, blocks int) string {
	sum := xxhash.Sum64String(prompt[:blocks*PrefixBlockBytes])
	return strconv.FormatUint(sum, 16)
}
