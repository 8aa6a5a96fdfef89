// Package request contains the subpackages that handle a single request: its key
// and outcome, its execution at the owner, its record at the witness and in the
// log, and its resumption at other hosts.
package request
