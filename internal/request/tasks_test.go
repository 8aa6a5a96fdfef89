package request_test

import (
	"context"

	"mustarddoor/internal/request/key"
	"mustarddoor/internal/request/outcome"
	"mustarddoor/internal/request/owner"
	"mustarddoor/internal/request/resume"
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
		part, err := request.Answer().ReadAt(canceled, offset+int64(len(answer)))
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
	task.request.Queue()
	task.endpoint = f.pick(endpointCount)
	target := owner.Target{Service: "voz", Endpoint: string(rune('0' + task.endpoint))}
	intent, refusal := task.request.Intend(target, sendWithin)
	if refusal != nil {
		f.settle(task, refusal)
		return
	}
	task.stage = stageIntending
	to := f.find(intent.Key.Session.Witness)
	if to < 0 {
		f.settle(task, task.request.Acknowledge(intent.Attempt, h.register.Adopt(f.now, intent)))
		return
	}
	handle := func() any { return f.hosts[to].register.Intend(f.now, intent) }
	task.pending = f.call(h.index, to, handle, func(reply any) {
		if verdict, ok := reply.(witness.Verdict); ok {
			f.settle(task, task.request.Acknowledge(intent.Attempt, verdict))
			return
		}
		f.settle(task, task.request.LoseWitness(intent.Attempt))
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
		task.request.NotSent()
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
			task.request.Finish(witness.Final{Outcome: outcome.Unknown, Reason: outcome.ReasonReplyLost})
		}
		return
	}
	task.request.Begin(owner.Head{Status: 200})
	next := task.request.Answer().Length()
	task.request.Write(s.bytes[next:])
	if s.ended {
		task.request.Finish(witness.Final{Outcome: outcome.Done})
		f.join(task.request.Key(), task.request)
	}
}

// retryTask carries out the decisions of one retry.
type retryTask struct {
	key      key.Key
	machine  resume.Machine
	decision resume.Decision
	answer   []byte
	pending  *call
}

func (f *fleet) retry(h *host, k key.Key) {
	task := &retryTask{key: k, machine: resume.NewMachine(resume.Start{Key: k, Services: engines{}})}
	task.decision = task.machine.Begin()
	h.retries = append(h.retries, task)
}

// stepRetry advances one retry of one host.
func (f *fleet) stepRetry() {
	h := f.hosts[f.pick(hostCount)]
	if h.frozen || len(h.retries) == 0 {
		return
	}
	i := f.pick(len(h.retries))
	task := h.retries[i]
	if task.pending != nil && !task.pending.ended {
		if f.pick(12) == 0 {
			task.pending.lose()
		}
		return
	}
	if f.act(h, task) {
		h.retries = append(h.retries[:i:i], h.retries[i+1:]...)
	}
}

// act starts the task's next action and returns whether the task is over.
func (f *fleet) act(h *host, task *retryTask) bool {
	switch task.decision.Action {
	case resume.AskOwner:
		f.ask(h, task, f.find(task.key.Session.Owner))
	case resume.RelayOwner:
		f.relay(h, task, f.find(task.key.Session.Owner))
	case resume.AskWitness:
		f.askWitness(h, task, f.find(task.key.Session.Witness))
	case resume.ReadLog:
		f.readLog(task)
	case resume.ResumeStream:
		f.resumeStream(h, task)
	case resume.Wait:
		if !f.now.Before(task.decision.Until) {
			task.decision = task.machine.Waited(f.now)
		}
	case resume.Refuse:
		f.told(task.key, task.decision.Refusal)
		return true
	case resume.Stop:
		return true
	}
	return false
}

func (f *fleet) ask(h *host, task *retryTask, to int) {
	handle := func() any { return f.hosts[to].registry.Locate(task.key, true) }
	task.pending = f.call(h.index, to, handle, func(reply any) {
		if located, ok := reply.(owner.LocateReply); ok {
			task.decision = task.machine.OwnerReplied(f.now, located)
			return
		}
		task.decision = task.machine.OwnerLost()
	})
}

// piece is what a relay or a resumed stream returned.
type piece struct {
	bytes   []byte
	refusal outcome.Refusal
	isEnd   bool
	isGone  bool
}

func (f *fleet) relay(h *host, task *retryTask, to int) {
	offset := int64(len(task.answer))
	handle := func() any {
		request := f.hosts[to].registry.Find(task.key)
		if request == nil || request.Answer().Length() < offset {
			return piece{isGone: true}
		}
		bytes, refusal, ended := readAll(request, offset)
		return piece{bytes: bytes, refusal: refusal, isEnd: ended}
	}
	task.pending = f.call(h.index, to, handle, func(reply any) {
		got, ok := reply.(piece)
		switch {
		case !ok:
			task.decision = task.machine.RelayEnded(offset, resume.Broken)
		case got.isGone:
			task.decision = task.machine.RelayEnded(offset, resume.NoSuchKey)
		default:
			f.take(task, got)
			if got.isEnd {
				task.decision = task.machine.RelayEnded(int64(len(task.answer)), resume.Whole)
			}
		}
	})
}

// take adds a piece to what the caller has.
func (f *fleet) take(task *retryTask, got piece) {
	task.answer = append(task.answer, got.bytes...)
	if got.isEnd {
		f.tally.resumed++
		f.end(task.key, task.answer, got.refusal)
	}
}

func (f *fleet) askWitness(h *host, task *retryTask, to int) {
	handle := func() any { return f.hosts[to].register.VoidOrGet(f.now, task.key) }
	task.pending = f.call(h.index, to, handle, func(reply any) {
		if record, ok := reply.(witness.Record); ok {
			task.decision = task.machine.WitnessReplied(f.now, record)
			return
		}
		task.decision = task.machine.WitnessLost()
	})
}

func (f *fleet) readLog(task *retryTask) {
	if f.logIsOut {
		task.decision = task.machine.LogLost()
		return
	}
	record, found := f.logged[task.key]
	task.decision = task.machine.LogReplied(f.now, record, found)
}

func (f *fleet) resumeStream(h *host, task *retryTask) {
	e := f.endpoints[int(task.decision.Intent.Endpoint[0]-'0')]
	offset := int64(len(task.answer))
	handle := func() any {
		s := e.streams[task.key]
		if s == nil {
			return piece{isGone: true}
		}
		return piece{bytes: append([]byte(nil), s.bytes[offset:]...), isEnd: s.ended}
	}
	task.pending = f.call(h.index, -1, handle, func(reply any) {
		got, ok := reply.(piece)
		switch {
		case !ok:
			task.decision = task.machine.StreamEnded(f.now, offset, resume.Broken)
		case got.isGone:
			task.decision = task.machine.StreamEnded(f.now, offset, resume.NoSuchKey)
		default:
			f.take(task, got)
			if got.isEnd {
				task.decision = task.machine.StreamEnded(f.now, int64(len(task.answer)), resume.Whole)
			}
		}
	})
}
