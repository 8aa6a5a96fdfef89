package resume

import (
	"time"

	"mustarddoor/internal/request/key"
	"mustarddoor/internal/request/outcome"
	"mustarddoor/internal/request/owner"
	"mustarddoor/internal/request/witness"
)

// Bounds of a retry's patience. The counts start anew whenever bytes of the
// answer have come.
const (
	// maxRelays is how often the answer is relayed from the owner.
	maxRelays = 3
	// maxStreams is how often the endpoint is asked for the stream.
	maxStreams = 6
	// streamPause is the time between such attempts.
	streamPause = 250 * time.Millisecond
	// sendGrace is how long after the send-by time a request that the owner
	// dispatched just before it may take to reach the endpoint.
	sendGrace = 250 * time.Millisecond
	// retryAfter is when a caller that got the outcome unknown may ask again.
	retryAfter = time.Second
)

// Start says where a retry begins.
type Start struct {
	Key key.Key
	// Offset is the first byte of the answer that the caller needs.
	Offset   int64
	Services Services
}

// Machine decides the steps of one retry. It is a value without locks or
// clocks; times are readings of one monotonic clock. No step of it dispatches
// a request.
type Machine struct {
	key      key.Key
	services Services
	offset   int64
	// begun is set once bytes of the answer were given to the caller.
	begun bool
	// relays and streams count attempts since the last byte.
	relays  int
	streams int
	// intent is set once the endpoint is known, sendBy with it.
	intent witness.Intent
	sendBy time.Time
	// next is the action to take when a wait is over.
	next Action
	// askedAgain is set once the witness was asked after the send-by time.
	askedAgain bool
}

// NewMachine returns the machine of a retry. Its first action is AskOwner.
func NewMachine(start Start) Machine {
	return Machine{key: start.Key, offset: start.Offset, services: start.Services}
}

// Begin returns the first decision.
func (m *Machine) Begin() Decision { return Decision{Action: AskOwner} }

// Follow returns the first decision for the owner itself, when it no longer
// holds the bytes of an answer that an endpoint may still have.
func (m *Machine) Follow(now time.Time, target owner.Target) Decision {
	intent := witness.Intent{
		Key:      m.key,
		Service:  target.Service,
		Endpoint: target.Endpoint,
		Address:  target.Address,
	}
	return m.follow(now, intent)
}

// OwnerReplied takes the owner's answer to AskOwner.
func (m *Machine) OwnerReplied(now time.Time, reply owner.LocateReply) Decision {
	switch {
	case reply.NotOwner:
		return m.OwnerLost()
	case reply.Expired:
		return m.refuse(outcome.Unknown, outcome.ReasonExpired)
	case reply.State == owner.StateRefused:
		return m.refuse(reply.Result.Outcome, reply.Result.Reason)
	case reply.State == owner.StateFailed && m.relays > 0:
		return m.refuse(reply.Result.Outcome, reply.Result.Reason)
	case m.relays >= maxRelays:
		return m.OwnerLost()
	default:
		m.relays++
		return Decision{Action: RelayOwner, Offset: m.offset}
	}
}

// OwnerLost notes that the owner gave no answer to AskOwner.
func (m *Machine) OwnerLost() Decision {
	if m.key.Session.Witness.IsZero() {
		return Decision{Action: ReadLog}
	}
	return Decision{Action: AskWitness}
}

// RelayEnded notes how far the owner's answer was given to the caller and how
// it ended: Broken if the connection failed, Silent if the owner answers no
// probes, NoSuchKey if the owner no longer has the bytes.
func (m *Machine) RelayEnded(offset int64, ending Ending) Decision {
	m.advance(offset)
	switch ending {
	case Whole:
		return Decision{Action: Stop}
	case NoSuchKey, Silent:
		return m.OwnerLost()
	default:
		return Decision{Action: AskOwner}
	}
}

// WitnessReplied takes the witness's answer to AskWitness.
func (m *Machine) WitnessReplied(now time.Time, record witness.Record) Decision {
	switch record.State {
	case witness.StateVoid:
		return m.refuse(outcome.NotRun, outcome.ReasonVoided)
	case witness.StateIntended:
		return m.follow(now, record.Intent)
	case witness.StateFinished:
		return m.finished(now, record.Intent, record.Result)
	default:
		return Decision{Action: ReadLog}
	}
}

