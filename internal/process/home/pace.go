package home

import "time"

// paceSlack lengthens the time between two loads, so that small delays do not
// make them exceed the weight store's rate.
const paceSlack = 1.05

// Pace gives out turns at the weight store. It is a function of the stream, so
// all hosts agree on whose turn it is without asking one another.
type Pace struct {
	// next is when the next turn begins at the earliest, Unix milliseconds by
	// the log's clock.
	next int64
}

// Turn gives the turn that a record asks for, as the wait from its append on.
func (p *Pace) Turn(appendedMillis int64, turn LoadTurn) time.Duration {
	if turn.PerMinute <= 0 {
		return 0
	}
	begin := max(appendedMillis, p.next)
	interval := paceSlack * float64(time.Minute.Milliseconds()) / turn.PerMinute
	p.next = begin + int64(interval)
	return time.Duration(begin-appendedMillis) * time.Millisecond
}
