package soak

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// readerCutInterval is the mean time between two cuts of hosts from the store, which
	// last between minReaderCut and maxReaderCut.
	readerCutInterval = 15 * time.Second
	minReaderCut      = time.Second
	maxReaderCut      = 6 * time.Second
	// readerCutPause is the time between two versions that are published meanwhile.
	readerCutPause = 700 * time.Millisecond
)

// newReaderCuts returns the cuts of a seed, in addition to the faults of its plan. Short
// runs have none: the hosts would be cut off for most of them.
func newReaderCuts(seed uint64, size Size) []Fault {
	rng := rand.New(rand.NewPCG(seed, readerCutStream))
	var faults []Fault
	for range int(size.Traffic / readerCutInterval) {
		faults = append(faults, Fault{
			Kind:     ReadersLoseStore,
			Start:    warmup + time.Duration(rng.Int64N(int64(size.Traffic-warmup))).Round(timeResolution),
			Duration: minReaderCut + time.Duration(rng.Int64N(int64(maxReaderCut-minReaderCut))).Round(timeResolution),
			Target:   rng.IntN(size.Hosts),
		})
	}
	return faults
}

// readerCutStream selects random numbers apart from those of the plan.
const readerCutStream = 0x7265616465726375

// cutReaders cuts hosts off from the store, first those that read it for others, and
// publishes versions meanwhile. The fault's target is the number of hosts, of which at
// least one stays connected.
func (f *fleet) cutReaders(ctx context.Context, fault Fault) {
	hosts := slices.Clone(f.hosts)
	slices.SortFunc(hosts, func(a, b *host) int { return netip.MustParseAddr(a.ip).Compare(netip.MustParseAddr(b.ip)) })
	for _, h := range hosts[:fault.Target%len(hosts)] {
		defer f.record.BeginDisruption(Scope{ScopeHost, h.number}, false)()
		defer h.store.Apply(Mode{HoldIn: true, HoldOut: true})()
	}
	for end := time.Now().Add(fault.Duration); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(readerCutPause) {
		f.publishAgain()
	}
}
