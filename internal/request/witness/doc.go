// Package witness records, at one host, the intents of owners at other hosts to
// dispatch requests, so that the state of a request can be determined after its
// owner has failed.
//
// For each key, the Register holds whichever was written first: an intent or a
// void. After an intent the owner may dispatch the request, and every other
// host must assume that it did. A void makes the owner refuse the request, so
// that the host that wrote the void may truthfully report "not run". Records
// are dropped after the retention time; the register remembers the latest
// session of which it dropped a record and never voids a key that it may have
// known before.
//
// Usage: create one Register per process, call its AddHandlers with the mesh
// router and Sweep every few seconds. Sender is the owner's side and implements
// owner.IntentSender and owner.OutcomeRecorder.
package witness
