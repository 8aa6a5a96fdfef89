// Package soak runs the real programs as separate processes on loopback,
// injects faults from outside them by a seeded plan, and checks the promises
// to callers and endpoints while it runs, from what these see on their sockets.
//
// Plan is the pure part: a seed gives a list of faults. Play carries it out.
// Rules judge a Record of what was seen. The platform's stand-ins run inside
// the soak, behind proxies that delay, reset, cut or silence connections.
//
// Not covered: the links between hosts, which go by the hosts' own addresses,
// and steps of the clock, which loopback processes share.
package soak
