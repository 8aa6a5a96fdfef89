package witness

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/request/key"
)

// Limits bounds the memory of a register.
type Limits struct {
	// MaxRecords is the maximum number of keys held.
	MaxRecords int
	// MaxBytes is the maximum estimated memory of the records.
	MaxBytes int64
	// MaxOwners is the maximum number of hosts that own the keys.
	MaxOwners int
}

// Config configures a Register.
type Config struct {
	Self   identity.Incarnation
	Limits Limits
	// Retention is how long a record is kept after its intent or void was written.
	Retention func() time.Duration
}

// Register holds, for each key, whichever was written first of an intent or a
// void, and later the outcome. It is safe for concurrent use. All times are
// readings of one monotonic clock.
//
// A record that has been written to the log may be dropped; only a hash of its
// key stays. Two keys may share a hash, which makes the register refuse an
// intent or direct a reader to the log unnecessarily. It never makes the
// register void a key that it may have known.
type Register struct {
	config     Config
	shards     [shardCount]shard
	records    atomic.Int64
	bytes      atomic.Int64
	watermarks watermarks
}

const shardCount = 64

// shard holds a part of the register's keys.
type shard struct {
	mu sync.Mutex
	// records holds the records by the hash of their keys. loggedTombstone stands
	// for a record that was dropped because it is in the log.
	records map[uint64]*record
	// expirations holds the expiry times of the records, in the order in which
	// they were inserted.
	expirations []expiry
	// unlogged holds the records that are not or only partly in the log, oldest
	// first.
	unlogged []*record
}

// loggedTombstone replaces records that were dropped because they are in the
// log.
var loggedTombstone = &record{}

// NewRegister returns an empty register.
func NewRegister(config Config) *Register {
	register := &Register{config: config}
	for i := range register.shards {
		register.shards[i].records = make(map[uint64]*record)
	}
	return register
}

// RecordIntent records an intent unless the key is void or finished. An intent
// of the same or an earlier attempt does not change the record; a later attempt
// replaces it.
func (r *Register) RecordIntent(now time.Time, intent Intent) Verdict {
	if intent.Key.Session.Witness != r.config.Self {
		return NotWitness
	}
	return r.RecordLocalIntent(now, intent)
}

