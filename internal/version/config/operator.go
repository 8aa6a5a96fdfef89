package config

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"mustarddoor/internal/connection/platform"
	"mustarddoor/internal/version/bundle"
)

// Bounds of what operators may submit.
const (
	// MaxStampAhead bounds how far a mark's stamp may be ahead of the clock of
	// the host that it is submitted to.
	MaxStampAhead = time.Minute
	// MaxReasonBytes bounds the reason of a domain mark.
	MaxReasonBytes = 1024
	submitTimeout  = 10 * time.Second
)

// Operator accepts signed records from operators and reports their outcome. Every
// host has one.
type Operator struct {
	follower *Follower
}

// NewOperator returns the operators' interface to a follower.
func NewOperator(follower *Follower) *Operator {
	return &Operator{follower: follower}
}

// Submit accepts a signed record. A publish, approve or roll record is appended
// to the log, and its outcome is returned once this host has read it from there.
// A domain mark is in force on this host at once, spreads over the mesh and is
// appended to the log later. A record may be submitted again, to any host: it
// takes effect at most once.
func (o *Operator) Submit(ctx context.Context, raw []byte) Outcome {
	f := o.follower
	record, err := VerifyRecord(raw, f.options.Keys)
	if err != nil {
		return f.refuseSubmission(Record{}, openFailure(err))
	}
	if outcome, found := f.loggedOutcome(record.ID); found {
		return outcome
	}
	if record.Role != RoleOperator {
		return f.refuseSubmission(record, refused(ReasonRole, "%s", record.Kind))
	}
	switch record.Kind {
	case KindMark:
		return o.submitMark(record)
	case KindPublish, KindApprove, KindRoll:
		return o.submitToLog(ctx, record)
	default:
		return f.refuseSubmission(record, refused(ReasonSyntax, "records of kind %q cannot be submitted", record.Kind))
	}
}

// refuseSubmission reports the refusal of a submitted record and returns it.
func (f *Follower) refuseSubmission(record Record, outcome Outcome) Outcome {
	outcome = withRecordFields(record, outcome)
	f.reportRefusal(outcome)
	return outcome
}

// withRecordFields adds the record's id, kind and signer to an outcome.
func withRecordFields(record Record, outcome Outcome) Outcome {
	outcome.ID = record.ID
	outcome.Kind = record.Kind
	outcome.Signer = record.Signer
	return outcome
}

// loggedOutcome looks up the outcome of a record that was read from the log.
func (f *Follower) loggedOutcome(id string) (Outcome, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	outcome, found := f.outcomes.byID[id]
	return outcome, found
}

// submitMark puts a mark in force.
func (o *Operator) submitMark(record Record) Outcome {
	f := o.follower
	mark, outcome, ok := decodeMark(record)
	if !ok {
		return f.refuseSubmission(record, outcome)
	}
	if outcome, ok := f.checkMark(mark); !ok {
		return f.refuseSubmission(record, outcome)
	}
	changed := false
	f.update(func(s *State) { changed = s.joinMark(mark) })
	if !changed && f.currentState().Marks[mark.Domain].ID != mark.ID {
		return f.refuseSubmission(record, refused(ReasonOlderMark, "%s", mark.Domain))
	}
	detail := "%s is %s on this host; the mark spreads over the mesh and is appended to the log when that is available"
	return withRecordFields(record, accepted(detail, mark.Domain, exclusionText(mark.Excluded)))
}

// checkMark makes the checks that depend on the host that a mark is submitted to.
func (f *Follower) checkMark(mark Mark) (Outcome, bool) {
	limit := now().Add(MaxStampAhead).UnixMilli()
	if mark.Stamp.Millis > limit && mark.Stamp.Compare(f.lastStamp()) > 0 {
		return refused(ReasonStampAhead, "%d ms", mark.Stamp.Millis), false
	}
	if b := f.Current().Bundle; b != nil && !hasDomain(b, mark.Domain) {
		return refused(ReasonUnknownDomain, "%q; the bundle in force has %s", mark.Domain, domainNames(b)), false
	}
	return Outcome{}, true
}

