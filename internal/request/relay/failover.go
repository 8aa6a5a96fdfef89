package relay

import (
	"context"
	"net/http"
	"slices"
	"time"

	"mustarddoor/internal/connection/upstream"
	"mustarddoor/internal/process/dispatch"
	"mustarddoor/internal/process/fleet"
	"mustarddoor/internal/version/routing"
)

const (
	// searchPollInterval is the time between checks on the search for another endpoint,
	// freeSlotTime the time within which it finds one with a free slot.
	searchPollInterval = 50 * time.Millisecond
	freeSlotTime       = 5 * time.Millisecond
	// overlapPollInterval is the time between checks on the silent endpoint while another
	// one has the request too.
	overlapPollInterval = 10 * time.Millisecond
	// failoverRetryDelay is the delay after a search or a send that failed.
	failoverRetryDelay = 200 * time.Millisecond
	// maxOverlap is how long a stream that continues elsewhere waits for its first event
	// there before the silent endpoint is given up. An endpoint that rejects a request
	// does so at once. Two endpoints must not run one stream for 400 ms.
	maxOverlap = 300 * time.Millisecond
	// maxOverlapDelay is how late the end of that wait may be noticed. Beyond that, this
	// process did not run, the response may have arrived, and lateResponseTime is given to
	// read it.
	maxOverlapDelay  = 100 * time.Millisecond
	lateResponseTime = 20 * time.Millisecond
)

// failover looks for another endpoint while the one that runs the request is silent. That
// one may go on at any moment, so it is given up only when another has accepted the
// request.
type failover struct {
	request *serverRequest
	// lease and conn belong to the silent endpoint.
	lease *dispatch.Lease
	conn  *upstream.Conn
	// progressBytes is the number of bytes that had been received when the request was sent.
	progressBytes int64
	// isStream is set once the endpoint has begun to send events.
	isStream bool
	// search is the search in progress, or nil.
	search *leaseSearch
	// nextSearchAt is when the next search may begin.
	nextSearchAt time.Time
	// replacement is the send that has taken over, or nil.
	replacement *replacement
}

// replacement is the send to another endpoint that has taken over from a silent one.
type replacement struct {
	lease *dispatch.Lease
	openResult
	// cancel cancels the send.
	cancel context.CancelFunc
}

// openResult is the result of openResponse: a response, or why there is none.
type openResult struct {
	response *openedResponse
	failure  sendResult
}

// leaseSearch is a search for an endpoint.
type leaseSearch struct {
	cancel context.CancelFunc
	leases <-chan *dispatch.Lease
}

// watch returns the failover of a request that is sent on a connection. It begins when the
// endpoint has been silent for maxSilence.
func (s *serverRequest) watch(lease *dispatch.Lease, conn *upstream.Conn, maxSilence time.Duration) *failover {
	f := &failover{request: s, lease: lease, conn: conn, progressBytes: conn.ReceivedBytes()}
	conn.OnStall(maxSilence, f.onStall)
	return f
}

// onStall implements upstream.StallHandler.
func (f *failover) onStall() (next time.Time, wait bool) {
	s := f.request
	if s.context().Err() != nil || time.Until(s.deadline) <= 0 {
		return time.Time{}, false
	}
	if !s.canFailOver() {
		return s.deadline, true
	}
	if lease := f.findLease(); lease != nil {
		if f.sendTo(lease) {
			return time.Time{}, false
		}
		f.nextSearchAt = time.Now().Add(failoverRetryDelay)
	}
	return earlier(s.deadline, time.Now().Add(searchPollInterval)), true
}

// isTrickling reports whether the endpoint has sent a part of a header or of an event. The
// bytes between events are no part of one.
func (f *failover) isTrickling() bool {
	if f.isStream {
		return len(f.request.events.pending) > 0
	}
	return f.conn.ReceivedBytes() != f.progressBytes
}

// hasGoneOn reports whether the silent endpoint has sent more that is not read yet. Of one
// that trickles, only the end of an event counts.
func (f *failover) hasGoneOn(isTrickling bool) bool {
	if isTrickling {
		return f.isStream && f.conn.HasArrived(eventDelimiter)
	}
	return f.conn.Arrived() == upstream.ArrivedData
}

// stop ends the search.
func (f *failover) stop() {
	if f.search == nil {
		return
	}
	search := f.search
	f.search = nil
	search.cancel()
	go func() {
		if lease := <-search.leases; lease != nil {
			lease.Release(fleet.ResultNeutral)
		}
	}()
}

// findLease returns the lease of another endpoint once one has been found. It waits for a
// free slot only.
func (f *failover) findLease() *dispatch.Lease {
	var wait time.Duration
	if f.search == nil {
		if time.Now().Before(f.nextSearchAt) {
			return nil
		}
		f.search, wait = f.request.searchLease(f.lease.Endpoint), freeSlotTime
	}
	select {
	case lease := <-f.search.leases:
		f.search.cancel()
		f.search = nil
		if lease == nil {
			f.nextSearchAt = time.Now().Add(failoverRetryDelay)
		}
		return lease
	case <-time.After(wait):
		return nil
	}
}

