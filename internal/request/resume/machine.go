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
	// maxRelayAttempts is how often the answer is relayed from the owner.
	maxRelayAttempts = 3
	// maxStreamAttempts is how often the endpoint is asked for the stream.
	maxStreamAttempts = 6
	// streamRetryDelay is the time between such attempts.
	streamRetryDelay = 250 * time.Millisecond
	// sendGracePeriod is how long after the send-by time a request that the owner
	// dispatched just before it may take to reach the endpoint.
	sendGracePeriod = 250 * time.Millisecond
	// retryAfter is when a caller that got the outcome unknown may ask again.
	retryAfter = time.Second
)

// Config says where a retry begins.
type Config struct {
	Key key.Key
	// Offset is the first byte of the answer that the caller needs.
	Offset       int64
	Capabilities CapabilitySource
}

// Machine decides the steps of one retry. It is a value without locks or
// clocks; times are readings of one monotonic clock. No step of it dispatches
// a request.
type Machine struct {
	key          key.Key
	capabilities CapabilitySource
	offset       int64
	// responseStarted is set once bytes of the answer were given to the caller.
	responseStarted bool
	// relayAttempts and streamAttempts count attempts since the last byte.
	relayAttempts  int
	streamAttempts int
	// intent is set once the endpoint is known, sendBy with it.
	intent witness.Intent
	sendBy time.Time
	// afterWait is the action to take when a wait is over.
	afterWait Action
	// witnessRechecked is set once the witness was asked after the send-by time.
	witnessRechecked bool
}

// NewMachine returns the machine of a retry. Its first action is AskOwner.
func NewMachine(config Config) Machine {
	return Machine{key: config.Key, offset: config.Offset, capabilities: config.Capabilities}
}

// Begin returns the first decision.
func (m *Machine) Begin() Decision { return Decision{Action: AskOwner} }

// BeginAtEndpoint returns the first decision for the owner itself, when it no longer
// holds the bytes of an answer that an endpoint may still have.
func (m *Machine) BeginAtEndpoint(now time.Time, target owner.Target) Decision {
	intent := witness.Intent{
		Key:      m.key,
		Service:  target.Service,
		Endpoint: target.Endpoint,
		Address:  target.Address,
	}
	return m.resumeAtEndpoint(now, intent)
}

// OwnerReplied takes the owner's answer to AskOwner.
func (m *Machine) OwnerReplied(now time.Time, reply owner.LocateReply) Decision {
	switch {
	case reply.Foreign:
		return m.OwnerUnreachable()
	case reply.Expired:
		return m.refuse(outcome.Unknown, outcome.ReasonExpired)
	case reply.State == owner.StateRefused:
		return m.refuse(reply.Final.Outcome, reply.Final.Reason)
	case reply.State == owner.StateFailed && m.relayAttempts > 0:
		return m.refuse(reply.Final.Outcome, reply.Final.Reason)
	case m.relayAttempts >= maxRelayAttempts:
		return m.OwnerUnreachable()
	default:
		m.relayAttempts++
		return Decision{Action: RelayOwner, Offset: m.offset}
	}
}

// OwnerUnreachable notes that the owner gave no answer to AskOwner.
func (m *Machine) OwnerUnreachable() Decision {
	if m.key.Session.Witness.IsZero() {
		return Decision{Action: ReadLog}
	}
	return Decision{Action: AskWitness}
}

// RelayEnded notes how far the owner's answer was given to the caller and how
// it ended: Broken if the connection failed, Silent if the owner answers no
// probes, NotFound if the owner no longer has the bytes.
func (m *Machine) RelayEnded(offset int64, result Result) Decision {
	m.advance(offset)
	switch result {
	case Complete:
		return Decision{Action: Stop}
	case NotFound, Unresponsive:
		return m.OwnerUnreachable()
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
		return m.resumeAtEndpoint(now, record.Intent)
	case witness.StateFinished:
		return m.handleFinished(now, record.Intent, record.Final)
	default:
		return Decision{Action: ReadLog}
	}
}

// WitnessUnreachable notes that the witness gave no answer to AskWitness.
func (m *Machine) WitnessUnreachable() Decision { return Decision{Action: ReadLog} }

