// Package owner runs requests at the host that owns them, the only one that
// may dispatch them.
//
// The pure decisions are in Machine. Registry joins requests with equal keys,
// Request drives one of them and Answer hands its bytes to all readers.
//
// Wiring: make one Registry for the process, register Registry.Handle for KindLocate
// with the mesh, call Sweep every few seconds and Stop at the start of a
// planned shutdown. For each request that a caller sends:
//
//	request, joined, refusal := registry.Open(k, digest)
//	// refusal: answer it. joined: read request.Answer() from the offset.
//	request.Queue()
//	// ... wait for a slot at an endpoint, or request.Refuse(reason)
//	if refusal := request.Permit(ctx, target, within); refusal != nil { ... }
//	if refusal := request.Dispatch(); refusal != nil { ... }
//	// send; request.Begin(head); io.Copy(request, body); request.Finish(final)
//
// A refusal before Open is not remembered, so a copy of the request that is
// still under way could run later. Hosts therefore open a key before they
// refuse it with outcome NotRun.
package owner
