// Package rollout moves a service's traffic from one endpoint version to
// another, as far as the new version proves sound.
//
// The decision is pure: Decide compares, for each route, what the new version
// and the old one did over the same recent windows, by sequential tests whose
// chance of a false verdict is bounded over the whole move, and says whether
// to hold, raise the new version's share, complete the move or take it back.
// Evidence is a join of counters by host incarnation, so hosts may merge each
// other's parts in any order and any number of times. Stages are a join too:
// the higher one wins, and StageBad beats all.
//
// Judge is the edge: it shares requests out, takes observations with atomic
// operations, exchanges evidence with the other hosts and hands verdicts to a
// Proposer. To wire it into a daemon:
//
//	judge := rollout.NewJudge(rollout.Config{Self: self, Exchange: exchange, Proposer: proposer, ...})
//	router.Handle(rollout.KindEvidence, judge.HandleEvidence) // before the mesh server starts
//	go judge.Run(ctx)                       // or as an actor of oklog/run
//	judge.Apply(moves)                      // on every new configuration or move state
//	version := judge.Choose(service, route) // for each request that is placed
//	watch := judge.Begin(request)           // when it is dispatched
//	watch.FirstToken(elapsed)               // at the first byte of the answer
//	watch.End(result)                       // exactly once
package rollout
