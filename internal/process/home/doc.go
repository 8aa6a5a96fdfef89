// Package home assigns every endpoint one home: the host that grants its slots
// and sends it orders.
//
// Homes are claimed by records in a stream of the platform's log; the offset of
// a claim is the lease's fencing token. The first of two concurrent claims
// wins: a claim contains the offset up to which its writer has read, and fails
// if the endpoint's entry changed after it. A host renews all its leases with
// one record.
//
// Leases expire by the monotonic clock. The holder counts from the time before
// it sent the renewal, all other hosts from the time at which they read it, and
// both add a safety margin for clock drift. So a lease has always expired for
// its holder before another host may claim the endpoint, even if the holder was
// suspended. No home changes while the log is unavailable.
//
// Plan decides which endpoints a host claims, renews and releases. Table and
// LoadLimiter depend only on the stream. Manager connects them to the log and
// the clock, Orders to the endpoints.
//
// A daemon uses the package like this:
//
//	manager := home.NewManager(home.Options{...})
//	manager.Register(router)                 // before the mesh server starts
//	go manager.Run(ctx)
//	manager.Update(view.Bundle)              // on every new configuration
//	placer := placement.New(placement.Config{Homes: manager, ...})
//	orders := home.NewOrders(home.OrdersOptions{Manager: manager, ...})
//	go orders.Run(ctx)
//	manager.Leave(ctx)                       // in a planned stop
package home
