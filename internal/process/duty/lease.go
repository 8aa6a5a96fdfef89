package duty

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"mustarddoor/internal/process/keyed"
	"mustarddoor/internal/process/pause"
)

// Ports are what a lease works with.
type Ports struct {
	Store keyed.Store
	// Partition is the keyed partition of the claims and saved values.
	Partition keyed.Partition
	// Now returns the time of a clock that counts the time in which the host is
	// suspended. It need not be the time of day.
	Now func() time.Time
	// TimeOfDay returns the time of day.
	TimeOfDay func() time.Time
	// IsCandidate reports whether this host is one of those that take over. The others
	// make no calls to the store.
	IsCandidate func() bool
	Log         *logrus.Entry
	Metrics     metrics.Registry
}

// Lease claims the duties for this host. It implements Holder and is safe for concurrent
// use.
type Lease struct {
	ports Ports
	calls sync.Mutex // held during a call to the store

	mu    sync.Mutex
	state *state

	claims, losses metrics.Counter
}

var _ Holder = (*Lease)(nil)

const (
	// checkInterval is the time between checks whether a call is due.
	checkInterval = 100 * time.Millisecond
	// callTimeout limits a call to the store, in addition to the time for which it waits
	// for records.
	callTimeout = 800 * time.Millisecond
	// maxSaveCalls limits the calls of one Save.
	maxSaveCalls = 4
)

// NewLease returns a lease that does nothing until it runs.
func NewLease(config Config, ports Ports) *Lease {
	l := &Lease{
		ports: ports, state: newState(config, ports.Now()),
		claims: metrics.GetOrRegisterCounter("duties.claims", ports.Metrics),
		losses: metrics.GetOrRegisterCounter("duties.losses", ports.Metrics),
	}
	ports.Metrics.GetOrRegister("duties.held_ms", metrics.NewFunctionalGauge(func() int64 { return l.Status().HeldMillis }))
	return l
}

// Run claims and renews the lease until ctx is done.
func (l *Lease) Run(ctx context.Context) error {
	for pause.For(ctx, checkInterval) {
		l.calls.Lock()
		l.step(ctx)
		l.calls.Unlock()
	}
	return nil
}

// step makes the call to the store that is due, if any. The caller holds calls.
func (l *Lease) step(ctx context.Context) {
	isCandidate := l.ports.IsCandidate()
	l.mu.Lock()
	a := l.state.next(l.ports.Now(), isCandidate, l.ports.TimeOfDay().UnixMilli())
	l.mu.Unlock()
	if a.kind != actionNone {
		_ = l.perform(ctx, a) // the state decides what follows from an error
	}
}

// perform makes a call to the store and passes on its result. The caller holds calls.
func (l *Lease) perform(ctx context.Context, a action) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+a.wait)
	defer cancel()
	var (
		snapshot keyed.Snapshot
		batch    keyed.Batch
		end      keyed.Position
		err      error
	)
	switch a.kind {
	case actionLoad:
		snapshot, err = l.ports.Store.Newest(ctx, l.ports.Partition)
	case actionPoll:
		batch, err = l.ports.Store.Read(ctx, l.ports.Partition, a.position, a.wait)
	default:
		end, err = l.ports.Store.Append(ctx, l.ports.Partition, a.record, &a.position.Offset)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now, before := l.ports.Now(), l.state.own
	wasHeld := l.state.isHeld
	switch {
	case err != nil:
		l.state.failed(a, err, now)
	case a.kind == actionLoad:
		l.state.loaded(snapshot, now)
	case a.kind == actionPoll:
		l.state.read(batch, now)
	case !l.state.appended(a, end, now):
		err = eris.Wrapf(keyed.ErrUnanswered, "append to %v: the store was restored", l.ports.Partition)
	}
	l.logChange(wasHeld, before.Token)
	if a.kind == actionRelease {
		l.ports.Log.WithError(err).WithField("fencing_token", before.Token).Info("duties released")
	}
	return err
}

