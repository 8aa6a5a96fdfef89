package config

import "github.com/cespare/xxhash/v2"

// digest64 returns a non-cryptographic digest, for uses that need not resist an
// attacker.
func digest64(text string) uint64 { return xxhash.Sum64String(text) }
