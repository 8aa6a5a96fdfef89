package config

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"mustarddoor/internal/process/pause"
)

// pullLoop pulls from one random peer at a time until the context ends.
func (f *Follower) pullLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		if peers := pickRandom(f.options.Peers(), 1); len(peers) == 1 {
			_ = f.pull(ctx, peers[0])
		}
		interval := f.pullInterval()
		pause.For(ctx, interval/2+rand.N(interval))
	}
	return nil
}

// pullInterval returns the mean time between two pulls.
func (f *Follower) pullInterval() time.Duration {
	if f.needsState() {
		return catchUpPullInterval
	}
	return idlePullInterval
}

// needsState reports whether the host needs state from peers because it cannot
// catch up from the log alone.
func (f *Follower) needsState() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.health
	return h.isLogDown() || h.gapTo != 0 || !h.reachedTail
}

// pullAll pulls from several peers concurrently and records how many answered.
func (f *Follower) pullAll(ctx context.Context) {
	peers := pickRandom(f.options.Peers(), maxPullPeers)
	answers := make(chan bool, len(peers))
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	for _, peer := range peers {
		group.Go(func() error {
			answers <- f.pullState(ctx, peer, true) == nil
			return nil
		})
	}
	_ = group.Wait()
	close(answers)
	answered := 0
	for ok := range answers {
		if ok {
			answered++
		}
	}
	f.recordPeerAnswers(len(peers), answered)
}

// pull asks one peer for the state that this host lacks.
func (f *Follower) pull(ctx context.Context, peer string) error {
	return f.pullState(ctx, peer, f.needsState())
}

func (f *Follower) pullState(ctx context.Context, peer string, needsState bool) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	request := f.currentState().pullRequest(needsState)
	var reply pullReply
	if err := f.options.Caller.Call(ctx, peer, kindPull, request, &reply); err != nil {
		f.metrics.pullErrors.Inc(1)
		return errNoAnswer
	}
	f.metrics.pulls.Inc(1)
	f.mergeDelta(reply.Delta)
	f.mergeSnapshot(reply.Snapshot)
	return nil
}

// mergeSnapshot merges a peer's snapshot if its signature is valid.
func (f *Follower) mergeSnapshot(raw []byte) {
	if len(raw) == 0 {
		return
	}
	record, err := VerifyRecord(raw, f.options.Keys)
	if err != nil {
		f.reportRefusal(openFailure(err))
		return
	}
	snapshot, outcome, ok := decodeSnapshot(record)
	if !ok {
		f.reportRefusal(outcome)
		return
	}
	f.merge(snapshot)
}

// pushLoop pushes changes to peers until the context ends.
func (f *Follower) pushLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.pushSignal:
			f.push(ctx, f.takeUnsent())
		}
	}
}

// takeUnsent returns the changes that were not sent to peers yet and clears them.
func (f *Follower) takeUnsent() delta {
	f.mu.Lock()
	defer f.mu.Unlock()
	changes := delta{}
	for domain := range f.unsent.marks {
		changes.Marks = append(changes.Marks, f.state.Marks[domain].Raw)
	}
	for id := range f.unsent.moves {
		if state, found := f.state.Moves[id]; found {
			changes.Moves = append(changes.Moves, moveWire{ID: id, State: state})
		}
	}
	f.unsent = newUnsent()
	return changes
}

// push sends changes to some peers concurrently. Peers that it does not reach
// get the changes by their own pulls.
func (f *Follower) push(ctx context.Context, changes delta) {
	if len(changes.Marks) == 0 && len(changes.Moves) == 0 {
		return
	}
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	for _, peer := range pickRandom(f.options.Peers(), maxPushPeers) {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, pushTimeout)
			defer cancel()
			var reply pushReply
			if err := f.options.Caller.Call(ctx, peer, kindPush, changes, &reply); err != nil {
				f.metrics.pushErrors.Inc(1)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// pickRandom returns up to count random peers.
func pickRandom(peers []string, count int) []string {
	picked := append([]string(nil), peers...)
	rand.Shuffle(len(picked), func(i, j int) { picked[i], picked[j] = picked[j], picked[i] })
	return picked[:min(count, len(picked))]
}
