package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"mustarddoor/internal/process/allowance"
	"mustarddoor/internal/process/keyed"
	"mustarddoor/internal/process/pause"
)

// usageHistory keeps the teams' usage in the platform's log, so that their limits
// hold when all hosts restart at once.
type usageHistory struct {
	gateway *Gateway
	// writtenTeams are the teams in the last record, writtenAt is when it was
	// written; the zero time before that.
	writtenTeams map[string]bool
	writtenAt    time.Time
	// writtenEra is the store's era as of the last record.
	writtenEra uint64
}

// usageRecord is the record of the teams' usage in the log.
type usageRecord struct {
	// WrittenAt is in Unix milliseconds.
	WrittenAt int64 `cbor:"1,keyasint"`
	// Teams holds the teams that use much of their limit.
	Teams map[string]allowance.History `cbor:"2,keyasint"`
}

const (
	// usageKey is the key of the record in the hosts topic, which each host loads
	// at its start. It is no host's name.
	usageKey = "/usage"
	// usageCheckInterval is the time between checks whether to write the record,
	// usageRecordInterval the time between records while a team uses much of its limit.
	usageCheckInterval  = 250 * time.Millisecond
	usageRecordInterval = time.Second
	// minUsageWriterUptime is how long after its start a host may write the record. It is
	// short, since hosts may restart again before there is a record of what they use now.
	minUsageWriterUptime = 750 * time.Millisecond
	// usageWriteTimeout limits the store call.
	usageWriteTimeout = 800 * time.Millisecond
	// maxUsageTeams bounds the teams of a record.
	maxUsageTeams = 256
)

// run writes the record until ctx is done: once at first, at intervals while a team
// uses much of its limit, when none does any more, and when the store may have lost
// the record.
func (u *usageHistory) run(ctx context.Context) error {
	for pause.For(ctx, usageCheckInterval) {
		if _, isLoaded := u.gateway.hosts.Next(); !isLoaded || u.gateway.uptime() < minUsageWriterUptime || !u.gateway.isLeader() {
			continue
		}
		histories := u.gateway.limits.histories(time.Now(), false)
		teams := map[string]bool{}
		for team := range histories {
			teams[team] = true
		}
		isDue := len(teams) > 0 && time.Since(u.writtenAt) >= usageRecordInterval || u.gateway.storeEra() > u.writtenEra
		if !isDue && !u.writtenAt.IsZero() && maps.Equal(teams, u.writtenTeams) {
			continue
		}
		if err := u.write(ctx, histories); err != nil {
			u.gateway.log.Entry().WithError(err).Warn("cannot write the teams' usage")
			pause.For(ctx, usageRecordInterval)
			continue
		}
		u.writtenTeams, u.writtenAt = teams, time.Now()
	}
	return nil
}

// write writes the record. The last one of several writers stands; all of them
// know nearly the same.
func (u *usageHistory) write(ctx context.Context, histories map[string]allowance.History) error {
	data, err := wire.Marshal(usageRecord{WrittenAt: time.Now().UnixMilli(), Teams: histories})
	if err != nil {
		return eris.Wrap(err, "encode")
	}
	ctx, cancel := context.WithTimeout(ctx, usageWriteTimeout)
	defer cancel()
	partition := keyed.Partition{Topic: u.gateway.ports.Topics.Hosts}
	end, err := u.gateway.ports.Store.Append(ctx, partition, keyed.Record{Key: usageKey, Value: data}, nil)
	if err != nil {
		return eris.Wrap(err, "write")
	}
	u.writtenEra = end.Era
	return nil
}

// maxRestoreUptime is how long after its start a host applies a record. Later ones
// say nothing that the other hosts do not.
const maxRestoreUptime = 3 * time.Second

// load applies the record that this host finds at its start.
func (u *usageHistory) load(value []byte) error {
	if u.gateway.settings.FirstStart || u.gateway.limits.isRestored() || u.gateway.uptime() > maxRestoreUptime {
		return nil
	}
	record := usageRecord{}
	if err := wire.Unmarshal(value, &record); err != nil {
		return eris.Wrap(err, "teams' usage")
	}
	age := time.Since(time.UnixMilli(record.WrittenAt))
	u.gateway.limits.restore(record.Teams, age, false)
	u.gateway.log.Entry().WithFields(logrus.Fields{
		"teams": slices.Sorted(maps.Keys(record.Teams)), "age_ms": age.Milliseconds(),
		"used_shares": u.gateway.limits.usedShares(time.Now()),
	}).Info("teams' usage before the start is known")
	return nil
}

// histories returns the usage of the teams that use much of their limit, or of all with
// usage.
func (l *sharedLimits) histories(now time.Time, all bool) map[string]allowance.History {
	l.mu.Lock()
	defer l.mu.Unlock()
	histories := map[string]allowance.History{}
	for name, team := range l.teams {
		history, isRelevant := team.History(now)
		if isRelevant && len(histories) < maxUsageTeams || all && history != (allowance.History{}) {
			histories[name] = history
		}
	}
	return histories
}

// restore applies the teams' usage before this host's start, as it was known some time
// ago. isComplete is set if a host that knows all usage has just sent it.
func (l *sharedLimits) restore(histories map[string]allowance.History, age time.Duration, isComplete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.restored, l.restoredAge, l.restoredAt, l.isComplete = histories, age, time.Now(), isComplete
	if l.restored == nil {
		l.restored = map[string]allowance.History{}
	}
	for name, team := range l.teams {
		l.restoreTeam(name, team, time.Now())
	}
}

// restoreTeam applies the usage of one team. The caller holds mu.
func (l *sharedLimits) restoreTeam(name string, team *allowance.TeamLimit, now time.Time) {
	history, found := l.restored[name]
	switch {
	case l.isComplete:
		team.Adopt(history, now)
	case found:
		team.Restore(&history, l.restoredAge, now)
	default:
		team.Restore(nil, l.restoredAge, now)
	}
}

// usedShares returns how much of its limit each team has used.
func (l *sharedLimits) usedShares(now time.Time) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	shares := map[string]float64{}
	for name, team := range l.teams {
		if share, isLimited := team.UsedShare(now); isLimited {
			shares[name] = share
		}
	}
	return shares
}

func (l *sharedLimits) isRestored() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.restored != nil
}
