package request_test

import (
	"context"

	"mustarddoor/internal/request/key"
	"mustarddoor/internal/request/outcome"
	"mustarddoor/internal/request/owner"
	"mustarddoor/internal/request/witness"
)

// stage is the progress of an owner's task through its calls.
type stage int

const (
	stageQueued stage = iota
	stageIntending
	stagePermitted
	stageDispatching
	stageRunning
	stageEnded
)

// ownerTask executes one request at its owner.
type ownerTask struct {
	request  *owner.Request
	stage    stage
	endpoint int
	pending  *call
}

// submit sends a request with a new or a recent key to any host.
func (f *fleet) submit() {
	if len(f.keys) == 0 || f.randomIndex(f.requestsPerKey) == 0 {
		f.keys = append(f.keys, f.newKey())
	}
	k := f.keys[max(0, len(f.keys)-1-f.randomIndex(min(3, len(f.keys))))]
	h := f.hosts[f.randomIndex(hostCount)]
	if h.suspended {
		return
	}
	if !h.registry.Owns(k) {
		f.retry(h, k)
		return
	}
	request, joined, refusal := h.registry.Open(k, 1)
	switch {
	case refusal != nil:
		f.recordRefusal(k, *refusal)
	case !joined:
		h.owned = append(h.owned, &ownerTask{request: request})
	default:
		f.readJoined(k, request)
	}
}

// newKey returns a key of a random owner with a random witness or none.
func (f *fleet) newKey() key.Key {
	f.nonce++
	ownerIndex := f.randomIndex(hostCount)
	session := key.Session{Owner: f.hosts[ownerIndex].self, Nonce: f.nonce, IssuedMillis: f.now.UnixMilli()}
	if other := (ownerIndex + f.randomIndex(hostCount)) % hostCount; other != ownerIndex {
		session.Witness = f.hosts[other].self
	}
	return key.Key{Session: session, Part: "x"}
}

// readJoined checks the response of a joined request if it is complete.
func (f *fleet) readJoined(k key.Key, request *owner.Request) {
	if response, refusal, ended := readAll(request, 0); ended {
		f.checkEnd(k, response, refusal)
	}
}

// checkEnd checks a response that has ended.
func (f *fleet) checkEnd(k key.Key, response []byte, refusal outcome.Refusal) {
	if refusal.Outcome == "" {
		f.checkResponse(k, response)
		return
	}
	f.recordRefusal(k, refusal)
}

// readAll reads the available part of a response from the offset. A trimmed
// response counts as not ended.
func readAll(request *owner.Request, offset int64) (response []byte, refusal outcome.Refusal, ended bool) {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	for {
		part, err := request.Response().ReadAt(canceled, offset+int64(len(response)))
		if err != nil {
			return response, refusal, false
		}
		if part.End {
			return response, part.Refusal, true
		}
		response = append(response, part.Bytes...)
	}
}

// stepOwner advances one task of one host.
func (f *fleet) stepOwner() {
	h := f.hosts[f.randomIndex(hostCount)]
	if h.suspended || len(h.owned) == 0 {
		return
	}
	task := h.owned[f.randomIndex(len(h.owned))]
	if f.randomIndex(40) == 0 && task.request.Refuse(outcome.ReasonCanceled, 0) {
		task.stage = stageEnded
		f.recordRefusal(task.request.Key(), outcome.Refuse(outcome.NotRun, outcome.ReasonCanceled))
	}
	switch task.stage {
	case stageQueued:
		f.intend(h, task)
	case stageIntending:
		if f.randomIndex(12) == 0 {
			task.pending.timeOut()
		}
	case stagePermitted:
		f.dispatch(task)
	case stageDispatching:
		f.transmit(h, task)
	case stageRunning:
		f.read(h, task)
	}
}

func (f *fleet) intend(h *host, task *ownerTask) {
	task.request.MarkQueued()
	task.endpoint = f.randomIndex(endpointCount)
	target := owner.Target{Service: "voz", Endpoint: string(rune('0' + task.endpoint))}
	intent, refusal := task.request.StartAttempt(target, sendWithin)
	if refusal != nil {
		f.handlePermit(task, refusal)
		return
	}
	task.stage = stageIntending
	to := f.hostIndex(intent.Key.Session.Witness)
	if to < 0 {
		f.handlePermit(task, task.request.ApplyVerdict(intent.Attempt, h.register.RecordLocalIntent(f.now, intent)))
		return
	}
	handle := func() any { return f.hosts[to].register.RecordIntent(f.now, intent) }
	task.pending = f.call(h.index, to, handle, func(reply any) {
		if verdict, ok := reply.(witness.Verdict); ok {
			f.handlePermit(task, task.request.ApplyVerdict(intent.Attempt, verdict))
			return
		}
		f.handlePermit(task, task.request.MarkWitnessLost(intent.Attempt))
	})
}

func (f *fleet) handlePermit(task *ownerTask, refusal *outcome.Refusal) {
	if refusal == nil {
		task.stage = stagePermitted
		return
	}
	task.stage = stageEnded
	f.recordRefusal(task.request.Key(), *refusal)
}

// dispatch passes the last check before transmission. The host can be suspended
// between the two.
func (f *fleet) dispatch(task *ownerTask) {
	if refusal := task.request.Dispatch(); refusal != nil {
		f.handlePermit(task, refusal)
		return
	}
	task.stage = stageDispatching
}

func (f *fleet) transmit(h *host, task *ownerTask) {
	if f.randomIndex(6) == 0 {
		task.request.MarkNotStarted()
		task.stage = stageQueued
		f.coverage.replaced++
		return
	}
	k, e := task.request.Key(), f.endpoints[task.endpoint]
	f.send(h.index, -1, func() { f.execute(e, k) })
	task.stage = stageRunning
}

// read copies the endpoint's stream to the response.
func (f *fleet) read(h *host, task *ownerTask) {
	if task.request.State().IsFinal() {
		task.stage = stageEnded
		return
	}
	s := f.endpoints[task.endpoint].streams[task.request.Key()]
	if s == nil {
		if f.randomIndex(10) == 0 {
			task.request.Finish(witness.Result{Outcome: outcome.Unknown, Reason: outcome.ReasonReplyLost})
		}
		return
	}
	task.request.Begin(owner.Head{Status: 200})
	next := task.request.Response().Length()
	task.request.Write(s.bytes[next:])
	if s.ended {
		task.request.Finish(witness.Result{Outcome: outcome.Done})
		f.readJoined(task.request.Key(), task.request)
	}
}
