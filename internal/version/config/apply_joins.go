package config

import "slices"

func (t *step) mark() Outcome {
	mark, outcome, ok := readMark(t.record)
	if !ok {
		return outcome
	}
	logged := t.state.Log.Marks
	if known, found := logged[mark.Domain]; !found && len(logged) < maxMarks || found && known.Compare(mark.Stamp) < 0 {
		logged[mark.Domain] = mark.Stamp
	}
	if !t.state.joinMark(mark) && t.state.Marks[mark.Domain].ID != mark.ID {
		return refused(ReasonOlderMark, "%s", mark.Domain)
	}
	return accepted("%s is %s", mark.Domain, inOrOut(mark.Out))
}

func inOrOut(out bool) string {
	if out {
		return "out of service"
	}
	return "in service"
}

// readMark decodes a mark record. The stamp takes the place of a sequence: an
// old mark never beats a later one, however often it comes.
func readMark(record Record) (Mark, Outcome, bool) {
	var body MarkBody
	if record.Role != RoleOperator {
		return Mark{}, refused(ReasonRole, "%s", record.Kind), false
	}
	if err := decoding.Unmarshal(record.Body, &body); err != nil {
		return Mark{}, refused(ReasonSyntax, "%s: %v", record.Kind, err), false
	}
	if len(body.Reason) > MaxReasonBytes || len(body.Domain) > MaxReasonBytes {
		return Mark{}, refused(ReasonSyntax, "%s: text longer than %d bytes", record.Kind, MaxReasonBytes), false
	}
	mark := Mark{
		Domain:   body.Domain,
		Out:      body.Out,
		Reason:   body.Reason,
		Stamp:    body.Stamp,
		Operator: record.Signer,
		ID:       record.ID,
		Raw:      record.Raw,
	}
	return mark, Outcome{}, true
}

func (t *step) verdict() Outcome {
	var body VerdictBody
	if t.record.Role != RoleHost {
		return refused(ReasonRole, "%s", t.record.Kind)
	}
	if outcome, ok := t.decode(&body); !ok {
		return outcome
	}
	if slices.Contains(t.state.Log.Moves, body.Move) {
		verdicts := t.state.Log.Verdicts
		verdicts[body.Move] = verdicts[body.Move].Join(body.State)
	}
	t.state.joinMove(body.Move, body.State)
	return accepted("move of %s to %s: %s", body.Move.Service, body.Move.To, body.State.Verdict)
}

func (t *step) snapshot() Outcome {
	snapshot, outcome, ok := readSnapshot(t.record)
	if !ok {
		return outcome
	}
	if snapshot.Log.Offset >= t.entry.Offset {
		return refused(ReasonSnapshot, "offset %d", snapshot.Log.Offset)
	}
	t.state = Merge(t.state, snapshot).clone()
	t.state.Log.Snapshot = t.entry.Offset
	t.state.Log.SnapshotMillis = t.entry.AppendedMillis
	return accepted("state at offset %d", snapshot.Log.Offset)
}
