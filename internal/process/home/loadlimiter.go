package home

import "time"

// loadIntervalFactor lengthens the interval between two loads, so that small
// delays don't make the loads exceed the weight store's rate.
const loadIntervalFactor = 1.05

// LoadLimiter limits the rate of loads from the weight store. Its state depends
// only on the stream, so all hosts compute the same schedule without
// coordination.
type LoadLimiter struct {
	// nextMillis is the earliest start of the next load, in Unix milliseconds
	// of the log's clock.
	nextMillis int64
}

// Reserve schedules the load that a record requests and returns the delay
// between the record's append and the start of the load.
func (l *LoadLimiter) Reserve(appendedMillis int64, reservation LoadReservation) time.Duration {
	if reservation.PerMinute <= 0 {
		return 0
	}
	start := max(appendedMillis, l.nextMillis)
	interval := loadIntervalFactor * float64(time.Minute.Milliseconds()) / reservation.PerMinute
	l.nextMillis = start + int64(interval)
	return time.Duration(start-appendedMillis) * time.Millisecond
}
