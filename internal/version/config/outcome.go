package config

// Result is the result of processing a record.
type Result string

// The results.
const (
	// ResultAccepted is a record that took effect.
	ResultAccepted Result = "accepted"
	// ResultLostRace is a record that refers to a version that is not, or no
	// longer, the newest.
	ResultLostRace Result = "lost race"
	// ResultRefused is a record that violates a rule; see Reason.
	ResultRefused Result = "refused"
	// ResultUnknown is a record of a kind or schema that this release does not
	// support. It is retained.
	ResultUnknown Result = "unknown kind"
	// ResultSkipped is a record that does not directly follow the state's
	// offset: it was already applied, or records before it are missing.
	ResultSkipped Result = "skipped"
	// ResultUnavailable is a record that is known not to have reached the log.
	ResultUnavailable Result = "unavailable"
	// ResultUncertain is a record that may or may not be in the log. It can be
	// submitted again unchanged: it takes effect at most once.
	ResultUncertain Result = "uncertain"
)

// Reason is the rule that a refused record violates.
type Reason string

// The reasons.
const (
	ReasonNone            Reason = ""
	ReasonSyntax          Reason = "not a record"
	ReasonUnknownSigner   Reason = "unknown signer"
	ReasonSignature       Reason = "wrong signature"
	ReasonRole            Reason = "signer may not write this kind"
	ReasonReplay          Reason = "replayed: an earlier sequence of its signer"
	ReasonBundle          Reason = "invalid bundle"
	ReasonNameTaken       Reason = "name is taken"
	ReasonDigest          Reason = "digest is not the version's"
	ReasonSelfApproval    Reason = "approver is the publisher"
	ReasonAlreadyApproved Reason = "already approved"
	ReasonNotApproved     Reason = "not approved"
	ReasonAlreadyInForce  Reason = "already in force"
	ReasonUnknownDomain   Reason = "no such failure domain"
	ReasonStampAhead      Reason = "stamp lies ahead of this host's clock"
	ReasonOlderMark       Reason = "a later mark of the domain is in force"
	ReasonSnapshot        Reason = "snapshot is of a later offset than its own"
)

// Outcome is what an operator learns about the processing of a record.
type Outcome struct {
	Result Result `json:"result"`
	Reason Reason `json:"reason,omitempty"`
	// Detail is an explanation for operators.
	Detail string `json:"detail,omitempty"`
	// Offset is the record's offset in the log; zero if there is none.
	Offset uint64 `json:"offset,omitempty"`
	ID     string `json:"id,omitempty"`
	Kind   Kind   `json:"kind,omitempty"`
	Signer string `json:"signer,omitempty"`
	// Winner is the newest version, for ResultLostRace.
	Winner *VersionInfo `json:"winner,omitempty"`
}

// VersionInfo describes a version for operators.
type VersionInfo struct {
	Version   uint64 `json:"version"`
	Name      string `json:"name"`
	Digest    string `json:"digest"`
	Publisher string `json:"publisher"`
	Approver  string `json:"approver,omitempty"`
	Roller    string `json:"roller,omitempty"`
	// RolledMillis is when the version was rolled by the log's clock, in Unix
	// milliseconds.
	RolledMillis int64 `json:"rolled_ms,omitempty"`
	// Understood reports whether this host's release supports its schema.
	Understood bool `json:"understood"`
}

// Info returns a description of the version, or nil if v is nil.
func (v *Version) Info() *VersionInfo {
	if v == nil {
		return nil
	}
	return &VersionInfo{
		Version:      v.Offset,
		Name:         v.Name,
		Digest:       v.Digest,
		Publisher:    v.Publisher,
		Approver:     v.Approver,
		Roller:       v.Roller,
		RolledMillis: v.RolledMillis,
		Understood:   v.bundle != nil,
	}
}
