package fleet

import "time"

// Result is how a request ended at an endpoint.
type Result uint8

// The results.
const (
	// ResultGood is a whole answer of the endpoint, or one that the caller
	// left early.
	ResultGood Result = iota + 1
	// ResultFailed is an answer that tells of a failure there.
	ResultFailed
	// ResultRefused is a truthful refusal: the request did not run.
	ResultRefused
	// ResultBroken is a lost or cut answer.
	ResultBroken
	// ResultSilent is an answer that did not come in time.
	ResultSilent
	// ResultUnreachable is a connection that could not be opened.
	ResultUnreachable
	// ResultOther is an answer of another endpoint at the same address.
	ResultOther
	// ResultNone tells nothing of the endpoint.
	ResultNone
)

const (
	// trustWeight is the weight of the newest result in the share of failures:
	// about the last ten count.
	trustWeight = 0.1
	// suspendAfter is the number of broken results in a row, or of
	// unreachable ones, that suspend an endpoint.
	suspendAfter = 2
	// suspendFirst is the first suspension; each further one doubles it.
	suspendFirst = 500 * time.Millisecond
	suspendMost  = 4 * time.Second
	// distrustAbove is the share of failures beyond the service's usual from
	// which an endpoint gets only single requests.
	distrustAbove = 0.35
)

// trust is what this host's own requests tell of an endpoint.
type trust struct {
	// failed is the recent share of failures, 0 to 1.
	failed float64
	// inRow counts broken, silent and unreachable results in a row.
	inRow int
	// suspension is the length of the last suspension, until its end.
	suspension time.Duration
	until      time.Time
	// probing tells that a request tries the endpoint after a suspension.
	probing bool
	results int
}

// note takes a result in and reports whether it begins a suspension.
func (t *trust) note(result Result, now time.Time) bool {
	switch result {
	case ResultNone:
		t.probing = false
		return false
	case ResultGood:
		t.failed *= 1 - trustWeight
		t.inRow, t.suspension, t.probing = 0, 0, false
	case ResultRefused:
		t.probing = false
		return false
	default:
		t.failed += (1 - t.failed) * trustWeight
		t.probing = false
		if result != ResultFailed {
			t.inRow++
		}
	}
	t.results++
	if t.inRow < suspendAfter || now.Before(t.until) {
		return false
	}
	t.suspension = min(max(2*t.suspension, suspendFirst), suspendMost)
	t.until = now.Add(t.suspension)
	return true
}

// isSuspended reports whether nothing may be sent now. After a suspension one
// request at a time tries the endpoint.
func (t *trust) isSuspended(now time.Time) bool {
	if now.Before(t.until) {
		return true
	}
	return t.inRow >= suspendAfter && t.probing
}