func hasDomain(b *bundle.Bundle, name string) bool {
	return slices.ContainsFunc(b.Domains, func(d bundle.Domain) bool { return d.Name == name })
}

func domainNames(b *bundle.Bundle) []string {
	names := []string{}
	for _, domain := range b.Domains {
		names = append(names, domain.Name)
	}
	return names
}

// submitToLog appends a record to the log and waits until this host has read it.
func (o *Operator) submitToLog(ctx context.Context, record Record) Outcome {
	f := o.follower
	if outcome, ok := checkBeforeAppend(record); !ok {
		return f.refuseSubmission(record, outcome)
	}
	if reason, down := f.logOutage(); down {
		return withRecordFields(record, Outcome{Result: ResultUnavailable, Detail: reason})
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	waiter := f.awaitOutcome(record.ID)
	defer f.cancelAwait(record.ID, waiter)
	offset, err := f.options.Log.Append(ctx, platform.Batch{
		Stream:  platform.StreamConfig,
		Records: []platform.AppendRecord{{ID: record.ID, Data: record.Raw}},
	})
	if err != nil {
		f.metrics.appendErrors.Inc(1)
		return withRecordFields(record, appendFailure(err))
	}
	f.metrics.appended.Inc(1)
	select {
	case outcome := <-waiter:
		return outcome
	case <-ctx.Done():
		detail := fmt.Sprintf("appended at offset %d, but this host has not read it yet", offset)
		return withRecordFields(record, Outcome{Result: ResultUncertain, Detail: detail, Offset: offset})
	}
}

// checkBeforeAppend refuses a record that no host would accept, so that it takes
// no space in the log.
func checkBeforeAppend(record Record) (Outcome, bool) {
	if record.Kind != KindPublish {
		return Outcome{}, true
	}
	var body PublishBody
	if err := decMode.Unmarshal(record.Body, &body); err != nil {
		return refused(ReasonSyntax, "%v", err), false
	}
	if _, err := decodeBundle(body.Schema, body.Name, body.Digest, body.Content); err != nil {
		return refused(ReasonBundle, "%v", err), false
	}
	return Outcome{}, true
}

// appendFailure returns the outcome of a failed append: uncertain if the record
// may be in the log although it was not acknowledged.
func appendFailure(err error) Outcome {
	outcome := Outcome{Result: ResultUnavailable, Detail: err.Error()}
	if errors.Is(err, platform.ErrUncertain) {
		outcome.Result = ResultUncertain
	}
	return outcome
}

// awaitOutcome returns a channel that receives the outcome of a record once it is
// read from the log.
func (f *Follower) awaitOutcome(id string) chan Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	waiter := make(chan Outcome, 1)
	f.waiters[id] = append(f.waiters[id], waiter)
	return waiter
}

// cancelAwait unregisters a channel of awaitOutcome.
func (f *Follower) cancelAwait(id string, waiter chan Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rest := slices.DeleteFunc(f.waiters[id], func(other chan Outcome) bool { return other == waiter })
	f.waiters[id] = rest
	if len(rest) == 0 {
		delete(f.waiters, id)
	}
}

// lastStamp returns the latest stamp that this host has issued or seen.
func (f *Follower) lastStamp() Stamp {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastStampLocked()
}

func (f *Follower) lastStampLocked() Stamp {
	last := f.stamp
	for _, mark := range f.state.Marks {
		if mark.Stamp.Compare(last) > 0 {
			last = mark.Stamp
		}
	}
	return last
}

// issueStamp returns a stamp that is later than all that this host has issued or
// seen.
func (f *Follower) issueStamp() Stamp {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stamp = f.lastStampLocked().next(now().UnixMilli(), f.options.Host)
	return f.stamp
}
