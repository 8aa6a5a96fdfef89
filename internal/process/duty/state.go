package duty

import (
	"bytes"
	"errors"
	"maps"
	"slices"
	"time"

	"mustarddoor/internal/process/keyed"
)

// state decides on the lease of one host. Times are those of a clock that counts the
// time in which the host is suspended; only differences between times of this host are
// used. It makes no calls: next returns the one to make, and the other methods take
// the results.
type state struct {
	Config

	// isSeen is set once the records were read, isKnown while the partition is known to
	// end at position unless another host writes.
	isSeen, isKnown bool
	position        keyed.Position
	// newest is the claim in force; nil if there is none.
	newest *claim
	// changedAt is when this host first saw the newest record.
	changedAt time.Time
	values    map[string]savedValue
	// unsaved holds the keys of values that have to be saved again.
	unsaved []string

	// own is the claim of the last grant, number that of the last claim of this process.
	// Claims from firstNumber on were made on top of what it had read in claimEra.
	own         claim
	number      uint64
	firstNumber uint64
	claimEra    uint64
	isHeld      bool
	// until is when the lease lapses, lastUntil when the last one did, or when the
	// process started: an earlier process may have held one.
	until, lastUntil time.Time
	renewedAt        time.Time
	heldSince        time.Time

	polledAt, retryAt time.Time
	// stoppedAt is when the host began to give up the duties, zero if it does not, and
	// restsUntil until when it does not claim them; zero for good.
	stoppedAt, restsUntil time.Time
}

func newState(config Config, now time.Time) *state {
	return &state{Config: config, lastUntil: now, values: map[string]savedValue{}}
}

type actionKind int

const (
	actionNone actionKind = iota
	// actionLoad reads all records, actionPoll those from the known position on.
	actionLoad
	actionPoll
	// The others append a record on condition that the partition ends at position.
	actionClaim
	actionRenew
	actionRelease
	actionSave
)

// action is a call to the store.
type action struct {
	kind     actionKind
	position keyed.Position
	record   keyed.Record
	claim    claim
	// wait is how long a poll waits for records.
	wait   time.Duration
	sentAt time.Time
}

// grant returns the fencing token if this host may send a call now.
func (s *state) grant(now time.Time) (token uint64, isGranted bool) {
	if !s.isHeld || !now.Before(s.until) || !s.stoppedAt.IsZero() {
		return 0, false
	}
	return s.own.Token, true
}

// next returns the call to make. isCandidate is set if this host is one of those that
// take over, timeOfDay is in Unix milliseconds.
func (s *state) next(now time.Time, isCandidate bool, timeOfDay int64) action {
	if !s.restsUntil.IsZero() && !now.Before(s.restsUntil) {
		s.stoppedAt, s.restsUntil = time.Time{}, time.Time{}
	}
	switch {
	case now.Before(s.retryAt):
		return action{}
	case !s.isHeld && (!isCandidate || !s.stoppedAt.IsZero()):
		s.isKnown = false // other hosts may write
		return action{}
	case !s.isKnown:
		return action{kind: actionLoad, sentAt: now}
	case s.isHeld:
		return s.nextOfHolder(now, timeOfDay)
	case s.mayClaim(now):
		return s.newClaim(now, timeOfDay)
	case now.Sub(s.polledAt) >= s.interval()/minPollShare:
		s.polledAt = now
		return action{kind: actionPoll, position: s.position, wait: s.pollWait(now), sentAt: now}
	}
	return action{}
}

// pollWait returns how long a poll waits for records: longer than there are none while the
// holder runs, but not beyond the time to take over.
func (s *state) pollWait(now time.Time) time.Duration {
	wait := s.interval() + s.interval()/minPollShare
	if left := s.changedAt.Add(s.watch()).Sub(now); left > 0 {
		wait = min(wait, left)
	}
	return wait
}

