package config

import "github.com/cespare/xxhash/v2"

// digest64 is a short digest for comparisons that need not resist an attacker.
func digest64(text string) uint64 { return xxhash.Sum64String(text) }
