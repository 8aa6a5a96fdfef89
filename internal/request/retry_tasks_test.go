package request_test

import (
	"mustarddoor/internal/request/key"
	"mustarddoor/internal/request/outcome"
	"mustarddoor/internal/request/owner"
	"mustarddoor/internal/request/resume"
	"mustarddoor/internal/request/witness"
)

// retryTask carries out the decisions of one retry.
type retryTask struct {
	key      key.Key
	machine  resume.Machine
	decision resume.Decision
	answer   []byte
	pending  *call
}

func (f *fleet) retry(h *host, k key.Key) {
	task := &retryTask{key: k, machine: resume.NewMachine(resume.Config{Key: k, Capabilities: engines{}})}
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
			task.decision = task.machine.WaitEnded(f.now)
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
		task.decision = task.machine.OwnerUnreachable()
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
			task.decision = task.machine.RelayEnded(offset, resume.Disconnected)
		case got.isGone:
			task.decision = task.machine.RelayEnded(offset, resume.NotFound)
		default:
			f.take(task, got)
			if got.isEnd {
				task.decision = task.machine.RelayEnded(int64(len(task.answer)), resume.Complete)
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
		task.decision = task.machine.WitnessUnreachable()
	})
}

func (f *fleet) readLog(task *retryTask) {
	if f.logIsOut {
		task.decision = task.machine.LogUnavailable()
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
			task.decision = task.machine.StreamEnded(f.now, offset, resume.Disconnected)
		case got.isGone:
			task.decision = task.machine.StreamEnded(f.now, offset, resume.NotFound)
		default:
			f.take(task, got)
			if got.isEnd {
				task.decision = task.machine.StreamEnded(f.now, int64(len(task.answer)), resume.Complete)
			}
		}
	})
}
