package soak

import (
	"context"
	"net/netip"
	"slices"
	"time"
)

// readerCutPause is the time between two versions that are published while hosts are cut
// off from the store.
const readerCutPause = 700 * time.Millisecond

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
