package config

import (
	"fmt"
	"slices"

	"mustarddoor/internal/version/bundle"
)

func (t *transition) applyPublish() Outcome {
	var body PublishBody
	if outcome, ok := t.decodeBody(&body); !ok {
		return outcome
	}
	if head := t.state.Log.Head; head.offset() != body.Base {
		return t.lostRace(body.Base)
	}
	if slices.Contains(t.state.Log.Names, body.Name) {
		return refused(ReasonNameTaken, "%q", body.Name)
	}
	return t.setHead(body)
}

// setHead makes the published bundle the newest version, the head.
func (t *transition) setHead(body PublishBody) Outcome {
	parsed, err := decodeBundle(body.Schema, body.Name, body.Digest, body.Content)
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

// offset returns the version's offset, or zero if v is nil.
func (v *Version) offset() uint64 {
	if v == nil {
		return 0
	}
	return v.Offset
}

// lostRace returns the outcome of a record that is not based on the head. It
// names the version that won.
func (t *transition) lostRace(base uint64) Outcome {
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

// isRestart reports whether the record restarts the stream. The answer does not
// depend on the state, so that hosts agree whether or not they have read the
// preceding records.
func (t *transition) isRestart() bool {
	if t.record.Kind != KindPublish || t.record.Role != RoleOperator || t.record.Schema > RecordSchema {
		return false
	}
	var body PublishBody
	if err := decMode.Unmarshal(t.record.Body, &body); err != nil || body.RestartAt == 0 {
		return false
	}
	if t.entry.Offset < body.RestartAt || t.entry.Offset-body.RestartAt >= RestartWindow {
		return false
	}
	_, err := decodeBundle(body.Schema, body.Name, body.Digest, body.Content)
	return err == nil
}

// applyRestart discards the log state and makes the bundle the head. The version
// in force, the marks and the moves stay.
func (t *transition) applyRestart() Outcome {
	var body PublishBody
	if outcome, ok := t.decodeBody(&body); !ok {
		return outcome
	}
	t.state.Log = LogState{SequenceFloor: t.record.Sequence}.clone()
	return t.setHead(body)
}

func (t *transition) applyApprove() Outcome {
	var body ApproveBody
	if outcome, ok := t.decodeBody(&body); !ok {
		return outcome
	}
	head, outcome, ok := t.matchHead(body.Version, body.Digest)
	switch {
	case !ok:
		return outcome
	case head.Publisher == t.record.Signer:
		return refused(ReasonSelfApproval, "%s", t.record.Signer)
	case head.Approver != "":
		return refused(ReasonAlreadyApproved, "by %s", head.Approver)
	}
	head.Approver = t.record.Signer
	t.state.Log.Head = &head
	return accepted("version %d, %q, approved", head.Offset, head.Name)
}

func (t *transition) applyRoll() Outcome {
	var body RollBody
	if outcome, ok := t.decodeBody(&body); !ok {
		return outcome
	}
	head, outcome, ok := t.matchHead(body.Version, body.Digest)
	switch {
	case !ok:
		return outcome
	case head.Approver == "":
		return refused(ReasonNotApproved, "version %d, %q", head.Offset, head.Name)
	case head.Roller != "":
		return refused(ReasonAlreadyInForce, "version %d, %q", head.Offset, head.Name)
	}
	t.putInForce(head)
	return accepted("version %d, %q, in force", head.Offset, head.Name)
}

// matchHead returns a copy of the head if the operator's record refers to it by
// version and digest.
func (t *transition) matchHead(version uint64, digest string) (Version, Outcome, bool) {
	head := t.state.Log.Head
	switch {
	case head == nil || head.Offset != version:
		return Version{}, t.lostRace(version), false
	case head.Digest != digest:
		return Version{}, refused(ReasonDigest, "version %d", head.Offset), false
	}
	return *head, Outcome{}, true
}

// putInForce puts a version in force and starts its moves.
func (t *transition) putInForce(rolled Version) {
	rolled.Roller = t.record.Signer
	rolled.RollOffset = t.entry.Offset
	rolled.RolledMillis = t.entry.AppendedMillis
	rolled.Moves = t.moveIDs(rolled.bundle)
	t.state.Log.Head = &rolled
	t.state.Log.Moves = rolled.Moves
	t.state.InForce = laterVersion(t.state.InForce, &rolled)
	t.pruneVerdicts()
	t.state.pruneMoves()
}

// moveIDs returns the ids of a bundle's moves. Moves that are already in progress
// keep their id. If this release does not support the bundle's schema, the
// moves in progress stay as they are.
func (t *transition) moveIDs(b *bundle.Bundle) []MoveID {
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

func (t *transition) moveID(before []MoveID, move bundle.Move) MoveID {
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

// pruneVerdicts removes the verdicts on moves that have ended.
func (t *transition) pruneVerdicts() {
	for id := range t.state.Log.Verdicts {
		if !slices.Contains(t.state.Log.Moves, id) {
			delete(t.state.Log.Verdicts, id)
		}
	}
}
