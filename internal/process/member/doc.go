// Package member keeps each host's view of which hosts are alive, without a
// coordinator, and carries small state deltas of other packages along.
//
// Each host probes one member at a time. A probe repeats its ping and asks
// other hosts to ping, too, before the member counts as suspect; a suspect
// that does not refute in time counts as dead. News of members and the deltas
// of Sources ride on pings and acks, each a bounded number of times. Every
// ping and ack also carries a digest of all that its sender knows; hosts whose
// digests differ compare their state, so that what was lost or came up behind
// a cut arrives in the end.
//
// Core is the protocol as a state machine; Driver runs it over UDP on the port
// of the mesh address. A process wires it so:
//
//	driver, err := member.NewDriver(options)
//	driver.AddSource(source) // for each package with state that spreads
//	driver.Subscribe(func(changes []member.Change) { ... })
//	group.Add(func() error { return driver.Run(ctx) }, func(error) { cancel() })
//	caller := member.Watch(client, driver) // calls that fail start a probe
//	host, known := driver.View().ByName("host-2")
//	driver.Leave()  // when a planned stop begins
//	driver.Depart(ctx) // as its last act
package member
