// Package slot divides what an endpoint bears into slots and conserves them.
//
// Each endpoint has a home, a host that keeps a Ledger of who may use how many
// of its slots. Every other host has a Holder for the endpoint: it dispatches
// within its grant without a round trip, and reports what it uses and what it
// waits for. Grants carry absolute numbers and sequence numbers, so that lost,
// late and doubled messages do no harm, and lapse on the monotonic clock.
//
// Guarantees of a Ledger:
//   - The slots that all holders may use, with those that a lost holder may
//     still use, never grow beyond the limit.
//   - The unused slots in all hands, and on their way there, never grow beyond
//     the cold limit, so that an endpoint that restarts is not overrun by
//     hosts that have not yet heard of it.
//   - A grant confirms a tier only if no holder uses a slot for a lower one,
//     nor may start to until a later grant allows it.
package slot
