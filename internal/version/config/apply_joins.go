package config

import "slices"

func (t *transition) applyMark() Outcome {
	mark, outcome, ok := decodeMark(t.record)
	if !ok {
		return outcome
	}
	loggedStamps := t.state.Log.Marks
	if known, found := loggedStamps[mark.Domain]; !found && len(loggedStamps) < maxMarks || found && known.Compare(mark.Stamp) < 0 {
		loggedStamps[mark.Domain] = mark.Stamp
	}
	if !t.state.joinMark(mark) && t.state.Marks[mark.Domain].ID != mark.ID {
		return refused(ReasonOlderMark, "%s", mark.Domain)
	}
	return accepted("%s is %s", mark.Domain, exclusionText(mark.Excluded))
}

func exclusionText(excluded bool) string {
	if excluded {
		return "out of service"
	}
	return "in service"
}

// decodeMark decodes a mark record. Marks are ordered by stamp instead of by
// sequence: an older mark never replaces a later one, however often it arrives.
func decodeMark(record Record) (Mark, Outcome, bool) {
	var body MarkBody
	if record.Role != RoleOperator {
		return Mark{}, refused(ReasonRole, "%s", record.Kind), false
	}
	if err := decMode.Unmarshal(record.Body, &body); err != nil {
		return Mark{}, refused(ReasonSyntax, "%s: %v", record.Kind, err), false
	}
	if len(body.Reason) > MaxReasonBytes || len(body.Domain) > MaxReasonBytes {
		return Mark{}, refused(ReasonSyntax, "%s: text longer than %d bytes", record.Kind, MaxReasonBytes), false
	}
	mark := Mark{
		Domain:   body.Domain,
		Excluded: body.Excluded,
		Reason:   body.Reason,
		Stamp:    body.Stamp,
		Operator: record.Signer,
		ID:       record.ID,
		Raw:      record.Raw,
	}
	return mark, Outcome{}, true
}

func (t *transition) applyVerdict() Outcome {
	var body VerdictBody
	if t.record.Role != RoleHost {
		return refused(ReasonRole, "%s", t.record.Kind)
	}
	if outcome, ok := t.decodeBody(&body); !ok {
		return outcome
	}
	if slices.Contains(t.state.Log.Moves, body.Move) {
		verdicts := t.state.Log.Verdicts
		verdicts[body.Move] = verdicts[body.Move].Join(body.State)
	}
	t.state.joinMove(body.Move, body.State)
	return accepted("move of %s to %s: %s", body.Move.Service, body.Move.To, body.State.Verdict)
}

func (t *transition) applySnapshot() Outcome {
	snapshot, outcome, ok := decodeSnapshot(t.record)
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
