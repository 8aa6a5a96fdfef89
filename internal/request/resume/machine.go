package resume

import (
	"time"

	"mustarddoor/internal/request/key"
	"mustarddoor/internal/request/outcome"
	"mustarddoor/internal/request/owner"
	"mustarddoor/internal/request/witness"
)

// Limits of a retry. The counts restart from zero whenever bytes of the response
// arrive.
const (
	// maxRelayAttempts is how often the response is relayed from the owner.
	maxRelayAttempts = 3
	// maxStreamAttempts is how often the endpoint is asked for the stream.
	maxStreamAttempts = 6
	// streamRetryDelay is the time between requests for the stream.
	streamRetryDelay = 250 * time.Millisecond
	// sendGracePeriod allows a request that the owner dispatched just before
	// the send-by time to reach the endpoint.
	sendGracePeriod = 250 * time.Millisecond
	// retryAfter is the retry delay sent with the outcome unknown.
	retryAfter = time.Second
)

// Config holds the parameters of a Machine.
type Config struct {
	Key key.Key
	// Offset is the first byte of the response that the caller needs.
	Offset       int64
	Capabilities CapabilitySource
}

// Machine decides the steps of one retry. It has no lock and reads no clock:
// callers serialize its use and pass readings of one monotonic clock. No step
// dispatches a request.
type Machine struct {
	key          key.Key
	capabilities CapabilitySource
	offset       int64
	// responseStarted is set once the caller has received bytes of the response.
	responseStarted bool
	// relayAttempts and streamAttempts count from the last byte received.
	relayAttempts  int
	streamAttempts int
	// intent and sendBy are set once the endpoint is known.
	intent witness.Intent
	sendBy time.Time
	// afterWait is the action that follows the current wait.
	afterWait Action
	// witnessRechecked is set once the witness was asked again after the
	// send-by time.
	witnessRechecked bool
}

// NewMachine returns a machine for one retry.
func NewMachine(config Config) Machine {
	return Machine{key: config.Key, offset: config.Offset, capabilities: config.Capabilities}
}

// Begin returns the first decision, AskOwner.
func (m *Machine) Begin() Decision { return Decision{Action: AskOwner} }

// BeginAtEndpoint returns the first decision for a retry at the owner itself,
// when it no longer holds a response that the endpoint may still have.
func (m *Machine) BeginAtEndpoint(now time.Time, target owner.Target) Decision {
	intent := witness.Intent{
		Key:      m.key,
		Service:  target.Service,
		Endpoint: target.Endpoint,
		Address:  target.Address,
	}
	return m.resumeAtEndpoint(now, intent)
}

// OwnerReplied handles the owner's reply to AskOwner.
func (m *Machine) OwnerReplied(now time.Time, reply owner.LocateReply) Decision {
	switch {
	case reply.NotOwner:
		return m.OwnerUnreachable()
	case reply.Expired:
		return m.refuse(outcome.Unknown, outcome.ReasonExpired)
	case reply.State == owner.StateRefused:
		return m.refuse(reply.Result.Outcome, reply.Result.Reason)
	case reply.State == owner.StateFailed && m.relayAttempts > 0:
		return m.refuse(reply.Result.Outcome, reply.Result.Reason)
	case m.relayAttempts >= maxRelayAttempts:
		return m.OwnerUnreachable()
	default:
		m.relayAttempts++
		return Decision{Action: RelayOwner, Offset: m.offset}
	}
}

// OwnerUnreachable handles an AskOwner without a reply.
func (m *Machine) OwnerUnreachable() Decision {
	if m.key.Session.Witness.IsZero() {
		return Decision{Action: ReadLog}
	}
	return Decision{Action: AskWitness}
}

// RelayEnded handles the end of a relay from the owner. The caller has the bytes
// before the offset. The result is Disconnected if the connection failed,
// Unresponsive if the owner answers no probes, and NotFound if the owner no
// longer has the bytes.
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

// WitnessReplied handles the witness's reply to AskWitness.
func (m *Machine) WitnessReplied(now time.Time, record witness.Record) Decision {
	switch record.State {
	case witness.StateVoid:
		return m.refuse(outcome.NotRun, outcome.ReasonVoided)
	case witness.StateIntended:
		return m.resumeAtEndpoint(now, record.Intent)
	case witness.StateFinished:
		return m.handleFinished(now, record.Intent, record.Result)
	default:
		return Decision{Action: ReadLog}
	}
}

// WitnessUnreachable handles an AskWitness without a reply.
func (m *Machine) WitnessUnreachable() Decision { return Decision{Action: ReadLog} }

// LogReplied handles the result of ReadLog; found is false if the log has no
// record of the key. A missing record does not prove that the request did not
// run, because records are appended with a delay.
func (m *Machine) LogReplied(now time.Time, record witness.Record, found bool) Decision {
	if !found {
		return m.LogUnavailable()
	}
	return m.WitnessReplied(now, record)
}

// LogUnavailable handles a failed ReadLog.
func (m *Machine) LogUnavailable() Decision {
	return m.refuse(outcome.Unknown, outcome.ReasonOwnerLost)
}

// StreamEnded handles the end of the endpoint's stream. The caller has the bytes
// before the offset.
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

// LookupEnded handles the end of a lookup at a plain service; Complete means
// that the caller has its response.
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

// WaitEnded returns the decision that follows a Wait.
func (m *Machine) WaitEnded(now time.Time) Decision {
	if m.afterWait == AskWitness {
		m.witnessRechecked = true
		return Decision{Action: AskWitness}
	}
	return m.askEndpoint(m.afterWait)
}

// resumeAtEndpoint returns the decision that fetches the response from the
// endpoint of the intent. If the service can neither resume nor look up, the
// witness is asked once more after the send-by time.
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

// handleFinished returns the decision for a request with a recorded outcome.
func (m *Machine) handleFinished(now time.Time, intent witness.Intent, final witness.Result) Decision {
	if final.Status != 0 && m.offset <= int64(len(final.Response)) {
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

// advance records that the caller has the bytes before the offset.
func (m *Machine) advance(offset int64) {
	if offset <= m.offset {
		return
	}
	m.offset = offset
	m.responseStarted = true
	m.relayAttempts = 0
	m.streamAttempts = 0
}

// refuse ends the retry. A response that has started cannot become "not run";
// the caller sees it truncated instead.
func (m *Machine) refuse(requestOutcome outcome.Outcome, reason outcome.Reason) Decision {
	refusal := outcome.Refuse(requestOutcome, reason)
	if requestOutcome == outcome.Unknown {
		refusal = refusal.WithRetryAfter(retryAfter)
	}
	return Decision{Action: Refuse, Offset: m.offset, Refusal: refusal}
}
