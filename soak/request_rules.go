package soak

import (
	"fmt"
	"slices"
	"time"
)

// Bounds of the rules on what requests and responses hold. They are those of the
// platform.
const (
	// contactTime is how long hosts have to hear of each other's news.
	contactTime = 3 * time.Second
	// boundedCrashes is the number of crashes by one part of a prompt after which
	// only maxToleratedCases more requests with it may reach endpoints.
	boundedCrashes = 5
	// boundedRequestCrashes is that number for requests that are alike.
	boundedRequestCrashes = 3
	// limitWindow is the time over which an endpoint's limit holds, limitRatio
	// times the limit and limitSlack requests being allowed.
	limitWindow = 4 * time.Second
	limitRatio  = 1.5
	limitSlack  = 5
)

// checkCrashes finds requests that crashed endpoints long after enough others did that
// had the same part in their prompt, or were alike.
func checkCrashes(history History) []Violation {
	type sentCrash struct {
		Attempt
		request Request
	}
	crashes := map[string][]sentCrash{}
	for _, request := range history.Requests {
		for _, attempt := range history.Attempts[request.ID] {
			if attempt.Crashed {
				cause := crashCause(request)
				crashes[cause] = append(crashes[cause], sentCrash{attempt, request})
			}
		}
	}
	var found []Violation
	for cause, group := range crashes {
		bounded := boundedCrashes
		if cause != crashingPart {
			bounded = boundedRequestCrashes
		}
		if len(group) <= bounded {
			continue
		}
		slices.SortFunc(group, func(a, b sentCrash) int { return a.At.Compare(b.At) })
		boundFrom := group[bounded-1].At.Add(contactTime)
		var late []Violation
		for _, crash := range group[bounded:] {
			if crash.At.After(boundFrom) && history.reachesStore(crash.request.Host, boundFrom, crash.At) {
				late = append(late, Violation{"budget", fmt.Sprintf("%s at host %d crashed endpoint %d, %d crashed before by %s", crash.ID, crash.request.Host, crash.Endpoint, len(group), cause), crash.At})
			}
		}
		found = append(found, ifMoreThan(maxToleratedCases, late)...)
	}
	return found
}

// crashCause returns what crashes endpoints in a request: a part of its prompt, or the
// request itself.
func crashCause(request Request) string {
	if request.Body == crashingBody {
		return "requests on " + request.Route
	}
	return crashingPart
}

// checkLimits finds endpoints that got more requests than the limit that they named
// allows, from hosts without a disruption since.
func checkLimits(history History) []Violation {
	for _, limit := range history.Limits {
		var arrivals []time.Time
		for _, request := range history.Requests {
			for _, attempt := range history.Attempts[request.ID] {
				isBound := attempt.Endpoint == limit.Endpoint && attempt.At.After(limit.From.Add(contactTime)) && (limit.To.IsZero() || attempt.At.Before(limit.To))
				if isBound && history.isUndisrupted(Scope{ScopeHost, request.Host}, limit.From, attempt.At, delays) {
					arrivals = append(arrivals, attempt.At)
				}
			}
		}
		slices.SortFunc(arrivals, time.Time.Compare)
		first := 0
		for last, at := range arrivals {
			for at.Sub(arrivals[first]) >= limitWindow {
				first++
			}
			allowed := limitRatio*limit.PerSecond*limitWindow.Seconds() + limitSlack
			if count := last - first + 1; float64(count) > allowed {
				return []Violation{{"limit", fmt.Sprintf("%d requests at endpoint %d in a window, %.0f allowed", count, limit.Endpoint, allowed), at}}
			}
		}
	}
	return nil
}
