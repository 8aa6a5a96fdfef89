package config

import (
	"errors"
	"fmt"
	"slices"

	"mustarddoor/internal/connection/platform"
)

// transition applies one record to a copy of a state.
type transition struct {
	state  State
	keys   *Keyring
	entry  platform.Record
	record Record
}

// Apply applies the record that directly follows the state's offset in the log.
// It is deterministic: equal states and records give equal results on all
// hosts. Any other record is skipped, except a bundle that restarts the stream.
func (s State) Apply(entry platform.Record, keys *Keyring) (State, Outcome) {
	if entry.Offset <= s.Log.Offset {
		return s, skipped(entry)
	}
	record, err := VerifyRecord(entry.Data, keys)
	next := transition{state: s.clone(), keys: keys, entry: entry, record: record}
	if err == nil && next.isRestart() {
		return next.run(next.applyRestart)
	}
	if entry.Offset != s.Log.Offset+1 {
		return s, skipped(entry)
	}
	if err != nil {
		return next.run(func() Outcome { return openFailure(err) })
	}
	return next.run(next.applyByKind)
}

// Adopt continues after a gap from a record that does not depend on the records
// before it: a snapshot whose state reaches up to first, the oldest offset in
// the log, or a bundle that restarts the stream. Any other record is skipped.
func (s State) Adopt(entry platform.Record, first uint64, keys *Keyring) (State, Outcome) {
	record, err := VerifyRecord(entry.Data, keys)
	if err != nil {
		return s, skipped(entry)
	}
	if record.Kind == KindPublish {
		return s.Apply(entry, keys)
	}
	snapshot, _, ok := decodeSnapshot(record)
	if !ok || snapshot.Log.Offset+1 < first || snapshot.Log.Offset >= entry.Offset {
		return s, skipped(entry)
	}
	outcome := withRecordFields(record, accepted("state at offset %d", snapshot.Log.Offset))
	return Merge(s, snapshot).clone(), outcome
}

func skipped(entry platform.Record) Outcome {
	return Outcome{Result: ResultSkipped, Offset: entry.Offset, ID: entry.ID}
}

// run calls apply and fills in the offset of the state and the record fields of
// the outcome.
func (t *transition) run(apply func() Outcome) (State, Outcome) {
	outcome := apply()
	t.state.Log.Offset = t.entry.Offset
	if t.state.Log.SnapshotMillis == 0 {
		t.state.Log.SnapshotMillis = t.entry.AppendedMillis
	}
	outcome.Offset = t.entry.Offset
	outcome.ID = t.record.ID
	outcome.Kind = t.record.Kind
	outcome.Signer = t.record.Signer
	if outcome.ID == "" {
		outcome.ID = t.entry.ID
	}
	return t.state, outcome
}

func accepted(format string, arguments ...any) Outcome {
	return Outcome{Result: ResultAccepted, Detail: fmt.Sprintf(format, arguments...)}
}

func refused(reason Reason, format string, arguments ...any) Outcome {
	return Outcome{Result: ResultRefused, Reason: reason, Detail: fmt.Sprintf(format, arguments...)}
}

// openFailure returns the outcome of a record that VerifyRecord rejected.
func openFailure(err error) Outcome {
	switch {
	case errors.Is(err, ErrUnknownSigner):
		return refused(ReasonUnknownSigner, "%v", err)
	case errors.Is(err, ErrInvalidSignature):
		return refused(ReasonSignature, "%v", err)
	default:
		return refused(ReasonSyntax, "%v", err)
	}
}

// applyByKind applies the record according to its kind.
func (t *transition) applyByKind() Outcome {
	if t.record.Schema > RecordSchema {
		return t.keepUnknown()
	}
	switch t.record.Kind {
	case KindPublish:
		return t.applyOperatorRecord(t.applyPublish)
	case KindApprove:
		return t.applyOperatorRecord(t.applyApprove)
	case KindRoll:
		return t.applyOperatorRecord(t.applyRoll)
	case KindMark:
		return t.applyMark()
	case KindVerdict:
		return t.applyVerdict()
	case KindSnapshot:
		return t.applySnapshot()
	default:
		return t.keepUnknown()
	}
}

// keepUnknown retains a record that only a newer release understands.
func (t *transition) keepUnknown() Outcome {
	log := &t.state.Log
	log.UnknownCount++
	kept := append(slices.Clone(log.Unknown), UnknownRecord{
		Offset: t.entry.Offset,
		Kind:   t.record.Kind,
		Schema: t.record.Schema,
		Raw:    t.record.Raw,
	})
	for len(kept) > maxUnknown || unknownBytes(kept) > maxUnknownBytes {
		kept = kept[1:]
	}
	log.Unknown = kept
	return Outcome{Result: ResultUnknown, Detail: fmt.Sprintf("schema %d", t.record.Schema)}
}

func unknownBytes(records []UnknownRecord) int {
	sum := 0
	for _, record := range records {
		sum += len(record.Raw)
	}
	return sum
}

// applyOperatorRecord applies a record that only operators may write and that
// may take effect only once. Its sequence counts as used whatever the outcome.
func (t *transition) applyOperatorRecord(apply func() Outcome) Outcome {
	if t.record.Role != RoleOperator {
		return refused(ReasonRole, "%s", t.record.Kind)
	}
	log := &t.state.Log
	last := max(log.SequenceFloor, log.Sequences[t.record.Signer])
	if t.record.Sequence <= last {
		return refused(ReasonReplay, "sequence %d, but the last one is %d", t.record.Sequence, last)
	}
	log.Sequences[t.record.Signer] = t.record.Sequence
	return apply()
}

// decodeBody decodes the record's body. A body that does not match the kind is
// refused.
func (t *transition) decodeBody(body any) (Outcome, bool) {
	if err := decMode.Unmarshal(t.record.Body, body); err != nil {
		return refused(ReasonSyntax, "%s: %v", t.record.Kind, err), false
	}
	return Outcome{}, true
}
