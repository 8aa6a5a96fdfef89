package config

import (
	"maps"
	"slices"
)

// Status describes a host's configuration for operators.
type Status struct {
	Host  string `json:"host"`
	Ready bool   `json:"ready"`
	// Reason explains why the host is not ready.
	Reason string `json:"reason,omitempty"`
	// Offset is the log offset up to which records were applied.
	Offset uint64 `json:"offset"`
	// Head is the newest published version, InForce the last rolled one, and
	// Serving the one that the host uses: the last rolled version whose schema
	// it supports.
	Head    *VersionInfo `json:"head,omitempty"`
	InForce *VersionInfo `json:"in_force,omitempty"`
	Serving *VersionInfo `json:"serving,omitempty"`
	// Domains are all failure domains that have a mark.
	Domains []DomainStatus `json:"domains"`
	Moves   []MoveView     `json:"moves"`
	Log     LogStatus      `json:"log"`
	// Refused holds the outcomes of recent records that were not accepted.
	Refused []Outcome `json:"refused"`
	// Unknown holds recent records of a newer release; UnknownCount counts all of
	// them.
	Unknown      []UnknownRecord `json:"unknown"`
	UnknownCount uint64          `json:"unknown_count"`
	// Sequences holds the last sequence by operator.
	Sequences map[string]uint64 `json:"sequences"`
	// Stamp is a new stamp for one domain mark.
	Stamp Stamp `json:"stamp"`
}

// DomainStatus is the latest mark of a failure domain.
type DomainStatus struct {
	Exclusion
	Excluded bool `json:"out"`
	// Logged reports whether the mark is in the log.
	Logged bool `json:"logged"`
}

// LogStatus is what a host knows about the log service.
type LogStatus struct {
	Available bool `json:"available"`
	// Next is the highest next offset that the log has returned.
	Next uint64 `json:"next"`
	// DownSinceMillis is when the log became unavailable, in Unix milliseconds.
	DownSinceMillis int64  `json:"down_since_ms,omitempty"`
	Error           string `json:"error,omitempty"`
	// GapFrom and GapTo are the first and last offset of the records that the log
	// trimmed before this host read them; zero if there is no gap.
	GapFrom uint64 `json:"gap_from,omitempty"`
	GapTo   uint64 `json:"gap_to,omitempty"`
	// Short reports that the log ends before the offset that was read.
	Short bool `json:"short,omitempty"`
}

// Status returns the status of this host. It issues a new stamp.
func (o *Operator) Status() Status {
	f := o.follower
	stamp := f.issueStamp()
	f.mu.Lock()
	defer f.mu.Unlock()
	ready, reason := f.readiness()
	log := f.state.Log
	view := f.Current()
	return Status{
		Host:         f.options.Host,
		Ready:        ready,
		Reason:       reason,
		Offset:       log.Offset,
		Head:         log.Head.Info(),
		InForce:      f.state.InForce.Info(),
		Serving:      view.Version,
		Domains:      f.state.domainStatus(),
		Moves:        view.Moves,
		Log:          f.health.status(),
		Refused:      slices.Clone(f.outcomes.refused),
		Unknown:      log.Unknown,
		UnknownCount: log.UnknownCount,
		Sequences:    f.state.sequences(f.options.Keys),
		Stamp:        stamp,
	}
}

// sequences returns the last sequence by operator.
func (s State) sequences(keys *Keyring) map[string]uint64 {
	sequences := map[string]uint64{}
	for name := range keys.operators {
		sequences[name] = max(s.Log.SequenceFloor, s.Log.Sequences[name])
	}
	return sequences
}

func (s State) domainStatus() []DomainStatus {
	list := []DomainStatus{}
	for _, domain := range slices.Sorted(maps.Keys(s.Marks)) {
		mark := s.Marks[domain]
		list = append(list, DomainStatus{
			Exclusion: Exclusion{Domain: domain, Reason: mark.Reason, Operator: mark.Operator, Stamp: mark.Stamp},
			Excluded:  mark.Excluded,
			Logged:    s.Log.Marks[domain].Compare(mark.Stamp) >= 0,
		})
	}
	return list
}

func (h health) status() LogStatus {
	status := LogStatus{
		Available: !h.isLogDown(),
		Next:      h.logTail,
		Error:     h.logError,
		GapFrom:   h.gapFrom,
		GapTo:     h.gapTo,
		Short:     h.isLogTruncated,
	}
	if h.isLogDown() {
		status.DownSinceMillis = h.logDownSince.UnixMilli()
	}
	return status
}
