// Package journal writes intents and outcomes of requests to the platform's
// log, asynchronously to the requests, so that they survive the loss of both
// owner and witness.
//
// The witness's register is the only buffer: Writer takes unlogged records from
// it in batches and returns those that could not be appended. Once the log has
// acknowledged the record of a finished request, the register can drop it. The
// design of a stable event logger that frees volatile copies and is asked first
// in a recovery follows Bouteiller, Collin, Herault, Lemarinier, Cappello:
// "Impact of Event Logger on Causal Message Logging Protocols for Fault Tolerant
// MPI", IPDPS 2005.
//
// A process creates one Writer for its witness.Register and runs it, and creates
// one Reader for flow.Resumer.
package journal
