// Package owner manages requests at the host that owns them, which is the only
// host that may dispatch them.
//
// Machine is the state machine of one request. Registry joins requests with
// equal keys, Request drives one of them and Response buffers its response for
// all readers.
//
// Usage: create one Registry per process, register Registry.Handle for
// KindLocate with the mesh, call Sweep every few seconds and call Stop at the
// start of a planned shutdown. For each request that a caller sends:
//
//	request, joined, refusal := registry.Open(k, digest)
//	// refusal: send it to the caller. joined: read request.Response() from the offset.
//	request.MarkQueued()
//	// ... wait for a slot at an endpoint, or request.Refuse(reason)
//	if refusal := request.ObtainPermit(ctx, target, sendWithin); refusal != nil { ... }
//	if refusal := request.Dispatch(); refusal != nil { ... }
//	// send; request.Begin(head); io.Copy(request, body); request.Finish(result)
//
// A refusal before Open is not recorded, so a duplicate of the request that is
// still in transit could run later. Hosts therefore open a key before they
// refuse it with outcome NotRun.
package owner
