// Package config keeps the hosts of a fleet in agreement on its configuration
// without a coordinator.
//
// Operators write publish, approve, roll and domain mark records, hosts write
// verdict and snapshot records, all to one stream of the platform's log. Every
// record is signed: an operator's record with the operator's own ed25519 key, a
// host's record with the fleet key, which all hosts derive from the secret in
// their settings. Hosts share a key because they are replaced at any time and
// have no lasting identity of their own.
//
// State is a deterministic state machine over the records. Its LogState is a
// function of the log up to an offset, so that the higher offset wins a merge.
// The other parts are join semilattices: the bundle in force (the highest
// version wins), domain marks (the latest stamp wins, ties are broken by host
// name) and the states of version moves (the highest stage wins, and a bad
// verdict overrides the others). Records and mesh messages may therefore be
// reordered, duplicated or lost: hosts still converge to the same state, and no
// host ever goes back to an earlier one.
//
// Follower keeps a host's State up to date: it tails the log, exchanges state
// with peers, closes gaps in the log by means of a snapshot or of peers, and
// appends records that the log lacks. Operator accepts the signed records of
// operators and reports their outcome.
//
// Usage in a daemon:
//
//	keys, err := config.NewKeyring(settings.Operators, settings.FleetSecret)
//	follower := config.NewFollower(config.Options{...})
//	follower.Register(router)          // before the mesh server starts
//	go follower.Run(ctx)               // or as an actor of oklog/run
//	operator := config.NewOperator(follower)
//	view := follower.Current()         // for each request; never nil
package config
