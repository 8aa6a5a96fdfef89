package config

import "cmp"

// Stamp orders domain marks. It is a reading of the issuing host's hybrid logical
// clock.
type Stamp struct {
	// Millis is the time in Unix milliseconds, or later if a later stamp was
	// seen.
	Millis int64 `cbor:"1,keyasint" json:"ms"`
	// Count distinguishes stamps of the same millisecond.
	Count uint32 `cbor:"2,keyasint" json:"count"`
	Host  string `cbor:"3,keyasint" json:"host"`
}

// Compare orders stamps by time, then by host name.
func (s Stamp) Compare(other Stamp) int {
	return cmp.Or(
		cmp.Compare(s.Millis, other.Millis),
		cmp.Compare(s.Count, other.Count),
		cmp.Compare(s.Host, other.Host),
	)
}

// next returns a stamp of the host that is later than s and not before now.
func (s Stamp) next(nowMillis int64, host string) Stamp {
	if nowMillis > s.Millis {
		return Stamp{Millis: nowMillis, Host: host}
	}
	return Stamp{Millis: s.Millis, Count: s.Count + 1, Host: host}
}
