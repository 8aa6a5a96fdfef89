// Package scheduler decides which endpoint a request goes to.
//
// A decision is a pure function of a snapshot and a request: filter, score,
// pick. It takes no lock and allocates nothing, so any number of goroutines
// decide at once on the same snapshot.
package scheduler
