package witness

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/request/key"
)

// Limits bounds what a register holds.
type Limits struct {
	// Records is how many keys are held.
	Records int
	// Bytes is how much memory they take, as estimated.
	Bytes int64
	// Owners is how many hosts may own the keys.
	Owners int
}

// Config is what a register needs.
type Config struct {
	Self   identity.Incarnation
	Limits Limits
	// Retention is how long a record is kept after its intent or void came.
	Retention func() time.Duration
}

// Register holds, for each key, the first of intent or void that was written,
// and then the outcome. It is safe for concurrent use. Times are readings of
// one monotonic clock.
//
// A record that the log has may be dropped; then only a hash of its key stays.
// Two keys may share a hash, which makes the register refuse an intent or send
// a reader to the log for nothing. It never makes it void a key that it may
// have known.
type Register struct {
	config   Config
	shards   [shardCount]shard
	records  atomic.Int64
	bytes    atomic.Int64
	horizons horizons
}

const shardCount = 64

// shard is a part of the register's keys.
type shard struct {
	mu sync.Mutex
	// records holds the records by the hash of their keys; inLog stands for a
	// record that was dropped because the log has it.
	records map[uint64]*record
	// order holds what is to be dropped, by the time of its insertion.
	order []expiry
	// unlogged holds the records that the log lacks or has in part, oldest
	// first.
	unlogged []*record
}

// inLog takes the place of records that were dropped because the log has them.
var inLog = &record{}

// NewRegister returns an empty register.
func NewRegister(config Config) *Register {
	register := &Register{config: config}
	for i := range register.shards {
		register.shards[i].records = make(map[uint64]*record)
	}
	return register
}

// Intend writes an intent unless something stands before it. An intent of the
// same or an earlier attempt does not change the record; a later attempt
// replaces it.
func (r *Register) Intend(now time.Time, intent Intent) Verdict {
	if intent.Key.Session.Witness != r.config.Self {
		return Foreign
	}
	return r.Adopt(now, intent)
}

// Adopt writes an intent like Intend, whoever is the session's witness. An
// owner without a witness keeps its intents so until the log has them.
func (r *Register) Adopt(now time.Time, intent Intent) Verdict {
	shard, hash := r.locate(intent.Key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	found := shard.records[hash]
	if found != nil {
		return shard.replace(now, found, intent)
	}
	if verdict := r.admit(intent.Key); verdict != Accepted {
		return verdict
	}
	added := newRecord(intent.Key)
	added.intend(now, intent)
	r.insert(shard, now, hash, added)
	shard.enqueue(added)
	return Accepted
}

func (s *shard) replace(now time.Time, found *record, intent Intent) Verdict {
	switch {
	case found.key != intent.Key:
		return Stale
	case found.isVoid:
		return Voided
	case found.final != nil || intent.Attempt <= found.attempt:
		return Stale
	}
	found.intend(now, intent)
	s.enqueue(found)
	return Accepted
}

// VoidOrGet returns a key's record; if there is none it writes a void first.
// StateVoid therefore means that no intent of the key is ever accepted.
func (r *Register) VoidOrGet(now time.Time, k key.Key) Record {
	if k.Session.Witness != r.config.Self {
		return Record{State: StateUnknown}
	}
	shard, hash := r.locate(k)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	found := shard.records[hash]
	switch {
	case found == nil:
		return r.void(shard, now, k, hash)
	case found.key != k:
		return Record{State: StateLogged}
	default:
		return found.describe(now)
	}
}

func (r *Register) void(shard *shard, now time.Time, k key.Key, hash uint64) Record {
	if r.admit(k) != Accepted {
		return Record{State: StateUnknown}
	}
	added := newRecord(k)
	added.isVoid = true
	r.insert(shard, now, hash, added)
	return Record{State: StateVoid}
}

// Finish writes the outcome of a key whose intent stands. Only the first one
// has an effect.
func (r *Register) Finish(ended Outcome) {
	shard, hash := r.locate(ended.Key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	found := shard.records[hash]
	if found == nil || found.key != ended.Key || found.isVoid || found.final != nil {
		return
	}
	before := found.size()
	final := ended.Final
	found.final = &final
	r.bytes.Add(found.size() - before)
	shard.enqueue(found)
}

// Sweep drops what is older than the retention time. It is called from time to
// time.
func (r *Register) Sweep(now time.Time) {
	for i := range r.shards {
		shard := &r.shards[i]
		shard.mu.Lock()
		r.sweepShard(shard, now)
		shard.mu.Unlock()
	}
}

// Len is how many keys are held, those of which only a hash is held included.
func (r *Register) Len() int { return int(r.records.Load()) }

// Bytes is how much memory the records take, as estimated.
func (r *Register) Bytes() int64 { return r.bytes.Load() }

func (r *Register) locate(k key.Key) (*shard, uint64) {
	hash := k.Hash()
	return &r.shards[hash%shardCount], hash
}

// admit decides whether an unseen key may get a record.
func (r *Register) admit(k key.Key) Verdict {
	switch {
	case r.horizons.covers(k.Session):
		return Expired
	case r.records.Load() >= int64(r.config.Limits.Records):
		return Full
	case r.bytes.Load() >= r.config.Limits.Bytes:
		return Full
	case !r.horizons.admit(k.Session.Owner.Host, r.config.Limits.Owners):
		return Full
	default:
		return Accepted
	}
}

func (r *Register) insert(shard *shard, now time.Time, hash uint64, added *record) {
	shard.records[hash] = added
	session := added.key.Session
	shard.order = append(shard.order, expiry{
		at:      now.Add(r.config.Retention()).UnixNano(),
		hash:    hash,
		horizon: r.horizons.of(session.Owner.Host),
		place:   placeOf(session),
	})
	r.records.Add(1)
	r.bytes.Add(added.size())
}

// expiry says when a key's record or hash is dropped.
type expiry struct {
	at      int64
	hash    uint64
	horizon *horizon
	place   place
}

// sweepShard drops what has expired at the head of the shard's order. The
// shard is locked.
func (r *Register) sweepShard(shard *shard, now time.Time) {
	for len(shard.order) > 0 && shard.order[0].at <= now.UnixNano() {
		oldest := shard.order[0]
		shard.order[0] = expiry{}
		shard.order = shard.order[1:]
		oldest.horizon.raise(oldest.place)
		r.drop(shard, oldest.hash)
	}
	shard.forgetDropped()
}

func (r *Register) drop(shard *shard, hash uint64) {
	found := shard.records[hash]
	delete(shard.records, hash)
	r.records.Add(-1)
	r.bytes.Add(-found.size())
	if found != inLog {
		found.isDropped = true
	}
}

// forgetDropped removes dropped records from the unlogged list once they are
// the greater part of it.
func (s *shard) forgetDropped() {
	if len(s.unlogged) <= 2*len(s.records) {
		return
	}
	s.unlogged = slices.DeleteFunc(s.unlogged, func(r *record) bool { return r.isDropped })
}

// enqueue marks a record as one that the log lacks.
func (s *shard) enqueue(changed *record) {
	if changed.isQueued {
		return
	}
	changed.isQueued = true
	s.unlogged = append(s.unlogged, changed)
}