func (s *state) nextOfHolder(now time.Time, timeOfDay int64) action {
	switch {
	case s.position.Era != s.claimEra && !now.Before(s.until):
		s.end(now)
		s.isKnown = false
		return action{}
	case !s.stoppedAt.IsZero():
		if now.Sub(s.stoppedAt) < releaseDelay {
			return action{}
		}
		// Another host may claim as soon as the record is sent.
		s.end(now)
		released := s.own
		released.IsReleased = true
		return s.newAppend(actionRelease, released, now)
	case len(s.unsaved) > 0:
		return s.newSave(s.unsaved[0], s.values[s.unsaved[0]].Value, now)
	case s.position.Era != s.claimEra:
		return s.newClaim(now, timeOfDay)
	case now.Sub(s.renewedAt) >= s.interval():
		renewed := s.own
		renewed.Renewal++
		return s.newAppend(actionRenew, renewed, now)
	}
	return action{}
}

// mayClaim reports whether this host may claim the duties, which it does not hold.
func (s *state) mayClaim(now time.Time) bool {
	if s.isOwn(s.newest) {
		// An append of this host was not answered, or its lease has lapsed. Nobody
		// has claimed since.
		return true
	}
	if now.Sub(s.lastUntil) < s.returnDelay() {
		return false
	}
	isFree := s.newest != nil && s.newest.IsReleased && s.newest.Era == s.position.Era
	return isFree || now.Sub(s.changedAt) >= s.watch()
}

// isOwn reports whether a claim is one of this process that it has made on top of what it
// had read in the present era.
func (s *state) isOwn(c *claim) bool {
	return c != nil && c.Holder == s.Holder && c.Incarnation == s.Incarnation && c.Number >= s.firstNumber &&
		s.firstNumber > 0 && s.claimEra == s.position.Era
}

// newClaim returns the append of a new claim.
func (s *state) newClaim(now time.Time, timeOfDay int64) action {
	s.number++
	made := claim{Holder: s.Holder, Incarnation: s.Incarnation, Number: s.number, Era: s.position.Era, Since: timeOfDay}
	switch {
	case s.isHeld:
		made.Since = s.own.Since // this host has saved the values of the earlier era again
	case s.newest != nil && s.newest.Era == s.position.Era && len(s.outdated()) == 0:
		made.Since = s.newest.Since
	}
	if !s.isHeld && (s.firstNumber == 0 || s.claimEra != s.position.Era) {
		s.firstNumber, s.claimEra = made.Number, s.position.Era
	}
	return s.newAppend(actionClaim, made, now)
}

func (s *state) newAppend(kind actionKind, c claim, now time.Time) action {
	value, err := wire.Marshal(c)
	if err != nil {
		return action{} // no claim fails to encode
	}
	return action{kind: kind, position: s.position, record: keyed.Record{Key: claimKey, Value: value}, claim: c, sentAt: now}
}

// newSave returns the append of a value.
func (s *state) newSave(key string, value []byte, now time.Time) action {
	record, err := wire.Marshal(savedValue{Era: s.position.Era, Value: value})
	if err != nil {
		return action{} // bytes do not fail to encode
	}
	return action{kind: actionSave, position: s.position, record: keyed.Record{Key: key, Value: record}, sentAt: now}
}

// outdated returns the keys of values of an earlier era. The holder saves them again, so
// that a value of an earlier era that replaces another one late is recognized.
func (s *state) outdated() []string {
	var keys []string
	for _, key := range slices.Sorted(maps.Keys(s.values)) {
		if s.values[key].Era != s.position.Era {
			keys = append(keys, key)
		}
	}
	return keys
}

// loaded takes the result of a load.
func (s *state) loaded(snapshot keyed.Snapshot, now time.Time) {
	if s.isSeen && snapshot.Era < s.position.Era {
		s.failed(action{kind: actionLoad}, keyed.ErrOutdated, now)
		return
	}
	if !s.isSeen || snapshot.Position != s.position {
		s.changedAt = now
	}
	s.isSeen, s.isKnown, s.position, s.polledAt = true, true, snapshot.Position, now
	s.newest = decodeClaim(snapshot.Values[claimKey])
	stored := map[string]savedValue{}
	for key, record := range snapshot.Values {
		if saved, isValid := decodeSaved(record); isValid && key != claimKey {
			stored[key] = saved
		}
	}
	s.settle(now)
	s.unsaved = nil
	if !s.isHeld {
		s.values = stored
		return
	}
	// The store was restored, or a late append of an earlier holder was added.
	for _, key := range slices.Sorted(maps.Keys(s.values)) {
		if !bytes.Equal(s.values[key].Value, stored[key].Value) || stored[key].Era != s.position.Era {
			s.unsaved = append(s.unsaved, key)
		}
	}
}