// RecordLocalIntent records an intent like RecordIntent, regardless of the
// session's witness. An owner without a witness keeps its intents this way
// until they are in the log.
func (r *Register) RecordLocalIntent(now time.Time, intent Intent) Verdict {
	shard, hash := r.shardFor(intent.Key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	found := shard.records[hash]
	if found != nil {
		return shard.replaceIntent(now, found, intent)
	}
	if verdict := r.admit(intent.Key); verdict != Accepted {
		return verdict
	}
	added := newRecord(intent.Key)
	added.setIntent(now, intent)
	r.insert(shard, now, hash, added)
	shard.markUnlogged(added)
	return Accepted
}

func (s *shard) replaceIntent(now time.Time, found *record, intent Intent) Verdict {
	switch {
	case found.key != intent.Key:
		return Stale
	case found.isVoid:
		return Voided
	case found.result != nil || intent.Attempt <= found.attempt:
		return Stale
	}
	found.setIntent(now, intent)
	s.markUnlogged(found)
	return Accepted
}

// VoidOrGet returns a key's record; if there is none, it first records a void.
// StateVoid therefore means that no intent of the key is ever accepted.
func (r *Register) VoidOrGet(now time.Time, k key.Key) Record {
	if k.Session.Witness != r.config.Self {
		return Record{State: StateUnknown}
	}
	shard, hash := r.shardFor(k)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	found := shard.records[hash]
	switch {
	case found == nil:
		return r.recordVoid(shard, now, k, hash)
	case found.key != k:
		return Record{State: StateLogged}
	default:
		return found.toRecord(now)
	}
}

func (r *Register) recordVoid(shard *shard, now time.Time, k key.Key, hash uint64) Record {
	if r.admit(k) != Accepted {
		return Record{State: StateUnknown}
	}
	added := newRecord(k)
	added.isVoid = true
	r.insert(shard, now, hash, added)
	return Record{State: StateVoid}
}

// RecordOutcome records the outcome of a key that has an intent. Only the first
// outcome has an effect.
func (r *Register) RecordOutcome(outcome Outcome) {
	shard, hash := r.shardFor(outcome.Key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	found := shard.records[hash]
	if found == nil || found.key != outcome.Key || found.isVoid || found.result != nil {
		return
	}
	before := found.size()
	result := outcome.Result
	found.result = &result
	r.bytes.Add(found.size() - before)
	shard.markUnlogged(found)
}

// Sweep drops the records that are older than the retention time. It must be
// called periodically.
func (r *Register) Sweep(now time.Time) {
	for i := range r.shards {
		shard := &r.shards[i]
		shard.mu.Lock()
		r.sweepShard(shard, now)
		shard.mu.Unlock()
	}
}

// Len returns the number of keys held, including those of which only a hash is
// held.
func (r *Register) Len() int { return int(r.records.Load()) }

// Bytes returns the estimated memory of the records.
func (r *Register) Bytes() int64 { return r.bytes.Load() }

func (r *Register) shardFor(k key.Key) (*shard, uint64) {
	hash := k.Hash()
	return &r.shards[hash%shardCount], hash
}

// admit decides whether an unseen key may get a record.
func (r *Register) admit(k key.Key) Verdict {
	switch {
	case r.watermarks.covers(k.Session):
		return Expired
	case r.records.Load() >= int64(r.config.Limits.MaxRecords):
		return Full
	case r.bytes.Load() >= r.config.Limits.MaxBytes:
		return Full
	case !r.watermarks.addHost(k.Session.Owner.Host, r.config.Limits.MaxOwners):
		return Full
	default:
		return Accepted
	}
}

func (r *Register) insert(shard *shard, now time.Time, hash uint64, added *record) {
	shard.records[hash] = added
	session := added.key.Session
	shard.expirations = append(shard.expirations, expiry{
		expiresAt: now.Add(r.config.Retention()).UnixNano(),
		hash:      hash,
		watermark: r.watermarks.forHost(session.Owner.Host),
		position:  positionOf(session),
	})
	r.records.Add(1)
	r.bytes.Add(added.size())
}

// expiry is the time at which a key's record or hash is dropped.
type expiry struct {
	expiresAt int64
	hash      uint64
	watermark *watermark
	position  sessionPosition
}

// sweepShard drops the expired records of the shard, oldest first. The shard
// must be locked.
func (r *Register) sweepShard(shard *shard, now time.Time) {
	for len(shard.expirations) > 0 && shard.expirations[0].expiresAt <= now.UnixNano() {
		oldest := shard.expirations[0]
		shard.expirations[0] = expiry{}
		shard.expirations = shard.expirations[1:]
		oldest.watermark.raise(oldest.position)
		r.drop(shard, oldest.hash)
	}
	shard.compactUnlogged()
}

func (r *Register) drop(shard *shard, hash uint64) {
	found := shard.records[hash]
	delete(shard.records, hash)
	r.records.Add(-1)
	r.bytes.Add(-found.size())
	if found != loggedTombstone {
		found.isDropped = true
	}
}

// compactUnlogged removes dropped records from the unlogged list when they make
// up more than half of it.
func (s *shard) compactUnlogged() {
	if len(s.unlogged) <= 2*len(s.records) {
		return
	}
	s.unlogged = slices.DeleteFunc(s.unlogged, func(r *record) bool { return r.isDropped })
}

// markUnlogged adds a record to the unlogged list unless it is in there.
func (s *shard) markUnlogged(changed *record) {
	if changed.isQueued {
		return
	}
	changed.isQueued = true
	s.unlogged = append(s.unlogged, changed)
}
