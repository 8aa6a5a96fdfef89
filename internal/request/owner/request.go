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
//	Queue, Permit, Dispatch, then send, Begin, Write..., Finish
//
// or Refuse at any point before Dispatch. All others read its Answer.
type Request struct {
	registry *Registry
	digest   uint64
	answer   *Answer

	mu      sync.Mutex
	machine Machine
}

// Key is the request's key.
func (r *Request) Key() key.Key { return r.machine.key }

// Answer is the request's answer, for any number of readers.
func (r *Request) Answer() *Answer { return r.answer }

// State is where the request stands.
func (r *Request) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.State()
}

// Final is the outcome; it is set in final states.
func (r *Request) Final() witness.Final {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Final()
}

// Target is the endpoint of the last attempt and whether the request may have
// reached it.
func (r *Request) Target() (target Target, mayHaveRun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Target(), r.machine.State().MayHaveRun()
}

// Queue notes that the request waits for a slot.
func (r *Request) Queue() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machine.Queue()
}

// Permit gets the witness's acknowledgement for an attempt at the target that
// is dispatched within the given time. A refusal ends the request for good
// and is its answer.
func (r *Request) Permit(ctx context.Context, target Target, within time.Duration) *outcome.Refusal {
	intent, refusal := r.Intend(target, within)
	if refusal != nil {
		return refusal
	}
	verdict, err := r.registry.config.Intender.Intend(ctx, intent)
	if err != nil {
		return r.LoseWitness(intent.Attempt)
	}
	return r.Acknowledge(intent.Attempt, verdict)
}

// Intend is the first step of Permit: it returns the intent for the witness.
func (r *Request) Intend(target Target, within time.Duration) (witness.Intent, *outcome.Refusal) {
	r.mu.Lock()
	intent, ok := r.machine.Intend(r.registry.config.Now(), target, within)
	r.mu.Unlock()
	if !ok {
		return witness.Intent{}, r.refusal()
	}
	return intent, nil
}

// Acknowledge is the last step of Permit if the witness has answered.
func (r *Request) Acknowledge(attempt uint32, verdict witness.Verdict) *outcome.Refusal {
	r.mu.Lock()
	permitted := r.machine.Acknowledge(attempt, verdict)
	r.mu.Unlock()
	if permitted {
		return nil
	}
	return r.settle()
}

// LoseWitness is the last step of Permit if no answer of the witness will
// come.
func (r *Request) LoseWitness(attempt uint32) *outcome.Refusal {
	r.mu.Lock()
	r.machine.LoseWitness(attempt)
	r.mu.Unlock()
	return r.settle()
}

// Dispatch must be called right before the request is sent, with nothing in
// between that can wait. Only after nil may the request be sent, once.
func (r *Request) Dispatch() *outcome.Refusal {
	r.mu.Lock()
	sent := r.machine.Dispatch(r.registry.config.Now())
	r.mu.Unlock()
	if sent {
		return nil
	}
	return r.settle()
}

// NotSent notes that no byte of the dispatched request has left this host; it
// may then be permitted again, for any target. The caller must be sure, as
// after a refused connection.
func (r *Request) NotSent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.NotSent()
}

// Begin notes the head of the answer.
func (r *Request) Begin(head Head) {
	r.mu.Lock()
	r.machine.FirstByte()
	r.mu.Unlock()
	r.answer.Begin(head)
}

// Write adds bytes to the answer and never waits for a reader. It fails with
// ErrEnded.
func (r *Request) Write(bytes []byte) (int, error) {
	grown, err := r.answer.Append(bytes)
	if err != nil {
		return 0, err
	}
	r.registry.grow(grown)
	return len(bytes), nil
}

// Finish notes the end of a dispatched request. A final with outcome Done
// marks the answer as whole, any other as ended early. If Status is set, as
// for plain services, the witness gets the answer itself unless it is longer
// than witness.MaxAnswerBytes.
func (r *Request) Finish(final witness.Final) {
	final = r.describe(final)
	r.mu.Lock()
	finished := r.machine.Finish(final)
	r.mu.Unlock()
	if !finished {
		return
	}
	r.end(final, 0)
}

// describe fills in the answer's length and bytes.
func (r *Request) describe(final witness.Final) witness.Final {
	final.Bytes = r.answer.Length()
	if final.Status == 0 {
		return final
	}
	if final.Bytes > witness.MaxAnswerBytes {
		final.Status = 0
		return final
	}
	final.Answer = r.answer.whole()
	return final
}

// Refuse ends a request that was not dispatched, with outcome NotRun. It
// returns false and changes nothing if the request may have been dispatched.
// RetryAfter is when the caller may try again, under a new key.
func (r *Request) Refuse(reason outcome.Reason, retryAfter time.Duration) bool {
	r.mu.Lock()
	refused := r.machine.Refuse(reason)
	final := r.machine.Final()
	r.mu.Unlock()
	if refused {
		r.end(final, retryAfter)
	}
	return refused
}

// settle ends the answer of a request that the machine has refused.
func (r *Request) settle() *outcome.Refusal {
	r.mu.Lock()
	state, final := r.machine.State(), r.machine.Final()
	r.mu.Unlock()
	if state == StateRefused {
		r.end(final, 0)
	}
	return r.refusal()
}

func (r *Request) end(final witness.Final, retryAfter time.Duration) {
	refusal := outcome.Refusal{}
	if final.Outcome != outcome.Done {
		refusal = outcome.Refuse(final.Outcome, final.Reason).WithRetryAfter(retryAfter)
	}
	if !r.answer.End(refusal) {
		return
	}
	r.registry.finished.push(r.answer)
	if r.attempted() {
		r.registry.config.Recorder.Record(witness.Outcome{Key: r.Key(), Final: final})
	}
}

func (r *Request) attempted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.attempt > 0
}

// refusal is the request's refusal; Unknown if the request is not refused,
// which only a second driver of the same request can see.
func (r *Request) refusal() *outcome.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	final := r.machine.Final()
	if r.machine.State() != StateRefused {
		return refuse(outcome.Unknown, outcome.ReasonOwnerLost)
	}
	return refuse(final.Outcome, final.Reason)
}

func (r *Request) locate() LocateReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.machine.State()
	reply := LocateReply{State: state, Final: r.machine.Final()}
	if state.MayHaveRun() {
		target := r.machine.Target()
		reply.Service = target.Service
		reply.Endpoint = target.Endpoint
		reply.Address = target.Address
	}
	return reply
}