// logChange logs and counts a change of the grant. The caller holds mu.
func (l *Lease) logChange(wasHeld bool, before uint64) {
	s := l.state
	fields := logrus.Fields{"era": s.position.Era, "offset": s.position.Offset, "fencing_token": s.own.Token}
	switch {
	case s.isHeld && (!wasHeld || s.own.Token != before):
		l.claims.Inc(1)
		l.ports.Log.WithFields(fields).WithField("values_since_ms", s.own.Since).Info("duties claimed")
	case wasHeld && !s.isHeld:
		l.losses.Inc(1)
		if s.newest != nil {
			fields["holder"] = s.newest.Holder
		}
		l.ports.Log.WithFields(fields).Warn("duties lost")
	}
}

// Stop makes this host send nothing more and release the duties a moment later.
func (l *Lease) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.stop(l.ports.Now())
}

// Yield releases the duties as Stop does, so that another host takes over. This one does
// not claim them for some time.
func (l *Lease) Yield(rest time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.yield(l.ports.Now(), rest)
}

// Grant implements Holder.
func (l *Lease) Grant() (Grant, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	token, isGranted := l.state.grant(l.ports.Now())
	if !isGranted {
		return Grant{}, false
	}
	return Grant{Holder: l.state.Holder, Token: token}, true
}

// Load implements Holder.
func (l *Lease) Load(key string) (value []byte, found bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	saved, found := l.state.values[key]
	return slices.Clone(saved.Value), found
}

// Since returns the time from which the saved values are complete. It is valid only while
// this host holds the duties. The store may have lost values that were saved earlier.
func (l *Lease) Since() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.UnixMilli(l.state.own.Since)
}

// Save implements Holder. It fails with keyed.ErrRefused if the value is certainly not
// stored, because the store refused the call or because the lease may have lapsed.
func (l *Lease) Save(ctx context.Context, key string, value []byte) error {
	if key == claimKey || len(value) == 0 {
		return eris.Wrapf(keyed.ErrRefused, "save %q of %d bytes", key, len(value))
	}
	// A candidate's call may wait for records.
	if _, err := l.nextSave(key, value); err != nil {
		return err
	}
	l.calls.Lock()
	defer l.calls.Unlock()
	for range maxSaveCalls {
		a, err := l.nextSave(key, value)
		if err != nil {
			return err
		}
		err = l.perform(ctx, a)
		isLoaded := a.kind == actionLoad && err == nil
		if !isLoaded && !eris.Is(err, keyed.ErrConflict) {
			return eris.Wrapf(err, "save %q", key)
		}
	}
	return eris.Wrapf(keyed.ErrRefused, "save %q: conflicts with late calls", key)
}

// nextSave returns the next call of a Save: the append, or a load before it.
func (l *Lease) nextSave(key string, value []byte) (action, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, now := l.state, l.ports.Now()
	_, isGranted := s.grant(now)
	switch {
	case !s.isHeld:
		return action{}, eris.Wrapf(keyed.ErrConflict, "save %q: another host may hold the duties", key)
	case !isGranted || s.isKnown && s.position.Era != s.claimEra:
		return action{}, eris.Wrapf(keyed.ErrRefused, "save %q: the lease has to be renewed first", key)
	case !s.isKnown:
		return action{kind: actionLoad, sentAt: now}, nil
	}
	return s.newSave(key, value, now), nil
}

// Status describes the duties as this host knows them.
type Status struct {
	// Holder is the last known host that holds the duties, Token its fencing token. Both
	// are empty on hosts that are no candidates.
	Holder string `json:"holder"`
	Token  uint64 `json:"fencing_token"`
	// HeldMillis is for how long this host has held the duties, in ms; 0 if it does not.
	HeldMillis int64 `json:"held_ms"`
}

// Status returns the present status.
func (l *Lease) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, now := l.state, l.ports.Now()
	if _, isGranted := s.grant(now); isGranted {
		return Status{Holder: s.Holder, Token: s.own.Token, HeldMillis: now.Sub(s.heldSince).Milliseconds()}
	}
	if s.newest == nil || s.newest.IsReleased {
		return Status{}
	}
	return Status{Holder: s.newest.Holder, Token: s.newest.Token}
}
