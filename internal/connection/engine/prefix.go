package engine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the size of the blocks of prompt text that engines cache. A
// partial last block is not cached.
const PrefixBlockBytes = 256

// PrefixHash returns the hexadecimal hash of the first blocks of a prompt, as
// used in cache events and cache blocks. The prompt of a chat consists of the
// contents of its messages, each followed by a line feed. It must contain at
// least the given number of complete blocks.
func PrefixHash(prompt string, blocks int) string {
	sum := xxhash.Sum64String(prompt[:blocks*PrefixBlockBytes])
	return strconv.FormatUint(sum, 16)
}

// Prefix is a prefix of a prompt that an engine may have cached.
type Prefix struct {
	// Hash is the hash that PrefixHash formats in hexadecimal.
	Hash uint64
	// Bytes is the length of the prefix.
	Bytes int
}

// MaxPrefixes limits the prefixes of one prompt.
const MaxPrefixes = 256

// Prefixes returns the prefixes of a prompt that engines cache, shortest first,
// up to MaxPrefixes.
func Prefixes(prompt string) []Prefix {
	digest := xxhash.New()
	blocks := min(len(prompt)/PrefixBlockBytes, MaxPrefixes)
	prefixes := make([]Prefix, 0, blocks)
	for block := range blocks {
		start := block * PrefixBlockBytes
		end := start + PrefixBlockBytes
		_, _ = digest.WriteString(prompt[start:end])
		prefixes = append(prefixes, Prefix{Hash: digest.Sum64(), Bytes: end})
	}
	return prefixes
}