// LogReplied takes what the log has of the key; found is false if it has
// nothing. Nothing in the log proves nothing, because records come late.
func (m *Machine) LogReplied(now time.Time, record witness.Record, found bool) Decision {
	if !found {
		return m.LogUnavailable()
	}
	return m.WitnessReplied(now, record)
}

// LogUnavailable notes that the log gave no answer to ReadLog.
func (m *Machine) LogUnavailable() Decision {
	return m.refuse(outcome.Unknown, outcome.ReasonOwnerLost)
}

// StreamEnded notes how far the endpoint's stream was given to the caller and
// how it ended.
func (m *Machine) StreamEnded(now time.Time, offset int64, result Result) Decision {
	m.advance(offset)
	switch {
	case result == Complete:
		return Decision{Action: Stop}
	case result == NotFound && now.Before(m.sendBy):
		return m.wait(m.sendBy, ResumeStream)
	case result == NotFound:
		return m.refuse(outcome.Unknown, outcome.ReasonReplyLost)
	case m.streamAttempts >= maxStreamAttempts:
		return m.refuse(outcome.Unknown, outcome.ReasonReplyLost)
	default:
		return m.wait(now.Add(streamRetryDelay), ResumeStream)
	}
}

// LookupEnded notes how a lookup at a plain service ended; Whole means that
// its answer was given to the caller.
func (m *Machine) LookupEnded(now time.Time, result Result) Decision {
	switch {
	case result == Complete:
		return Decision{Action: Stop}
	case now.Before(m.sendBy):
		return m.wait(m.sendBy, Lookup)
	default:
		return m.refuse(outcome.Unknown, outcome.ReasonReplyLost)
	}
}

// WaitEnded notes that the time of a Wait has come.
func (m *Machine) WaitEnded(now time.Time) Decision {
	if m.afterWait == AskWitness {
		m.witnessRechecked = true
		return Decision{Action: AskWitness}
	}
	return m.askEndpoint(m.afterWait)
}

// resumeAtEndpoint goes to the endpoint of an intent.
func (m *Machine) resumeAtEndpoint(now time.Time, intent witness.Intent) Decision {
	m.intent = intent
	m.sendBy = now.Add(intent.SendWithin() + sendGracePeriod)
	capabilities := m.capabilities.Capabilities(intent.Service)
	switch {
	case capabilities.CanResumeStream:
		return m.askEndpoint(ResumeStream)
	case capabilities.CanLookup && !m.responseStarted:
		return m.askEndpoint(Lookup)
	case !m.witnessRechecked && !m.key.Session.Witness.IsZero():
		return m.wait(m.sendBy, AskWitness)
	default:
		return m.refuse(outcome.Unknown, outcome.ReasonReplyLost)
	}
}

// handleFinished answers with a recorded outcome.
func (m *Machine) handleFinished(now time.Time, intent witness.Intent, final witness.Final) Decision {
	if final.Status != 0 && m.offset <= int64(len(final.Answer)) {
		return Decision{Action: Replay, Offset: m.offset, Final: final}
	}
	if final.Outcome == outcome.NotRun || final.Outcome == outcome.Failed {
		return m.refuse(final.Outcome, final.Reason)
	}
	m.witnessRechecked = true
	intent.SendWithinMillis = 0
	return m.resumeAtEndpoint(now, intent)
}

func (m *Machine) askEndpoint(action Action) Decision {
	if action == ResumeStream {
		m.streamAttempts++
	}
	return Decision{Action: action, Offset: m.offset, Intent: m.intent}
}

func (m *Machine) wait(until time.Time, next Action) Decision {
	m.afterWait = next
	return Decision{Action: Wait, Until: until}
}

// advance notes that the caller has the bytes before the offset.
func (m *Machine) advance(offset int64) {
	if offset <= m.offset {
		return
	}
	m.offset = offset
	m.responseStarted = true
	m.relayAttempts = 0
	m.streamAttempts = 0
}

// refuse ends the retry. An answer that has begun cannot turn into "not run";
// the caller then sees it cut off.
func (m *Machine) refuse(requestOutcome outcome.Outcome, reason outcome.Reason) Decision {
	refusal := outcome.Refuse(requestOutcome, reason)
	if requestOutcome == outcome.Unknown {
		refusal = refusal.WithRetryAfter(retryAfter)
	}
	return Decision{Action: Refuse, Offset: m.offset, Refusal: refusal}
}
