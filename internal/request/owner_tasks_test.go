package request_test

import (
	"context"

	"mustarddoor/internal/request/key"
	"mustarddoor/internal/request/outcome"
	"mustarddoor/internal/request/owner"
	"mustarddoor/internal/request/witness"
)

// stage is where an owner's task stands in the calls that it makes.
type stage int

const (
	stageQueued stage = iota
	stageIntending
	stagePermitted
	stageCleared
	stageRunning
	stageOver
)

// ownerTask drives one request at its owner.
type ownerTask struct {
	request  *owner.Request
	stage    stage
	endpoint int
	pending  *call
}

// submit sends a request, new or an old key again, to any host.
func (f *fleet) submit() {
	if len(f.keys) == 0 || f.pick(f.newOneIn) == 0 {
		f.keys = append(f.keys, f.mint())
	}
	k := f.keys[max(0, len(f.keys)-1-f.pick(min(3, len(f.keys))))]
	h := f.hosts[f.pick(hostCount)]
	if h.frozen {
		return
	}
	if !h.registry.Owns(k) {
		f.retry(h, k)
		return
	}
	request, joined, refusal := h.registry.Open(k, 1)
	switch {
	case refusal != nil:
		f.told(k, *refusal)
	case !joined:
		h.owned = append(h.owned, &ownerTask{request: request})
	default:
		f.join(k, request)
	}
}

// mint makes a key at a random host with a random witness or none.
func (f *fleet) mint() key.Key {
	f.nonce++
	own := f.pick(hostCount)
	session := key.Session{Owner: f.hosts[own].self, Nonce: f.nonce, IssuedMillis: f.now.UnixMilli()}
	if other := (own + f.pick(hostCount)) % hostCount; other != own {
		session.Witness = f.hosts[other].self
	}
	return key.Key{Session: session, Part: "x"}
}

// join reads what a joined request has by now.
func (f *fleet) join(k key.Key, request *owner.Request) {
	if answer, refusal, ended := readAll(request, 0); ended {
		f.end(k, answer, refusal)
	}
}

// end checks an answer that came to its end.
func (f *fleet) end(k key.Key, answer []byte, refusal outcome.Refusal) {
	if refusal.Outcome == "" {
		f.gave(k, answer)
		return
	}
	f.told(k, refusal)
}

// readAll reads an answer from an offset as far as it goes; a trimmed answer
// counts as not ended.
func readAll(request *owner.Request, offset int64) (answer []byte, refusal outcome.Refusal, ended bool) {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	for {
		part, err := request.Response().ReadAt(canceled, offset+int64(len(answer)))
		if err != nil {
			return answer, refusal, false
		}
		if part.End {
			return answer, part.Refusal, true
		}
		answer = append(answer, part.Bytes...)
	}
}

// stepOwner advances one task of one host.
func (f *fleet) stepOwner() {
	h := f.hosts[f.pick(hostCount)]
	if h.frozen || len(h.owned) == 0 {
		return
	}
	task := h.owned[f.pick(len(h.owned))]
	if f.pick(40) == 0 && task.request.Refuse(outcome.ReasonCanceled, 0) {
		task.stage = stageOver
		f.told(task.request.Key(), outcome.Refuse(outcome.NotRun, outcome.ReasonCanceled))
	}
	switch task.stage {
	case stageQueued:
		f.intend(h, task)
	case stageIntending:
		if f.pick(12) == 0 {
			task.pending.lose()
		}
	case stagePermitted:
		f.dispatch(task)
	case stageCleared:
		f.transmit(h, task)
	case stageRunning:
		f.read(h, task)
	}
}

func (f *fleet) intend(h *host, task *ownerTask) {
	task.request.MarkQueued()
	task.endpoint = f.pick(endpointCount)
	target := owner.Target{Service: "voz", Endpoint: string(rune('0' + task.endpoint))}
	intent, refusal := task.request.StartAttempt(target, sendWithin)
	if refusal != nil {
		f.settle(task, refusal)
		return
	}
	task.stage = stageIntending
	to := f.find(intent.Key.Session.Witness)
	if to < 0 {
		f.settle(task, task.request.ApplyVerdict(intent.Attempt, h.register.RecordLocalIntent(f.now, intent)))
		return
	}
	handle := func() any { return f.hosts[to].register.RecordIntent(f.now, intent) }
	task.pending = f.call(h.index, to, handle, func(reply any) {
		if verdict, ok := reply.(witness.Verdict); ok {
			f.settle(task, task.request.ApplyVerdict(intent.Attempt, verdict))
			return
		}
		f.settle(task, task.request.MarkWitnessLost(intent.Attempt))
	})
}

func (f *fleet) settle(task *ownerTask, refusal *outcome.Refusal) {
	if refusal == nil {
		task.stage = stagePermitted
		return
	}
	task.stage = stageOver
	f.told(task.request.Key(), *refusal)
}

// dispatch passes the last check; the host may freeze before it transmits.
func (f *fleet) dispatch(task *ownerTask) {
	if refusal := task.request.Dispatch(); refusal != nil {
		f.settle(task, refusal)
		return
	}
	task.stage = stageCleared
}

func (f *fleet) transmit(h *host, task *ownerTask) {
	if f.pick(6) == 0 {
		task.request.MarkNotStarted()
		task.stage = stageQueued
		f.tally.replaced++
		return
	}
	k, e := task.request.Key(), f.endpoints[task.endpoint]
	f.send(h.index, -1, func() { f.run(e, k) })
	task.stage = stageRunning
}

// read copies the endpoint's stream into the answer.
func (f *fleet) read(h *host, task *ownerTask) {
	if task.request.State().IsFinal() {
		task.stage = stageOver
		return
	}
	s := f.endpoints[task.endpoint].streams[task.request.Key()]
	if s == nil {
		if f.pick(10) == 0 {
			task.request.Finish(witness.Result{Outcome: outcome.Unknown, Reason: outcome.ReasonReplyLost})
		}
		return
	}
	task.request.Begin(owner.Head{Status: 200})
	next := task.request.Response().Length()
	task.request.Write(s.bytes[next:])
	if s.ended {
		task.request.Finish(witness.Result{Outcome: outcome.Done})
		f.join(task.request.Key(), task.request)
	}
}
