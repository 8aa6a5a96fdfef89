package witness

// Unlogged is a copy of a record that is not yet in the log.
type Unlogged struct {
	Intent Intent
	// Result is nil if the request has not ended.
	Result *Result
}

// TakeUnlogged returns up to limit records that are not yet in the log, the
// oldest of each shard first. A record is returned once until it changes or
// until RequeueUnlogged returns it to the list. The start number, which the
// caller increases by one for each call, selects the shard to begin with.
func (r *Register) TakeUnlogged(start uint, limit int) []Unlogged {
	var taken []Unlogged
	for i := range uint(shardCount) {
		shard := &r.shards[(start+i)%shardCount]
		taken = shard.takeUnlogged(taken, limit)
	}
	return taken
}

func (s *shard) takeUnlogged(taken []Unlogged, limit int) []Unlogged {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.unlogged) > 0 && len(taken) < limit {
		oldest := s.unlogged[0]
		s.unlogged[0] = nil
		s.unlogged = s.unlogged[1:]
		oldest.isQueued = false
		if oldest.isDropped {
			continue
		}
		taken = append(taken, Unlogged{Intent: oldest.intent(), Result: oldest.result})
	}
	return taken
}

// RequeueUnlogged returns records to the unlogged list after their append
// failed or may have failed.
func (r *Register) RequeueUnlogged(records []Unlogged) {
	for _, record := range records {
		r.requeue(record)
	}
}

func (r *Register) requeue(record Unlogged) {
	shard, hash := r.shardFor(record.Intent.Key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	found := shard.records[hash]
	if found != nil && found.key == record.Intent.Key {
		shard.markUnlogged(found)
	}
}

// MarkLogged records that the given copies of the records are in the log.
// Records that have ended are dropped except for the hash of the key.
func (r *Register) MarkLogged(records []Unlogged) {
	for _, logged := range records {
		if logged.Result != nil {
			r.replaceWithTombstone(logged)
		}
	}
}

func (r *Register) replaceWithTombstone(logged Unlogged) {
	shard, hash := r.shardFor(logged.Intent.Key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	found := shard.records[hash]
	if found == nil || found.key != logged.Intent.Key {
		return
	}
	shard.records[hash] = loggedTombstone
	r.bytes.Add(loggedTombstone.size() - found.size())
}
