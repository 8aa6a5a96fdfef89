package owner

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/request/key"
	"mustarddoor/internal/request/outcome"
	"mustarddoor/internal/request/witness"
)

// IntentSender obtains the verdict of the witness of the key's session on an
// intent.
type IntentSender interface {
	// SendIntent returns the witness's verdict. After an error the witness may or
	// may not have recorded the intent.
	SendIntent(ctx context.Context, intent witness.Intent) (witness.Verdict, error)
}

// OutcomeRecorder records the outcomes of requests.
type OutcomeRecorder interface {
	// RecordOutcome records the outcome of a request whose intent was sent to a
	// witness. It never blocks.
	RecordOutcome(requestOutcome witness.Outcome)
}

// Limits bounds the memory of a registry.
type Limits struct {
	// MaxRequests is the maximum number of keys, including those of finished
	// requests.
	MaxRequests int
	// MaxResponseBytes is the maximum size of all responses together. The
	// responses of finished requests are dropped first, oldest first.
	MaxResponseBytes int64
	// MaxWindowBytes is the maximum number of bytes held of one response.
	MaxWindowBytes int64
}

// Config configures a Registry.
type Config struct {
	Self            identity.Incarnation
	Limits          Limits
	IntentSender    IntentSender
	OutcomeRecorder OutcomeRecorder
	// Now is a monotonic clock, the same one that is used to issue sessions.
	Now func() time.Time
	// Retention is how long a key is accepted after its session was issued.
	Retention func() time.Duration
}

// Registry holds the requests that this host owns by key, so that a duplicate
// request joins the first one with the same key. It is safe for concurrent use.
//
// It never forgets that it refused a key: when it has no room for a new key, it
// refuses all unseen keys of sessions issued no later than that key's session.
type Registry struct {
	config        Config
	shards        [shardCount]shard
	requests      atomic.Int64
	responseBytes atomic.Int64
	// closedUntil refuses unseen keys of sessions issued up to this time, in Unix
	// milliseconds. Such keys never ran.
	closedUntil atomic.Int64
	// droppedUntil is the latest issue time of a session with dropped records.
	droppedUntil atomic.Int64
	finished     finishedQueue
}

const shardCount = 64

// shard holds a part of the registry's keys.
type shard struct {
	mu       sync.Mutex
	requests map[key.Key]*Request
	// keysByAge holds the keys, oldest record first. sweepShard moves the keys of
	// unfinished requests to the end.
	keysByAge []key.Key
}

// NewRegistry returns an empty registry.
func NewRegistry(config Config) *Registry {
	registry := &Registry{config: config}
	for i := range registry.shards {
		registry.shards[i].requests = make(map[key.Key]*Request)
	}
	return registry
}

// Owns reports whether this incarnation owns the key.
func (r *Registry) Owns(k key.Key) bool { return k.Session.Owner == r.config.Self }

// Open returns the request of a key that this host owns. Joined is false for
// exactly one caller, which must run the request; all others read its response.
// The digest is a hash of the request's content: a key that is reused with
// different content is refused. A zero digest matches any content.
//
// If the refusal is not nil, no request is returned.
func (r *Registry) Open(k key.Key, digest uint64) (request *Request, joined bool, refusal *outcome.Refusal) {
	shard := r.shardFor(k)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if found := shard.requests[k]; found != nil {
		if digest != 0 && found.digest != 0 && digest != found.digest {
			return nil, false, newRefusal(outcome.Unknown, outcome.ReasonKeyReused)
		}
		return found, true, nil
	}
	if refusal := r.admit(shard, k); refusal != nil {
		return nil, false, refusal
	}
	return r.insert(shard, k, digest), false, nil
}

// Find returns the request of a key, or nil.
func (r *Registry) Find(k key.Key) *Request {
	shard := r.shardFor(k)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.requests[k]
}

// Locate returns the state of a request for another host. If the key has not
// been seen and closeUnseen is set, the key is refused for good.
func (r *Registry) Locate(k key.Key, closeUnseen bool) LocateReply {
	if !r.Owns(k) {
		return LocateReply{NotOwner: true}
	}
	shard := r.shardFor(k)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if found := shard.requests[k]; found != nil {
		return found.locateReply()
	}
	if r.mayBeDropped(k) {
		return LocateReply{Expired: true}
	}
	if !closeUnseen {
		return LocateReply{}
	}
	if refusal := r.admit(shard, k); refusal != nil {
		result := witness.Result{Outcome: refusal.Outcome, Reason: refusal.Reason}
		return LocateReply{State: StateRefused, Result: result}
	}
	closed := r.insert(shard, k, 0)
	closed.Refuse(outcome.ReasonVoided, 0)
	return closed.locateReply()
}

// Stop refuses all unseen keys from now on, as in a planned shutdown. Requests
// that the registry holds can still be joined.
func (r *Registry) Stop() { r.closedUntil.Store(math.MaxInt64) }

// Len returns the number of keys held.
func (r *Registry) Len() int { return int(r.requests.Load()) }

// ResponseBytes returns the total size of the responses held.
func (r *Registry) ResponseBytes() int64 { return r.responseBytes.Load() }

