// Package config agrees on the fleet's configuration without a coordinator.
//
// Operators' records (publish, approve, roll, domain mark) and hosts' records
// (verdict, snapshot) stand in one stream of the platform's log. Every record
// is signed: an operator's with the operator's own ed25519 key, a host's with
// the fleet key that all hosts derive from the secret in their settings, since
// hosts are replaced at any time and have no identity to keep a key for.
//
// State is a pure state machine over the records. Its part LogState is a
// function of the log up to an offset, so the higher offset wins a merge. The
// other parts are joins of their own: the bundle in force (the greatest version
// wins), domain marks (the later stamp wins, ties go by host name), and stages
// of version moves (the highest stage wins, and a bad verdict beats all). So
// records and mesh messages may arrive in any order, twice or never, and hosts
// still end in the same state and never move back.
//
// Follower keeps a host's State up to date: it reads the log to its tail and
// waits there, exchanges state with peers, heals gaps by a snapshot or by
// peers, and appends what the log does not have yet. Operator takes operators'
// signed records and tells what became of them.
//
// To wire it into a daemon:
//
//	keys, err := config.NewKeyring(settings.Operators, settings.FleetSecret)
//	follower := config.NewFollower(config.Options{...})
//	follower.Register(router)          // before the mesh server starts
//	go follower.Run(ctx)               // or as an actor of oklog/run
//	operator := config.NewOperator(follower)
//	view := follower.Current()         // on a request's path; never nil
package config
