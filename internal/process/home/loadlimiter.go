package home

import "time"

// loadIntervalFactor lengthens the time between two loads, so that small delays do not
// make them exceed the weight store's rate.
const loadIntervalFactor = 1.05

// LoadLimiter gives out turns at the weight store. It is a function of the stream, so
// all hosts agree on whose turn it is without asking one another.
type LoadLimiter struct {
	// nextMillis is when the nextMillis turn begins at the earliest, Unix milliseconds by
	// the log's clock.
	nextMillis int64
}

// Reserve gives the turn that a record asks for, as the wait from its append on.
func (l *LoadLimiter) Reserve(appendedMillis int64, reservation LoadReservation) time.Duration {
	if reservation.PerMinute <= 0 {
		return 0
	}
	start := max(appendedMillis, l.nextMillis)
	interval := loadIntervalFactor * float64(time.Minute.Milliseconds()) / reservation.PerMinute
	l.nextMillis = start + int64(interval)
	return time.Duration(start-appendedMillis) * time.Millisecond
}
