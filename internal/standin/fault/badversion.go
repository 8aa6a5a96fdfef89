package fault

import (
	"math"
	"strings"
)

// BadVersion makes one version of an endpoint fail or slow down. The zero
// value is sound.
type BadVersion struct {
	// Version is the version that is bad; empty stands for every version.
	Version string `json:"bad_version" long:"bad-version" description:"version that is bad; empty for every version"`
	// ErrorRate is the fraction of requests that fail with status 500.
	ErrorRate float64 `json:"bad_error_rate" long:"bad-error-rate" description:"fraction of requests that fail"`
	// SlowFactor multiplies the time of prefill and decode; zero leaves it.
	SlowFactor float64 `json:"bad_slow_factor" long:"bad-slow-factor" description:"factor on the time of a request"`
	// Match restricts the fault to requests whose path or prompt contains it.
	Match string `json:"bad_match" long:"bad-match" description:"only for requests whose path or prompt contains this"`
	// AfterRequests is how many requests are served before the fault.
	AfterRequests int `json:"bad_after_requests" long:"bad-after-requests" description:"only after this many requests"`
	// MinRunning restricts the fault to times with this many requests running.
	MinRunning int `json:"bad_min_running" long:"bad-min-running" description:"only with this many requests running"`
}

// RequestInfo is what decides whether a request meets a bad version.
type RequestInfo struct {
	Version string
	Path    string
	Prompt  string
	// Served is the number of requests that the endpoint took before.
	Served int
	// Running is the number of requests that run, this one included.
	Running int
}

// Applies reports whether a request meets the fault.
func (b BadVersion) Applies(r RequestInfo) bool {
	if b.Version != "" && b.Version != r.Version {
		return false
	}
	if r.Served < b.AfterRequests || r.Running < b.MinRunning {
		return false
	}
	return strings.Contains(r.Path, b.Match) || strings.Contains(r.Prompt, b.Match)
}

// Fails reports whether the request that came after served others fails. The
// failures are spread evenly.
func (b BadVersion) Fails(served int) bool {
	before := math.Floor(float64(served) * b.ErrorRate)
	return math.Floor(float64(served+1)*b.ErrorRate) > before
}

// Slowdown is the factor on the time of a request that meets the fault.
func (b BadVersion) Slowdown() float64 {
	if b.SlowFactor <= 0 {
		return 1
	}
	return b.SlowFactor
}
