// Package soak runs the real programs as separate processes on loopback, injects
// faults from outside by a seeded plan, and checks the guarantees to callers and
// endpoints during the run, based on what these observe on their sockets.
//
// NewPlan is a pure function that derives a list of faults from a seed. Run carries
// out the plan. Check evaluates the rules on a History of what was observed. The
// stand-ins of the platform run in the soak process, behind proxies that delay,
// reset, hold or refuse connections.
//
// Not covered are the links between hosts, which use the hosts' own addresses, and
// clock steps, since all processes on loopback share one clock.
package soak
