// Package slot divides the concurrency limit of an endpoint into slots and
// grants them to hosts.
//
// Each endpoint has a home: the host that keeps a Ledger of how many of its
// slots each host may use. Each host has a Holder for the endpoint: it
// dispatches within its grant without a round trip, and reports its slots in
// use and its waiting requests. Grants carry absolute counts and sequence
// numbers, so that lost, delayed and duplicated messages are harmless, and
// expire by the monotonic clock.
//
// Guarantees of a Ledger:
//   - The slots that all holders may use, including those that requests of
//     expired holders may still occupy, never grow beyond the limit.
//   - The unused slots of all holders, including those in grants in transit,
//     never grow beyond the cold limit, so that an endpoint that restarts is
//     not overloaded by hosts that are not yet aware of the restart.
//   - A grant allows shedding a tier only if no holder uses a slot for a
//     lower tier, and none may start such a request until a later grant
//     allows it.
package slot
