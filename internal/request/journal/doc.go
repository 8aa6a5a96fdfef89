// Package journal keeps intents and outcomes of requests in the platform's
// log, off the request's path, so that they outlive both owner and witness.
//
// The witness's register is the only buffer: Writer takes from it, in batches,
// what the log lacks, and gives back what could not be appended. The log's
// acknowledgement lets the register drop ended records. The idea of a stable
// event logger that frees volatile copies and is asked first in a recovery is
// from Bouteiller, Collin, Herault, Lemarinier, Cappello: "Impact of Event
// Logger on Causal Message Logging Protocols for Fault Tolerant MPI", IPDPS
// 2005.
//
// Wiring: make one Writer over the process's witness.Register and run it; make
// one Reader and give it to resume.Runner.
package journal
