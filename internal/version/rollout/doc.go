// Package rollout moves a service's traffic from one endpoint version to
// another in stages, as long as the new version is not worse than the old one.
//
// Decide is a pure function. It compares, for each route, the results of the
// new version and the old one over the same recent windows, by sequential
// tests that bound the probability of a false positive over the whole move. It
// returns whether to hold the move, raise the new version's share, complete
// the move or roll it back. Evidence and stages are state-based CRDTs, so that
// hosts may merge each other's updates in any order and any number of times:
// evidence merges counters by host incarnation, and of two stages the higher
// one wins, StageRolledBack being the highest.
//
// Controller applies the decisions. It picks the version of each request,
// counts results with atomic operations, exchanges evidence with the other
// hosts and passes new stages to a Proposer. To use it in a daemon:
//
//	controller := rollout.NewController(rollout.Config{Self: self, Exchange: exchange, Proposer: proposer, ...})
//	router.Handle(rollout.KindEvidence, controller.HandleEvidence) // before the mesh server starts
//	go controller.Run(ctx)                       // or as an actor of oklog/run
//	controller.Apply(moves)                      // on every new configuration or move state
//	version := controller.Choose(service, route) // for each request that is placed
//	tracker := controller.Track(attempt)         // when it is dispatched
//	tracker.FirstToken(elapsed)                  // at the first byte of the answer
//	tracker.Tokens(count, elapsed)               // as further tokens arrive
//	tracker.End(result, tokens, elapsed)         // exactly once
package rollout
