// Package member maintains each host's view of which hosts are alive, without a
// coordinator. It also broadcasts small state deltas for other packages.
//
// The protocol is a variant of SWIM. Each host probes one member at a time. A
// probe repeats its ping and asks other hosts to ping as well before the member
// becomes suspect; a suspect that doesn't refute the suspicion in time is
// declared dead. Changes of members and the deltas of Sources are piggybacked
// on pings and acks, each a bounded number of times. Every ping and ack also
// carries a digest of the sender's whole state. Hosts whose digests differ
// compare their state, so that changes that were lost or were made on the other
// side of a network split arrive eventually.
//
// Core is the protocol as a state machine; Driver runs it over UDP on the port
// of the peer address. A process uses the package like this:
//
//	driver, err := member.NewDriver(options)
//	driver.AddSource(source) // for each package with state to broadcast
//	driver.Subscribe(func(changes []member.Change) { ... })
//	group.Add(func() error { return driver.Run(ctx) }, func(error) { cancel() })
//	caller := member.NewProbingCaller(client, driver) // failed calls start a probe
//	host, found := driver.View().ByName("host-2")
//	driver.AnnounceLeaving()  // when a planned stop begins
//	driver.AnnounceLeft(ctx) // last, before Run ends
package member
