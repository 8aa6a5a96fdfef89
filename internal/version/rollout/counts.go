package rollout

// LatencyCounts counts requests by comparing their latency with the usual
// latency of the old version.
type LatencyCounts struct {
	// Timed counts all requests whose latency was compared.
	Timed uint64 `cbor:"1,keyasint,omitempty"`
	// Late and VeryLate count the requests beyond the respective limit.
	Late     uint64 `cbor:"2,keyasint,omitempty"`
	VeryLate uint64 `cbor:"3,keyasint,omitempty"`
}

// Counts holds cumulative outcome counters of requests.
type Counts struct {
	Succeeded uint64 `cbor:"1,keyasint,omitempty"`
	// Failed counts requests that failed at the endpoint.
	Failed uint64 `cbor:"2,keyasint,omitempty"`
	// Lost counts losses of endpoints, not of requests: all requests that one
	// host loses with one endpoint in one window count once.
	Lost       uint64        `cbor:"3,keyasint,omitempty"`
	FirstToken LatencyCounts `cbor:"4,keyasint"`
	PerToken   LatencyCounts `cbor:"5,keyasint"`
}

// Results returns the number of results in the counts.
func (c Counts) Results() uint64 { return c.Succeeded + c.Failed + c.Lost }

// merge returns the pointwise maximum of two readings of the same counters.
func (l LatencyCounts) merge(other LatencyCounts) LatencyCounts {
	return LatencyCounts{
		Timed:    max(l.Timed, other.Timed),
		Late:     max(l.Late, other.Late),
		VeryLate: max(l.VeryLate, other.VeryLate),
	}
}

// plus returns the sum of counts of different requests.
func (l LatencyCounts) plus(other LatencyCounts) LatencyCounts {
	return LatencyCounts{
		Timed:    l.Timed + other.Timed,
		Late:     l.Late + other.Late,
		VeryLate: l.VeryLate + other.VeryLate,
	}
}

// minus subtracts an earlier reading of the same counters. It returns zero if
// the other reading is not earlier.
func (l LatencyCounts) minus(earlier LatencyCounts) LatencyCounts {
	return LatencyCounts{
		Timed:    saturatingSub(l.Timed, earlier.Timed),
		Late:     saturatingSub(l.Late, earlier.Late),
		VeryLate: saturatingSub(l.VeryLate, earlier.VeryLate),
	}
}

func (c Counts) merge(other Counts) Counts {
	return Counts{
		Succeeded:  max(c.Succeeded, other.Succeeded),
		Failed:     max(c.Failed, other.Failed),
		Lost:       max(c.Lost, other.Lost),
		FirstToken: c.FirstToken.merge(other.FirstToken),
		PerToken:   c.PerToken.merge(other.PerToken),
	}
}

func (c Counts) plus(other Counts) Counts {
	return Counts{
		Succeeded:  c.Succeeded + other.Succeeded,
		Failed:     c.Failed + other.Failed,
		Lost:       c.Lost + other.Lost,
		FirstToken: c.FirstToken.plus(other.FirstToken),
		PerToken:   c.PerToken.plus(other.PerToken),
	}
}

func (c Counts) minus(earlier Counts) Counts {
	return Counts{
		Succeeded:  saturatingSub(c.Succeeded, earlier.Succeeded),
		Failed:     saturatingSub(c.Failed, earlier.Failed),
		Lost:       saturatingSub(c.Lost, earlier.Lost),
		FirstToken: c.FirstToken.minus(earlier.FirstToken),
		PerToken:   c.PerToken.minus(earlier.PerToken),
	}
}

// saturatingSub returns a-b, or zero if b is greater.
func saturatingSub(a, b uint64) uint64 { return a - min(a, b) }
