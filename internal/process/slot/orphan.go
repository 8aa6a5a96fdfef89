package slot

import (
	"slices"
	"time"
)

// sample is a load report of the endpoint that waits for the holders' reports.
type sample struct {
	at       time.Time
	inFlight int
	// number is that of the last grant before the sample came.
	number uint64
}

// ObserveLoad takes the number of requests that the endpoint had running and
// waiting at a time. Once all holders have reported what they used at that
// time, it settles what lost holders may still use.
func (l *Ledger) ObserveLoad(now, sampled time.Time, inFlight int) {
	if l.pending == nil || now.Sub(l.pending.at) > sampleLife {
		l.pending = &sample{at: sampled, inFlight: inFlight, number: l.number}
	}
	l.settle(now)
}

// settle uses the pending sample if every holder has acknowledged a grant that
// was made after it. Such a holder's report covers the time of the sample.
func (l *Ledger) settle(now time.Time) {
	if l.pending == nil || now.Sub(l.pending.at) > sampleLife {
		return
	}
	known := 0
	for i := range l.accounts {
		acc := &l.accounts[i]
		if acc.lapsed {
			continue
		}
		if acc.report.Grant <= l.pending.number {
			return
		}
		known += acc.report.Least
	}
	l.clear(l.pending.at, max(l.pending.inFlight-known, 0))
	l.pending = nil
}

// clear lowers what lost holders may still use to rest, which the endpoint had
// in flight for them at a time after which they can have started nothing.
func (l *Ledger) clear(at time.Time, rest int) {
	for i := range l.accounts {
		acc := &l.accounts[i]
		if acc.lapsed && at.After(acc.lapse.Add(LapseMargin)) {
			acc.orphan = min(acc.orphan, rest)
		}
	}
	if at.After(l.closedUntil.Add(LapseMargin)) {
		l.unknown = min(l.unknown, rest)
	}
	l.sweep()
}

// Restarted tells that the endpoint has restarted: what lost holders had in
// flight is gone.
func (l *Ledger) Restarted() {
	for i := range l.accounts {
		if l.accounts[i].lapsed {
			l.accounts[i].orphan = 0
		}
	}
	l.unknown = 0
	l.sweep()
}

// sweep forgets lost holders that use nothing any more.
func (l *Ledger) sweep() {
	l.accounts = slices.DeleteFunc(l.accounts, func(a account) bool { return a.lapsed && a.orphan == 0 })
}
