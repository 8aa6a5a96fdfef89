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

// Prefix is a head of a prompt that an engine may have cached.
type Prefix struct {
	// Hash is the number that PrefixHash writes in hexadecimal.
	Hash uint64
	// Bytes is the length of the head.
	Bytes int
}

// MaxPrefixes bounds how many heads of one prompt are told apart.
const MaxPrefixes = 256

// Prefixes gives the heads of a prompt that engines cache, shortest first, at
// most MaxPrefixes.
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
