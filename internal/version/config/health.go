package config

import (
	"fmt"
	"time"
)

// now returns the current time.
func now() time.Time { return time.Now() }

// health is what a follower knows about the log and its peers.
type health struct {
	// reachedTail reports whether the log was ever read to its tail.
	reachedTail bool
	// logTail is the highest next offset that the log has returned.
	logTail uint64
	// logFirst is the oldest offset that the log had when it was last read.
	logFirst uint64
	// logDownSince is when reading the log began to fail; zero if it succeeds.
	logDownSince time.Time
	logError     string
	// peersAsked and peersAnswered count the peers of the last pullAll.
	peersAsked    int
	peersAnswered int
	// gapFrom and gapTo are the first and last offset of the records that the
	// log trimmed before this host read them; zero if there is no gap.
	gapFrom uint64
	gapTo   uint64
	// isLogTruncated reports that the log ends before the offset that was read.
	isLogTruncated bool
	// wasReady keeps a host ready once it has become ready.
	wasReady bool
}

// readiness reports whether the host may serve and, if not, why. The caller
// holds the lock.
func (f *Follower) readiness() (bool, string) {
	h := &f.health
	switch {
	case h.wasReady:
		return true, ""
	case h.reachedTail && f.serving != nil:
		h.wasReady = true
		return true, ""
	case h.isLogDown() && h.peersAnswered > 0 && f.serving != nil:
		h.wasReady = true
		return true, ""
	}
	return false, f.unreadyReason()
}

func (h *health) isLogDown() bool { return !h.logDownSince.IsZero() }

// unreadyReason describes for operators why the host is not ready.
func (f *Follower) unreadyReason() string {
	h := f.health
	switch {
	case f.state.InForce != nil && f.serving == nil:
		return fmt.Sprintf("bundle %q has schema %d, which this release does not support",
			f.state.InForce.Name, f.state.InForce.Schema)
	case h.gapTo != 0:
		return fmt.Sprintf("records %d to %d are gone from the log, and neither a snapshot nor a peer covers them",
			h.gapFrom, h.gapTo)
	case h.isLogDown():
		return fmt.Sprintf("the log service has been unavailable since %s (%s), and none of %d peers has a configuration (%d answered)",
			h.logDownSince.UTC().Format(time.RFC3339), h.logError, h.peersAsked, h.peersAnswered)
	case !h.reachedTail:
		return fmt.Sprintf("reading the log: at offset %d of %d", f.state.Log.Offset, max(h.logTail, 1)-1)
	default:
		return "no bundle has been rolled"
	}
}

// logOutage reports whether the log is known to be unavailable, with a text for
// the operator whose record was not appended.
func (f *Follower) logOutage() (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.health
	text := fmt.Sprintf("nothing was sent: the log service has been unavailable since %s (%s)",
		h.logDownSince.UTC().Format(time.RFC3339), h.logError)
	return text, h.isLogDown()
}

// logFailed records that reading the log failed.
func (f *Follower) logFailed(err error) {
	f.mu.Lock()
	h := &f.health
	wasDown := h.isLogDown()
	h.logError = err.Error()
	if !wasDown {
		h.logDownSince = now()
	}
	f.mu.Unlock()
	f.metrics.logErrors.Inc(1)
	if !wasDown {
		f.options.Logger.WithError(err).Warn("log service is unavailable")
		f.options.OnChange(Change{Kind: ChangeLog, LogUnavailable: true})
	}
}

// logAnswered records a successful read of the log; first is its oldest offset
// and next the one after its tail.
func (f *Follower) logAnswered(first, next uint64) {
	f.mu.Lock()
	h := &f.health
	wasDown := h.isLogDown()
	h.logDownSince = time.Time{}
	h.logError = ""
	h.logTail = max(h.logTail, next)
	h.logFirst = first
	h.isLogTruncated = next <= f.state.Log.Offset
	f.mu.Unlock()
	if wasDown {
		f.options.Logger.Info("log service is available again")
		f.options.OnChange(Change{Kind: ChangeLog})
		signal(f.backfillSignal)
	}
}

// caughtUp records that the log was read to its tail.
func (f *Follower) caughtUp() {
	f.mu.Lock()
	readyBefore, _ := f.readiness()
	f.health.reachedTail = true
	f.health.gapFrom = 0
	f.health.gapTo = 0
	ready, _ := f.readiness()
	f.mu.Unlock()
	if ready && !readyBefore {
		f.options.OnChange(Change{Kind: ChangeReady})
	}
	signal(f.backfillSignal)
}

// gapFound records a gap that neither the log nor a peer has closed so far.
func (f *Follower) gapFound(from, to uint64) {
	f.mu.Lock()
	isNew := f.health.gapTo != to
	f.health.gapFrom = from
	f.health.gapTo = to
	f.mu.Unlock()
	if isNew {
		f.metrics.gaps.Inc(1)
		f.options.Logger.Warnf("records %d to %d were trimmed from the log before they were read", from, to)
	}
}

// recordPeerAnswers records the outcome of a pullAll.
func (f *Follower) recordPeerAnswers(asked, answered int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.health.peersAsked = asked
	f.health.peersAnswered = answered
}
