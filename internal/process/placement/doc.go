// Package placement finds an endpoint and a slot for each request.
//
// It joins the decisions of the scheduler, limit, slot and queue packages to
// the clock and to the other hosts. To wire it: make a Placer with New, hand it
// the mesh's router with Register, run Run in the daemon's group, call Update
// on every new configuration view and ObserveLoad and ObserveCache on every
// report of an engine. For each request call Place, send the request to the
// placement's address, call FirstToken when the first byte of the answer
// arrives and Done exactly once.
package placement
