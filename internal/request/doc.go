// Package request holds what lives for one request, in its subpackages: keys
// and outcomes, the request at its owner, its record at the witness and in the
// log, and its resumption at any other host.
package request
