package member

import "mustarddoor/internal/process/timeline"

// events returns the timeline events of a change.
func (c Change) events() []timeline.Event {
	var events []timeline.Event
	add := func(kind timeline.Kind, member Member) {
		events = append(events, timeline.Event{Kind: kind, Peer: member.Incarnation, Detail: member.MeshAddress})
	}
	if c.IsNewIncarnation() {
		if !c.Before.IsZero() && !c.Before.State.IsGone() {
			add(timeline.MemberDead, c.Before)
		}
		add(timeline.MemberJoined, c.Member)
	}
	if c.Member.Leaving && !c.Member.State.IsGone() && (c.IsNewIncarnation() || !c.Before.Leaving) {
		add(timeline.MemberLeaving, c.Member)
	}
	if kind := eventKind(c.Member.State); kind != "" && c.hasStateEvent() {
		add(kind, c.Member)
	}
	return events
}

// hasStateEvent reports whether the new state gets an event of its own in
// addition to the join.
func (c Change) hasStateEvent() bool {
	if c.IsNewIncarnation() {
		return c.Member.State != StateAlive
	}
	return c.Member.State != c.Before.State
}

func eventKind(state State) timeline.Kind {
	switch state {
	case StateAlive:
		return timeline.MemberAlive
	case StateSuspect:
		return timeline.MemberSuspected
	case StateDead:
		return timeline.MemberDead
	case StateLeft:
		return timeline.MemberLeft
	}
	return ""
}
