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
	response []byte
	pending  *call
}

func (f *fleet) retry(h *host, k key.Key) {
	task := &retryTask{key: k, machine: resume.NewMachine(resume.Config{Key: k, Capabilities: engines{}})}
	task.decision = task.machine.Begin()
	h.retries = append(h.retries, task)
}

// stepRetry advances one retry of one host.
func (f *fleet) stepRetry() {
	h := f.hosts[f.randomIndex(hostCount)]
	if h.suspended || len(h.retries) == 0 {
		return
	}
	i := f.randomIndex(len(h.retries))
	task := h.retries[i]
	if task.pending != nil && !task.pending.ended {
		if f.randomIndex(12) == 0 {
			task.pending.timeOut()
		}
		return
	}
	if f.startAction(h, task) {
		h.retries = append(h.retries[:i:i], h.retries[i+1:]...)
	}
}

// startAction starts the task's next action and returns whether the task has
// ended.
func (f *fleet) startAction(h *host, task *retryTask) bool {
	switch task.decision.Action {
	case resume.AskOwner:
		f.askOwner(h, task, f.hostIndex(task.key.Session.Owner))
	case resume.RelayOwner:
		f.relay(h, task, f.hostIndex(task.key.Session.Owner))
	case resume.AskWitness:
		f.askWitness(h, task, f.hostIndex(task.key.Session.Witness))
	case resume.ReadLog:
		f.readLog(task)
	case resume.ResumeStream:
		f.resumeStream(h, task)
	case resume.Wait:
		if !f.now.Before(task.decision.Until) {
			task.decision = task.machine.WaitEnded(f.now)
		}
	case resume.Refuse:
		f.recordRefusal(task.key, task.decision.Refusal)
		return true
	case resume.Stop:
		return true
	}
	return false
}

func (f *fleet) askOwner(h *host, task *retryTask, to int) {
	handle := func() any { return f.hosts[to].registry.Locate(task.key, true) }
	task.pending = f.call(h.index, to, handle, func(reply any) {
		if located, ok := reply.(owner.LocateReply); ok {
			task.decision = task.machine.OwnerReplied(f.now, located)
			return
		}
		task.decision = task.machine.OwnerUnreachable()
	})
}

// piece is a part of a response from a relay or a resumed stream.
type piece struct {
	bytes    []byte
	refusal  outcome.Refusal
	isLast   bool
	notFound bool
}

func (f *fleet) relay(h *host, task *retryTask, to int) {
	offset := int64(len(task.response))
	handle := func() any {
		request := f.hosts[to].registry.Find(task.key)
		if request == nil || request.Response().Length() < offset {
			return piece{notFound: true}
		}
		bytes, refusal, ended := readAll(request, offset)
		return piece{bytes: bytes, refusal: refusal, isLast: ended}
	}
	task.pending = f.call(h.index, to, handle, func(reply any) {
		got, ok := reply.(piece)
		switch {
		case !ok:
			task.decision = task.machine.RelayEnded(offset, resume.Disconnected)
		case got.notFound:
			task.decision = task.machine.RelayEnded(offset, resume.NotFound)
		default:
			f.appendPiece(task, got)
			if got.isLast {
				task.decision = task.machine.RelayEnded(int64(len(task.response)), resume.Complete)
			}
		}
	})
}

// appendPiece appends a piece to the caller's response and checks the response
// if it has ended.
func (f *fleet) appendPiece(task *retryTask, got piece) {
	task.response = append(task.response, got.bytes...)
	if got.isLast {
		f.coverage.resumed++
		f.checkEnd(task.key, task.response, got.refusal)
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
	if f.logUnavailable {
		task.decision = task.machine.LogUnavailable()
		return
	}
	record, found := f.logged[task.key]
	task.decision = task.machine.LogReplied(f.now, record, found)
}

func (f *fleet) resumeStream(h *host, task *retryTask) {
	e := f.endpoints[int(task.decision.Intent.Endpoint[0]-'0')]
	offset := int64(len(task.response))
	handle := func() any {
		s := e.streams[task.key]
		if s == nil {
			return piece{notFound: true}
		}
		return piece{bytes: append([]byte(nil), s.bytes[offset:]...), isLast: s.ended}
	}
	task.pending = f.call(h.index, -1, handle, func(reply any) {
		got, ok := reply.(piece)
		switch {
		case !ok:
			task.decision = task.machine.StreamEnded(f.now, offset, resume.Disconnected)
		case got.notFound:
			task.decision = task.machine.StreamEnded(f.now, offset, resume.NotFound)
		default:
			f.appendPiece(task, got)
			if got.isLast {
				task.decision = task.machine.StreamEnded(f.now, int64(len(task.response)), resume.Complete)
			}
		}
	})
}
