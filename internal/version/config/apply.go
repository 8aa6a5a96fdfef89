package config

import (
	"errors"
	"fmt"
	"slices"

	"mustarddoor/internal/connection/platform"
	"mustarddoor/internal/version/bundle"
)

// step is the application of one record to a copy of a state.
type step struct {
	state  State
	keys   *Keyring
	entry  platform.Record
	record Record
}

// Apply applies the record that follows the state's offset in the log. Equal
// states and records give equal results on all hosts. A record that does not
// follow the offset is skipped, but for a bundle that restarts the stream.
func (s State) Apply(entry platform.Record, keys *Keyring) (State, Outcome) {
	if entry.Offset <= s.Log.Offset {
		return s, skipped(entry)
	}
	record, err := Open(entry.Data, keys)
	next := step{state: s.clone(), keys: keys, entry: entry, record: record}
	if err == nil && next.isRestart() {
		return next.run(next.restart)
	}
	if entry.Offset != s.Log.Offset+1 {
		return s, skipped(entry)
	}
	if err != nil {
		return next.run(func() Outcome { return refusedOpen(err) })
	}
	return next.run(next.dispatch)
}

// Adopt goes on from a record that does not need those before it: a snapshot
// that reaches to first, the oldest offset that the log has, or a bundle that
// restarts the stream. Any other record is skipped.
func (s State) Adopt(entry platform.Record, first uint64, keys *Keyring) (State, Outcome) {
	record, err := Open(entry.Data, keys)
	if err != nil {
		return s, skipped(entry)
	}
	if record.Kind == KindPublish {
		return s.Apply(entry, keys)
	}
	snapshot, _, ok := readSnapshot(record)
	if !ok || snapshot.Log.Offset+1 < first || snapshot.Log.Offset >= entry.Offset {
		return s, skipped(entry)
	}
	outcome := describe(record, accepted("state at offset %d", snapshot.Log.Offset))
	return Merge(s, snapshot).clone(), outcome
}

func skipped(entry platform.Record) Outcome {
	return Outcome{Result: ResultSkipped, Offset: entry.Offset, ID: entry.ID}
}

