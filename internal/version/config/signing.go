package config

import (
	"time"

	"mustarddoor/internal/version/bundle"
)

// Draft is a bundle to publish.
type Draft struct {
	// Base is the version that the bundle was written from: the newest one.
	Base   uint64
	Bundle *bundle.Bundle
	// RestartAt, unless zero, is the log's next offset, and the bundle takes
	// effect whatever Base is; see PublishBody.RestartAt.
	RestartAt uint64
}

// Publish signs a bundle. The result goes to Operator.Submit of any host.
func (s *Signer) Publish(draft Draft, sequence uint64) Record {
	canonical := draft.Bundle.Canonical()
	return s.sign(KindPublish, sequence, PublishBody{
		Base:      draft.Base,
		Schema:    draft.Bundle.Schema,
		Name:      draft.Bundle.Name,
		Digest:    string(bundle.DigestOf(canonical)),
		Content:   pack(canonical),
		RestartAt: draft.RestartAt,
	})
}

// Approve signs the approval of a version of which the operator has read the
// bundle with the digest.
func (s *Signer) Approve(version uint64, digest string, sequence uint64) Record {
	return s.sign(KindApprove, sequence, ApproveBody{Version: version, Digest: digest})
}

// Roll signs the order to put a version in force.
func (s *Signer) Roll(version uint64, digest string, sequence uint64) Record {
	return s.sign(KindRoll, sequence, RollBody{Version: version, Digest: digest})
}

// Mark signs a domain mark. The stamp is one that a host has issued.
func (s *Signer) Mark(domain string, excluded bool, reason string, stamp Stamp, sequence uint64) Record {
	return s.sign(KindMark, sequence, MarkBody{Domain: domain, Excluded: excluded, Reason: reason, Stamp: stamp})
}

// NextSequence gives a sequence after the last one of a signer. Sequences
// follow the clock, so that a tool need not keep them.
func NextSequence(last uint64, now time.Time) uint64 {
	return max(last+1, uint64(now.UnixNano()))
}
