// Package client sends requests to a mustarddoor fleet.
//
// It asks a host which hosts to use, keeps the answer for as long as the host
// says, retries a request under the same key at other hosts and resumes its
// answer at the byte where a connection broke. It sends a request under a new
// key only after a refusal that says "not run".
package client
