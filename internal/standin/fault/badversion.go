package fault

import (
	"math"
	"strings"
)

// BadVersion makes one version of an endpoint fail or slow down. The zero value
// has no effect.
type BadVersion struct {
	// Version is the affected version. Empty affects every version.
	Version string `json:"bad_version" long:"bad-version" description:"version that is bad; empty for every version"`
	// ErrorRate is the fraction of requests that fail with status 500.
	ErrorRate float64 `json:"bad_error_rate" long:"bad-error-rate" description:"fraction of requests that fail"`
	// SlowFactor multiplies the processing time of a request. Zero leaves it
	// unchanged.
	SlowFactor float64 `json:"bad_slow_factor" long:"bad-slow-factor" description:"factor on the time of a request"`
	// Match limits the fault to requests whose path or prompt contains it.
	Match string `json:"bad_match" long:"bad-match" description:"only for requests whose path or prompt contains this"`
	// AfterRequests is the number of requests that are served before the fault
	// starts.
	AfterRequests int `json:"bad_after_requests" long:"bad-after-requests" description:"only after this many requests"`
	// MinRunning limits the fault to times at which at least this many requests
	// run.
	MinRunning int `json:"bad_min_running" long:"bad-min-running" description:"only with this many requests running"`
}

// RequestInfo describes a request to BadVersion.Applies.
type RequestInfo struct {
	Version string
	Path    string
	Prompt  string
	// Served is the number of requests that the endpoint received before this
	// one.
	Served int
	// Running is the number of requests that run, including this one.
	Running int
}

// Applies reports whether the fault affects a request.
func (b BadVersion) Applies(r RequestInfo) bool {
	if b.Version != "" && b.Version != r.Version {
		return false
	}
	if r.Served < b.AfterRequests || r.Running < b.MinRunning {
		return false
	}
	return strings.Contains(r.Path, b.Match) || strings.Contains(r.Prompt, b.Match)
}

// Fails reports whether an affected request fails, given the number of requests
// received before it. The failures are spread evenly.
func (b BadVersion) Fails(served int) bool {
	before := math.Floor(float64(served) * b.ErrorRate)
	return math.Floor(float64(served+1)*b.ErrorRate) > before
}

// Slowdown returns the factor on the processing time of an affected request.
func (b BadVersion) Slowdown() float64 {
	if b.SlowFactor <= 0 {
		return 1
	}
	return b.SlowFactor
}
