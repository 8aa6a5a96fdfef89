package config

import (
	"time"

	"mustarddoor/internal/version/bundle"
)

// Draft is a bundle to publish.
type Draft struct {
	// Base is the newest version, which the bundle is based on.
	Base   uint64
	Bundle *bundle.Bundle
	// RestartAt, unless zero, is the log's next offset; the bundle is then
	// accepted whatever Base is. See PublishBody.RestartAt.
	RestartAt uint64
}

// Publish signs a bundle. The record can be submitted to the Operator of any
// host.
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

// Approve signs the approval of a version. The digest is that of the bundle that
// the operator has reviewed.
func (s *Signer) Approve(version uint64, digest string, sequence uint64) Record {
	return s.sign(KindApprove, sequence, ApproveBody{Version: version, Digest: digest})
}

// Roll signs the order to put a version in force.
func (s *Signer) Roll(version uint64, digest string, sequence uint64) Record {
	return s.sign(KindRoll, sequence, RollBody{Version: version, Digest: digest})
}

// Mark signs a domain mark. The stamp has been issued by a host.
func (s *Signer) Mark(domain string, excluded bool, reason string, stamp Stamp, sequence uint64) Record {
	return s.sign(KindMark, sequence, MarkBody{Domain: domain, Excluded: excluded, Reason: reason, Stamp: stamp})
}

// NextSequence returns a sequence after a signer's last one. Sequences follow the
// clock, so that tools need not store them.
func NextSequence(last uint64, now time.Time) uint64 {
	return max(last+1, uint64(now.UnixNano()))
}