// read takes the result of a poll.
func (s *state) read(batch keyed.Batch, now time.Time) {
	if batch.Next.Era != s.position.Era {
		s.isKnown = false
		return
	}
	for _, record := range batch.Records {
		saved, isValid := decodeSaved(record.Value)
		switch {
		case record.Key == claimKey:
			s.newest = decodeClaim(record.Value)
		case isValid:
			s.values[record.Key] = saved
		default:
			delete(s.values, record.Key)
		}
		s.changedAt = now
	}
	s.position = batch.Next
	s.settle(now)
}

// settle ends the grant if the records show that another host has claimed the duties, or
// may have.
func (s *state) settle(now time.Time) {
	isLost := s.isHeld && !s.isOwn(s.newest)
	if s.position.Era != s.claimEra {
		// The store was restored. Until this lease lapses, no other host takes over.
		isTaken := s.newest != nil && s.newest.Era == s.position.Era && s.newest.Incarnation != s.Incarnation
		isLost = s.isHeld && (isTaken || !now.Before(s.until))
	}
	if isLost {
		s.end(now)
	}
}

// end ends the grant.
func (s *state) end(now time.Time) {
	s.isHeld, s.unsaved = false, nil
	s.lastUntil = s.until
	if now.Before(s.until) {
		s.lastUntil = now
	}
}

// appended takes the answer of an append, which ends at end. It reports whether the record
// was added to what this host had read.
func (s *state) appended(a action, end keyed.Position, now time.Time) bool {
	if end.Era != a.position.Era || s.position != a.position {
		s.isKnown = false // the store was restored in between
		return false
	}
	s.position, s.changedAt = end, now
	until := a.sentAt.Add(s.LeaseDuration - s.LeaseDuration/sendMarginShare)
	switch a.kind {
	case actionClaim:
		return s.claimed(a, until)
	case actionRenew:
		s.own, s.newest = a.claim, &a.claim
	case actionRelease:
		s.newest = &a.claim
	case actionSave:
		s.values[a.record.Key], _ = decodeSaved(a.record.Value)
		s.unsaved = slices.DeleteFunc(s.unsaved, func(key string) bool { return key == a.record.Key })
	}
	if s.isHeld && end.Era == s.claimEra {
		s.until, s.renewedAt = until, a.sentAt
	}
	return true
}

// claimed takes the answer of a claim.
func (s *state) claimed(a action, until time.Time) bool {
	token, isValid := fencingToken(s.position)
	s.newest = &a.claim
	if !isValid {
		return false
	}
	if !s.isHeld {
		s.heldSince, s.unsaved = a.sentAt, s.outdated()
	}
	if s.claimEra != s.position.Era {
		s.firstNumber, s.claimEra = a.claim.Number, s.position.Era
	}
	s.own = a.claim
	s.own.Token = token
	s.isHeld, s.until, s.renewedAt = true, until, a.sentAt
	return true
}

// failed takes the error of a call.
func (s *state) failed(a action, err error, now time.Time) {
	isAppend := a.kind != actionLoad && a.kind != actionPoll
	switch {
	case errors.Is(err, keyed.ErrConflict) || errors.Is(err, keyed.ErrTrimmed):
		s.isKnown = false
		return
	case isAppend && !errors.Is(err, keyed.ErrRefused):
		s.isKnown = false // the record may be added later
	}
	s.retryAt = now.Add(retryDelay)
}

// stop begins the end of this host: it sends nothing any more, and then releases the
// duties.
func (s *state) stop(now time.Time) {
	if s.stoppedAt.IsZero() {
		s.stoppedAt = now
	}
	s.restsUntil = time.Time{}
}

// yield gives up the duties as stop does, for some time.
func (s *state) yield(now time.Time, rest time.Duration) {
	if s.isHeld && s.stoppedAt.IsZero() {
		s.stoppedAt, s.restsUntil = now, now.Add(rest)
	}
}
