// Package placement assigns each request a slot at an endpoint.
//
// It combines the scheduler, limit, slot and queue packages with a clock and
// the communication between hosts. To use it, create a Placer with New,
// register it with the mesh router through Register, and run Run for the
// lifetime of the daemon. Call Update with every new configuration view, and
// ObserveLoad and ObserveCache with every report of an engine. For each
// request, call Place, send the request to the address of the placement, call
// FirstToken when the first byte of the response arrives, and call Done exactly
// once.
package placement