// run runs the application and completes the state and the outcome.
func (t *step) run(apply func() Outcome) (State, Outcome) {
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

// refusedOpen tells why a record could not be opened.
func refusedOpen(err error) Outcome {
	switch {
	case errors.Is(err, ErrUnknownSigner):
		return refused(ReasonSigner, "%v", err)
	case errors.Is(err, ErrSignature):
		return refused(ReasonSignature, "%v", err)
	default:
		return refused(ReasonSyntax, "%v", err)
	}
}

// dispatch applies the record by its kind.
func (t *step) dispatch() Outcome {
	if t.record.Schema > RecordSchema {
		return t.keepUnknown()
	}
	switch t.record.Kind {
	case KindPublish:
		return t.byOperator(t.publish)
	case KindApprove:
		return t.byOperator(t.approve)
	case KindRoll:
		return t.byOperator(t.roll)
	case KindMark:
		return t.mark()
	case KindVerdict:
		return t.verdict()
	case KindSnapshot:
		return t.snapshot()
	default:
		return t.keepUnknown()
	}
}

// keepUnknown keeps a record of a newer release.
func (t *step) keepUnknown() Outcome {
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

// byOperator applies a record that only operators may write and that may take
// effect once. The sequence counts as used whatever the outcome is.
func (t *step) byOperator(apply func() Outcome) Outcome {
	if t.record.Role != RoleOperator {
		return refused(ReasonRole, "%s", t.record.Kind)
	}
	log := &t.state.Log
	last := max(log.SequenceFloor, log.Sequences[t.record.Signer])
	if t.record.Sequence <= last {
		return refused(ReasonReplay, "sequence %d after %d", t.record.Sequence, last)
	}
	log.Sequences[t.record.Signer] = t.record.Sequence
	return apply()
}

// decode decodes the record's body; a body that is not of its kind is refused.
func (t *step) decode(body any) (Outcome, bool) {
	if err := decoding.Unmarshal(t.record.Body, body); err != nil {
		return refused(ReasonSyntax, "%s: %v", t.record.Kind, err), false
	}
	return Outcome{}, true
}

func (t *step) publish() Outcome {
	var body PublishBody
	if outcome, ok := t.decode(&body); !ok {
		return outcome
	}
	if head := t.state.Log.Head; head.offset() != body.Base {
		return t.lostRace(body.Base)
	}
	if slices.Contains(t.state.Log.Names, body.Name) {
		return refused(ReasonName, "%q", body.Name)
	}
	return t.takeHead(body)
}

// takeHead makes the published bundle the newest version.
func (t *step) takeHead(body PublishBody) Outcome {
	parsed, err := readBundle(body.Schema, body.Name, body.Digest, body.Content)
	if err != nil {
		return refused(ReasonBundle, "%v", err)
	}
	log := &t.state.Log
	log.Head = &Version{
		Offset:          t.entry.Offset,
		Name:            body.Name,
		Publisher:       t.record.Signer,
		Digest:          body.Digest,
		Schema:          body.Schema,
		Content:         body.Content,
		PublishedMillis: t.entry.AppendedMillis,
		bundle:          parsed,
	}
	log.Names = append(slices.Clone(log.Names), body.Name)
	if len(log.Names) > maxNames {
		log.Names = log.Names[1:]
	}
	return accepted("version %d is %q", t.entry.Offset, body.Name)
}

// offset gives the version's offset, or zero for none.
func (v *Version) offset() uint64 {
	if v == nil {
		return 0
	}
	return v.Offset
}

// lostRace tells the operator who was first.
func (t *step) lostRace(base uint64) Outcome {
	head := t.state.Log.Head
	outcome := Outcome{Result: ResultLostRace, Winner: head.Info()}
	if head == nil {
		outcome.Detail = fmt.Sprintf("based on version %d, but there is none", base)
		return outcome
	}
	outcome.Detail = fmt.Sprintf("based on version %d, but the newest is %d, %q by %s",
		base, head.Offset, head.Name, head.Publisher)
	return outcome
}

// isRestart reports whether the record restarts the stream. The answer does
// not depend on the state, so that hosts with and without the records before it
// agree.
func (t *step) isRestart() bool {
	if t.record.Kind != KindPublish || t.record.Role != RoleOperator || t.record.Schema > RecordSchema {
		return false
	}
	var body PublishBody
	if err := decoding.Unmarshal(t.record.Body, &body); err != nil || body.RestartAt == 0 {
		return false
	}
	if t.entry.Offset < body.RestartAt || t.entry.Offset-body.RestartAt >= RestartWindow {
		return false
	}
	_, err := readBundle(body.Schema, body.Name, body.Digest, body.Content)
	return err == nil
}

// restart forgets what the log said before and takes the bundle as the newest
// version. The version in force, marks and moves stay.
func (t *step) restart() Outcome {
	var body PublishBody
	if outcome, ok := t.decode(&body); !ok {
		return outcome
	}
	t.state.Log = LogState{SequenceFloor: t.record.Sequence}.clone()
	return t.takeHead(body)
}

func (t *step) approve() Outcome {
	var body ApproveBody
	if outcome, ok := t.decode(&body); !ok {
		return outcome
	}
	head := t.state.Log.Head
	switch {
	case head == nil || head.Offset != body.Version:
		return t.lostRace(body.Version)
	case head.Digest != body.Digest:
		return refused(ReasonDigest, "version %d", head.Offset)
	case head.Publisher == t.record.Signer:
		return refused(ReasonSelf, "%s", t.record.Signer)
	case head.Approver != "":
		return refused(ReasonApproved, "by %s", head.Approver)
	}
	approved := *head
	approved.Approver = t.record.Signer
	t.state.Log.Head = &approved
	return accepted("version %d, %q, approved", head.Offset, head.Name)
}

func (t *step) roll() Outcome {
	var body RollBody
	if outcome, ok := t.decode(&body); !ok {
		return outcome
	}
	head := t.state.Log.Head
	switch {
	case head == nil || head.Offset != body.Version:
		return t.lostRace(body.Version)
	case head.Digest != body.Digest:
		return refused(ReasonDigest, "version %d", head.Offset)
	case head.Approver == "":
		return refused(ReasonNotApproved, "version %d, %q", head.Offset, head.Name)
	case head.Roller != "":
		return refused(ReasonInForce, "version %d, %q", head.Offset, head.Name)
	}
	t.putInForce(*head)
	return accepted("version %d, %q, in force", head.Offset, head.Name)
}

// putInForce puts a version in force and begins its moves.
func (t *step) putInForce(rolled Version) {
	rolled.Roller = t.record.Signer
	rolled.RollOffset = t.entry.Offset
	rolled.RolledMillis = t.entry.AppendedMillis
	rolled.Moves = t.movesOf(rolled.bundle)
	t.state.Log.Head = &rolled
	t.state.Log.Moves = rolled.Moves
	t.state.InForce = laterVersion(t.state.InForce, &rolled)
	t.pruneVerdicts()
	t.state.pruneMoves()
}

// movesOf gives the moves of a bundle; those that were under way keep their id.
// A bundle that this release does not know has the moves that were under way.
func (t *step) movesOf(b *bundle.Bundle) []MoveID {
	before := t.state.Log.Moves
	if b == nil {
		return before
	}
	moves := []MoveID{}
	for _, move := range b.Moves {
		moves = append(moves, t.moveID(before, move))
	}
	return moves
}

func (t *step) moveID(before []MoveID, move bundle.Move) MoveID {
	for _, id := range before {
		if id.Service == move.Service && id.From == move.From && id.To == move.To {
			return id
		}
	}
	return MoveID{
		Service:     move.Service,
		From:        move.From,
		To:          move.To,
		Since:       t.entry.Offset,
		SinceMillis: t.entry.AppendedMillis,
	}
}

// pruneVerdicts drops the verdicts on moves that have ended.
func (t *step) pruneVerdicts() {
	for id := range t.state.Log.Verdicts {
		if !slices.Contains(t.state.Log.Moves, id) {
			delete(t.state.Log.Verdicts, id)
		}
	}
}

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