// WitnessLost notes that the witness gave no answer to AskWitness.
func (m *Machine) WitnessLost() Decision { return Decision{Action: ReadLog} }

// LogReplied takes what the log has of the key; found is false if it has
// nothing. Nothing in the log proves nothing, because records come late.
func (m *Machine) LogReplied(now time.Time, record witness.Record, found bool) Decision {
	if !found {
		return m.LogLost()
	}
	return m.WitnessReplied(now, record)
}

// LogLost notes that the log gave no answer to ReadLog.
func (m *Machine) LogLost() Decision {
	return m.refuse(outcome.Unknown, outcome.ReasonOwnerLost)
}

// StreamEnded notes how far the endpoint's stream was given to the caller and
// how it ended.
func (m *Machine) StreamEnded(now time.Time, offset int64, ending Ending) Decision {
	m.advance(offset)
	switch {
	case ending == Whole:
		return Decision{Action: Stop}
	case ending == NoSuchKey && now.Before(m.sendBy):
		return m.wait(m.sendBy, ResumeStream)
	case ending == NoSuchKey:
		return m.refuse(outcome.Unknown, outcome.ReasonReplyLost)
	case m.streams >= maxStreams:
		return m.refuse(outcome.Unknown, outcome.ReasonReplyLost)
	default:
		return m.wait(now.Add(streamPause), ResumeStream)
	}
}

// LookUpEnded notes how a lookup at a plain service ended; Whole means that
// its answer was given to the caller.
func (m *Machine) LookUpEnded(now time.Time, ending Ending) Decision {
	switch {
	case ending == Whole:
		return Decision{Action: Stop}
	case now.Before(m.sendBy):
		return m.wait(m.sendBy, LookUp)
	default:
		return m.refuse(outcome.Unknown, outcome.ReasonReplyLost)
	}
}

// Waited notes that the time of a Wait has come.
func (m *Machine) Waited(now time.Time) Decision {
	if m.next == AskWitness {
		m.askedAgain = true
		return Decision{Action: AskWitness}
	}
	return m.fetch(m.next)
}

// follow goes to the endpoint of an intent.
func (m *Machine) follow(now time.Time, intent witness.Intent) Decision {
	m.intent = intent
	m.sendBy = now.Add(intent.SendWithin() + sendGrace)
	service := m.services.Resumable(intent.Service)
	switch {
	case service.Streams:
		return m.fetch(ResumeStream)
	case service.LooksUp && !m.begun:
		return m.fetch(LookUp)
	case !m.askedAgain && !m.key.Session.Witness.IsZero():
		return m.wait(m.sendBy, AskWitness)
	default:
		return m.refuse(outcome.Unknown, outcome.ReasonReplyLost)
	}
}

// finished answers with a recorded outcome.
func (m *Machine) finished(now time.Time, intent witness.Intent, final witness.Result) Decision {
	if final.Status != 0 && m.offset <= int64(len(final.Response)) {
		return Decision{Action: Replay, Offset: m.offset, Final: final}
	}
	if final.Outcome == outcome.NotRun || final.Outcome == outcome.Failed {
		return m.refuse(final.Outcome, final.Reason)
	}
	m.askedAgain = true
	intent.SendWithinMillis = 0
	return m.follow(now, intent)
}

func (m *Machine) fetch(action Action) Decision {
	if action == ResumeStream {
		m.streams++
	}
	return Decision{Action: action, Offset: m.offset, Intent: m.intent}
}

func (m *Machine) wait(until time.Time, next Action) Decision {
	m.next = next
	return Decision{Action: Wait, Until: until}
}

// advance notes that the caller has the bytes before the offset.
func (m *Machine) advance(offset int64) {
	if offset <= m.offset {
		return
	}
	m.offset = offset
	m.begun = true
	m.relays = 0
	m.streams = 0
}

// refuse ends the retry. An answer that has begun cannot turn into "not run";
// the caller then sees it cut off.
func (m *Machine) refuse(result outcome.Outcome, reason outcome.Reason) Decision {
	refusal := outcome.Refuse(result, reason)
	if result == outcome.Unknown {
		refusal = refusal.WithRetryAfter(retryAfter)
	}
	return Decision{Action: Refuse, Offset: m.offset, Refusal: refusal}
}
