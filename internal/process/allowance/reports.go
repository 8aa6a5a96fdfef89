package allowance

import "time"

const (
	// keptReports is the number of a host's last reports that are kept, minReportSpacing
	// the least time between two of them. Together they cover the time until a cut is
	// noticed.
	keptReports      = 16
	minReportSpacing = 30 * time.Millisecond
)

// reports holds what a host charged to a team as of its last reports.
type reports struct {
	at      [keptReports]time.Time
	charged [keptReports]float64
	count   int
}

func (r *reports) add(charged float64, now time.Time) {
	if r.count > 0 && now.Sub(r.at[(r.count-1)%keptReports]) < minReportSpacing {
		return
	}
	r.at[r.count%keptReports], r.charged[r.count%keptReports] = now, charged
	r.count++
}

// chargedUpTo returns what was charged as of the newest report that was sent by a time,
// or as of the oldest one.
func (r *reports) chargedUpTo(at time.Time) float64 {
	for i := r.count - 1; i >= max(0, r.count-keptReports); i-- {
		if !r.at[i%keptReports].After(at) {
			return r.charged[i%keptReports]
		}
	}
	if r.count > keptReports {
		return r.charged[r.count%keptReports]
	}
	return 0
}
