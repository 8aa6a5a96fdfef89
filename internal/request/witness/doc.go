// Package witness keeps, at one host, what the owners at other hosts are about
// to dispatch, so that the fate of a request can be told after its owner died.
//
// For each key the Register holds the first of intent or void that was
// written. An intent that came first may be acted upon by the owner, and
// everyone else must assume that it was. A void that came first makes the
// owner refuse the request, so that whoever wrote it may truthfully say "not
// run". Records are dropped after the retention time; the register remembers
// up to which session it dropped any and never voids a key that it may have
// known before.
//
// Wiring: make one Register for the process, call its HandleOn with the mesh
// router and Sweep every few seconds. Sender is the
// owner's side and implements owner.Intender and owner.Recorder.
package witness