// searchLease begins to look for an endpoint other than the given one. The result is nil
// if there is none.
func (s *serverRequest) searchLease(except string) *leaseSearch {
	job := s.job()
	job.ExcludedEndpoints = append(slices.Clone(s.excludedEndpoints), except)
	ctx, cancel := context.WithCancel(s.context())
	leases := make(chan *dispatch.Lease, 1)
	go func() {
		lease, err := s.relay.Dispatcher.Acquire(ctx, job)
		if err != nil {
			lease = nil
		}
		leases <- lease
	}()
	return &leaseSearch{cancel: cancel, leases: leases}
}

// sendTo sends the request to another endpoint and reports whether that one takes over.
// If not, it has rejected the request or failed, or the silent endpoint goes on.
func (f *failover) sendTo(lease *dispatch.Lease) bool {
	s := f.request
	if !s.relay.Limits.AllowRetry(s.service) {
		lease.Release(fleet.ResultNeutral)
		return false
	}
	ctx, cancel := context.WithCancel(s.context())
	result, takesOver := f.overlap(ctx, cancel, lease)
	if !takesOver {
		cancel()
		s.addLeaseFields(f.lease)
		return false
	}
	f.replacement = &replacement{lease, result, cancel}
	return true
}

// overlap sends the request to another endpoint while the silent one keeps it, and reports
// whether the other one takes over.
func (f *failover) overlap(ctx context.Context, cancel context.CancelFunc, lease *dispatch.Lease) (result openResult, takesOver bool) {
	s := f.request
	results, sent := make(chan openResult, 1), make(chan struct{})
	go func() {
		response, failure := s.openResponse(ctx, lease, func(conn *upstream.Conn) {
			close(sent)
			conn.OnStall(s.maxHeaderSilence(lease), nil)
		})
		results <- openResult{response, failure}
	}()
	result, verdict := f.awaitResponse(results, sent)
	switch verdict {
	case silentEndpointGoesOn:
		cancel()
		if result = <-results; result.response != nil {
			result.response.discard(fleet.ResultNeutral)
		}
		return result, false
	case silentEndpointEnds:
		// No two endpoints may run a stream for long.
		f.conn.Abort()
		return <-results, true
	}
	if result.response != nil && s.isFit(result.response) {
		return result, true
	}
	if result.response != nil {
		result.response.discard(fleet.ResultFailed)
	}
	s.excludedEndpoints = append(s.excludedEndpoints, lease.Endpoint)
	return result, false
}

// failoverVerdict is what becomes of a silent endpoint.
type failoverVerdict uint8

const (
	// otherEndpointResponds means that the other endpoint has responded or failed.
	otherEndpointResponds failoverVerdict = iota
	// silentEndpointGoesOn means that the silent endpoint has sent more.
	silentEndpointGoesOn
	// silentEndpointEnds means that the silent endpoint has closed the connection, or that
	// the other one may soon begin a stream that must not run twice.
	silentEndpointEnds
)

// awaitResponse waits for the response of another endpoint, which arrives in results, or
// until something else decides.
func (f *failover) awaitResponse(results chan openResult, sent <-chan struct{}) (openResult, failoverVerdict) {
	ticker := time.NewTicker(overlapPollInterval)
	defer ticker.Stop()
	// Bytes that complete no event are no sign that the endpoint goes on.
	isTrickling := f.isTrickling()
	var overlap <-chan time.Time
	var overlapEndsAt time.Time
	for {
		select {
		case result := <-results:
			if f.hasGoneOn(isTrickling) {
				results <- result
				return openResult{}, silentEndpointGoesOn
			}
			return result, otherEndpointResponds
		case <-sent:
			sent = nil
			if f.request.route.Kind == routing.KindStream {
				overlap, overlapEndsAt = time.After(maxOverlap), time.Now().Add(maxOverlap)
			}
		case <-overlap:
			if f.hasGoneOn(isTrickling) {
				return openResult{}, silentEndpointGoesOn
			}
			if !overlapEndsAt.IsZero() && time.Since(overlapEndsAt) > maxOverlapDelay {
				overlap, overlapEndsAt = time.After(lateResponseTime), time.Time{}
				continue
			}
			return openResult{}, silentEndpointEnds
		case <-ticker.C:
			if f.hasGoneOn(isTrickling) {
				return openResult{}, silentEndpointGoesOn
			}
			if f.conn.Arrived() == upstream.ArrivedEnd && sent == nil {
				return openResult{}, silentEndpointEnds
			}
		}
	}
}

// isFit reports whether a response can take the place of the one that is awaited.
func (s *serverRequest) isFit(opened *openedResponse) bool {
	status := opened.response.Status
	if s.route.Kind == routing.KindStream {
		return opened.attributes.Sealed && status == http.StatusOK
	}
	return opened.attributes.Sealed && status < http.StatusInternalServerError && !impliesNotRun(status)
}
