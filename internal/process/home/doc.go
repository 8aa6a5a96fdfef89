// Package home gives every endpoint one home: the host that grants its slots
// and gives it orders.
//
// Homes are claimed by records in a stream of the platform's log; a claim's
// offset is the lease's fencing number. Of two claims the first in the log
// stands, since a claim names the offset up to which its writer has read and
// fails if the endpoint changed hands after it. A host renews all its leases
// with one record.
//
// Leases lapse on the monotonic clock. The holder counts from the time before
// it sent the renewal, everyone else from the time when they read it, and both
// leave a margin for clocks that run at different speeds. So a lease has always
// lapsed for its holder before another host may claim the endpoint, also if the
// holder was stopped for a while. While the log is out no home changes.
//
// Plan decides what a host claims, renews and gives back; Table and Pace are
// functions of the stream. Manager joins them to the log and the clock, and
// Orders to the endpoints.
//
// To wire it into a daemon:
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