// Running returns the number of requests that have not ended. It locks all
// shards in turn.
func (r *Registry) Running() int {
	count := 0
	for i := range r.shards {
		count += r.shards[i].running()
	}
	return count
}

func (s *shard) running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, request := range s.requests {
		if !request.State().IsFinal() {
			count++
		}
	}
	return count
}

// Sweep drops ended requests whose sessions have expired. It must be called
// periodically.
func (r *Registry) Sweep() {
	for i := range r.shards {
		shard := &r.shards[i]
		shard.mu.Lock()
		r.sweepShard(shard)
		shard.mu.Unlock()
	}
	r.finished.compact()
}

// mayBeDropped reports whether the record of an unseen key may have been
// dropped.
func (r *Registry) mayBeDropped(k key.Key) bool {
	if k.Session.IssuedMillis <= r.droppedUntil.Load() {
		return true
	}
	return r.config.Now().Sub(k.Session.Issued()) >= r.config.Retention()
}

// admit decides whether an unseen key may be inserted. A refusal with outcome
// NotRun is permanent.
func (r *Registry) admit(shard *shard, k key.Key) *outcome.Refusal {
	if k.Session.Issued().After(r.config.Now()) {
		return newRefusal(outcome.Unknown, outcome.ReasonBadRequest)
	}
	if r.mayBeDropped(k) {
		return newRefusal(outcome.Unknown, outcome.ReasonExpired)
	}
	closedUntil := r.closedUntil.Load()
	if closedUntil == math.MaxInt64 {
		return newRefusal(outcome.NotRun, outcome.ReasonStopping)
	}
	if k.Session.IssuedMillis <= closedUntil {
		return newRefusal(outcome.NotRun, outcome.ReasonMemory)
	}
	r.sweepShard(shard)
	if r.hasRoom() {
		return nil
	}
	storeMax(&r.closedUntil, k.Session.IssuedMillis)
	return newRefusal(outcome.NotRun, outcome.ReasonMemory)
}

func (r *Registry) hasRoom() bool {
	if r.requests.Load() >= int64(r.config.Limits.MaxRequests) {
		return false
	}
	return r.responseBytes.Load() < r.config.Limits.MaxResponseBytes
}

func (r *Registry) insert(shard *shard, k key.Key, digest uint64) *Request {
	request := &Request{
		registry: r,
		digest:   digest,
		response: NewResponse(r.config.Limits.MaxWindowBytes),
		machine:  NewMachine(k),
	}
	shard.requests[k] = request
	shard.keysByAge = append(shard.keysByAge, k)
	r.requests.Add(1)
	return request
}

// maxSweepRecords bounds the number of records that one call of sweepShard
// examines.
const maxSweepRecords = 64

// sweepShard drops expired records, oldest first. The shard must be locked.
func (r *Registry) sweepShard(shard *shard) {
	now := r.config.Now()
	retention := r.config.Retention()
	for range maxSweepRecords {
		if len(shard.keysByAge) == 0 {
			return
		}
		k := shard.keysByAge[0]
		if now.Sub(k.Session.Issued()) < retention {
			return
		}
		shard.keysByAge = shard.keysByAge[1:]
		if !shard.requests[k].State().IsFinal() {
			shard.keysByAge = append(shard.keysByAge, k)
			continue
		}
		r.drop(shard, k)
	}
}

func (r *Registry) drop(shard *shard, k key.Key) {
	storeMax(&r.droppedUntil, k.Session.IssuedMillis)
	held := shard.requests[k].response.Trim()
	r.responseBytes.Add(-held)
	delete(shard.requests, k)
	r.requests.Add(-1)
}

// addResponseBytes accounts for response bytes and, while the total exceeds the
// limit, drops the oldest finished responses.
func (r *Registry) addResponseBytes(added int64) {
	total := r.responseBytes.Add(added)
	for total > r.config.Limits.MaxResponseBytes {
		oldest := r.finished.pop()
		if oldest == nil {
			return
		}
		total = r.responseBytes.Add(-oldest.Trim())
	}
}

func (r *Registry) shardFor(k key.Key) *shard {
	return &r.shards[k.Hash()%shardCount]
}

// storeMax sets the value to at least the given one.
func storeMax(value *atomic.Int64, to int64) {
	for {
		current := value.Load()
		if current >= to || value.CompareAndSwap(current, to) {
			return
		}
	}
}

func newRefusal(result outcome.Outcome, reason outcome.Reason) *outcome.Refusal {
	refusal := outcome.Refuse(result, reason)
	return &refusal
}

// finishedQueue holds the responses of finished requests, oldest first.
type finishedQueue struct {
	mu        sync.Mutex
	responses []*Response
}

func (q *finishedQueue) push(response *Response) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.responses = append(q.responses, response)
}

func (q *finishedQueue) pop() *Response {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.responses) == 0 {
		return nil
	}
	oldest := q.responses[0]
	q.responses[0] = nil
	q.responses = q.responses[1:]
	return oldest
}

// compact removes responses without bytes from the front of the queue.
func (q *finishedQueue) compact() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.responses) > 0 && q.responses[0].heldBytes() == 0 {
		q.responses[0] = nil
		q.responses = q.responses[1:]
	}
}
