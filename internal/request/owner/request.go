package owner

import (
	"context"
	"sync"
	"time"

	"mustarddoor/internal/request/key"
	"mustarddoor/internal/request/outcome"
	"mustarddoor/internal/request/witness"
)

// Request is a request at its owner. The goroutine that opened it drives it:
//
//	MarkQueued, ObtainPermit, Dispatch, then send, Begin, Write..., Finish
//
// or Refuse at any point before Dispatch. All others read its Response.
type Request struct {
	registry *Registry
	digest   uint64
	response *Response

	mu      sync.Mutex
	machine Machine
}

// Key returns the request's key.
func (r *Request) Key() key.Key { return r.machine.key }

// Response returns the request's response, for any number of readers.
func (r *Request) Response() *Response { return r.response }

// State returns the state of the request.
func (r *Request) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.State()
}

// Result returns the result of the request; it is set in final states.
func (r *Request) Result() witness.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Result()
}

// Target returns the endpoint of the last attempt and whether the request may
// have reached it.
func (r *Request) Target() (target Target, mayHaveRun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Target(), r.machine.State().MayHaveRun()
}

// MarkQueued records that the request waits for a slot.
func (r *Request) MarkQueued() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machine.MarkQueued()
}

// ObtainPermit obtains the witness's acknowledgement of an attempt at the
// target, to be dispatched within the given time. A refusal ends the request
// for good and is its response.
func (r *Request) ObtainPermit(ctx context.Context, target Target, sendWithin time.Duration) *outcome.Refusal {
	intent, refusal := r.StartAttempt(target, sendWithin)
	if refusal != nil {
		return refusal
	}
	verdict, err := r.registry.config.IntentSender.SendIntent(ctx, intent)
	if err != nil {
		return r.MarkWitnessLost(intent.Attempt)
	}
	return r.ApplyVerdict(intent.Attempt, verdict)
}

// StartAttempt is the first step of ObtainPermit: it returns the intent for the
// witness.
func (r *Request) StartAttempt(target Target, sendWithin time.Duration) (witness.Intent, *outcome.Refusal) {
	r.mu.Lock()
	intent, ok := r.machine.StartAttempt(r.registry.config.Now(), target, sendWithin)
	r.mu.Unlock()
	if !ok {
		return witness.Intent{}, r.refusal()
	}
	return intent, nil
}

// ApplyVerdict is the last step of ObtainPermit if the witness has replied.
func (r *Request) ApplyVerdict(attempt uint32, verdict witness.Verdict) *outcome.Refusal {
	r.mu.Lock()
	permitted := r.machine.ApplyVerdict(attempt, verdict)
	r.mu.Unlock()
	if permitted {
		return nil
	}
	return r.endIfRefused()
}

// MarkWitnessLost is the last step of ObtainPermit if the witness will not
// reply.
func (r *Request) MarkWitnessLost(attempt uint32) *outcome.Refusal {
	r.mu.Lock()
	r.machine.MarkWitnessLost(attempt)
	r.mu.Unlock()
	return r.endIfRefused()
}

// Dispatch must be called immediately before the request is sent, with no
// blocking operation in between. The request may be sent only if Dispatch
// returns nil, and only once.
func (r *Request) Dispatch() *outcome.Refusal {
	r.mu.Lock()
	sent := r.machine.Dispatch(r.registry.config.Now())
	r.mu.Unlock()
	if sent {
		return nil
	}
	return r.endIfRefused()
}

// MarkNotStarted records that the endpoint did not start the dispatched
// request; it may then obtain another permit, for any target. The caller must
// be certain, as after a refused connection.
func (r *Request) MarkNotStarted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.MarkNotStarted()
}

// Begin sets the head of the response.
func (r *Request) Begin(head Head) {
	r.mu.Lock()
	r.machine.MarkStreaming()
	r.mu.Unlock()
	r.response.Begin(head)
}

// Write adds bytes to the response and never waits for a reader. It fails with
// ErrEnded.
func (r *Request) Write(bytes []byte) (int, error) {
	added, err := r.response.Append(bytes)
	if err != nil {
		return 0, err
	}
	r.registry.addResponseBytes(added)
	return len(bytes), nil
}

// Finish records the result of a dispatched request. A result with outcome Done
// marks the response as complete, any other as ended early. If Status is set,
// as for plain services, the witness also gets the response itself unless it is
// longer than witness.MaxResponseBytes.
func (r *Request) Finish(result witness.Result) {
	result = r.withResponse(result)
	r.mu.Lock()
	finished := r.machine.Finish(result)
	r.mu.Unlock()
	if !finished {
		return
	}
	r.end(result, 0)
}

// withResponse adds the response's length and bytes to the result.
func (r *Request) withResponse(result witness.Result) witness.Result {
	result.ResponseBytes = r.response.Length()
	if result.Status == 0 {
		return result
	}
	if result.ResponseBytes > witness.MaxResponseBytes {
		result.Status = 0
		return result
	}
	result.Response = r.response.completeBytes()
	return result
}

// Refuse refuses a request that was not dispatched, with outcome NotRun. It
// returns false and changes nothing if the request may have been dispatched.
// RetryAfter is when the caller may try again, under a new key.
func (r *Request) Refuse(reason outcome.Reason, retryAfter time.Duration) bool {
	r.mu.Lock()
	refused := r.machine.Refuse(reason)
	result := r.machine.Result()
	r.mu.Unlock()
	if refused {
		r.end(result, retryAfter)
	}
	return refused
}

// endIfRefused ends the response of a request that the machine has refused.
func (r *Request) endIfRefused() *outcome.Refusal {
	r.mu.Lock()
	state, result := r.machine.State(), r.machine.Result()
	r.mu.Unlock()
	if state == StateRefused {
		r.end(result, 0)
	}
	return r.refusal()
}

func (r *Request) end(result witness.Result, retryAfter time.Duration) {
	refusal := outcome.Refusal{}
	if result.Outcome != outcome.Done {
		refusal = outcome.Refuse(result.Outcome, result.Reason).WithRetryAfter(retryAfter)
	}
	if !r.response.End(refusal) {
		return
	}
	r.registry.finished.push(r.response)
	if r.attempted() {
		r.registry.config.OutcomeRecorder.RecordOutcome(witness.Outcome{Key: r.Key(), Result: result})
	}
}

func (r *Request) attempted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.attempt > 0
}

// refusal returns the request's refusal. It is Unknown if the request is not
// refused, which happens only if two goroutines drive the same request.
func (r *Request) refusal() *outcome.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := r.machine.Result()
	if r.machine.State() != StateRefused {
		return newRefusal(outcome.Unknown, outcome.ReasonOwnerLost)
	}
	return newRefusal(result.Outcome, result.Reason)
}

func (r *Request) locateReply() LocateReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.machine.State()
	reply := LocateReply{State: state, Result: r.machine.Result()}
	if state.MayHaveRun() {
		target := r.machine.Target()
		reply.Service = target.Service
		reply.Endpoint = target.Endpoint
		reply.Address = target.Address
	}
	return reply
}
