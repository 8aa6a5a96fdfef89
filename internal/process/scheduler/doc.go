// Package scheduler selects the endpoint for a request.
//
// A decision is a function of a pool snapshot and a request, in three steps:
// filter, score and pick. It is lock-free and does not allocate, so any number
// of goroutines can decide concurrently on the same snapshot.
package scheduler
