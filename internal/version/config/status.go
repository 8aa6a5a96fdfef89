package config

import (
	"maps"
	"slices"
)

// Status is what a host tells operators of its configuration.
type Status struct {
	Host  string `json:"host"`
	Ready bool   `json:"ready"`
	// Reason tells why the host is not ready.
	Reason string `json:"reason,omitempty"`
	// Offset is up to where the log was read.
	Offset uint64 `json:"offset"`
	// Head is the newest version published, InForce the one rolled last, and
	// Serving the one that the host works by: the last that it understands.
	Head    *VersionInfo `json:"head,omitempty"`
	InForce *VersionInfo `json:"in_force,omitempty"`
	Serving *VersionInfo `json:"serving,omitempty"`
	// Domains are the failure domains that were ever marked.
	Domains []DomainStatus `json:"domains"`
	Moves   []MoveView     `json:"moves"`
	Log     LogStatus      `json:"log"`
	// Refused are the recent records that were not accepted.
	Refused []Outcome `json:"refused"`
	// Unknown are records of a newer release, and UnknownCount their number.
	Unknown      []UnknownRecord `json:"unknown"`
	UnknownCount uint64          `json:"unknown_count"`
	// Sequences holds the last sequence by operator.
	Sequences map[string]uint64 `json:"sequences"`
	// Stamp is issued for one domain mark.
	Stamp Stamp `json:"stamp"`
}

// DomainStatus is the last word on a failure domain.
type DomainStatus struct {
	Exclusion
	Excluded bool `json:"out"`
	// Logged tells whether the mark stands in the log.
	Logged bool `json:"logged"`
}

// LogStatus is what a host knows of the log service.
type LogStatus struct {
	Available bool `json:"available"`
	// Next is the highest next offset that the log has told.
	Next uint64 `json:"next"`
	// DownSinceMillis is when it became unavailable, Unix milliseconds.
	DownSinceMillis int64  `json:"down_since_ms,omitempty"`
	Error           string `json:"error,omitempty"`
	// GapFrom and GapTo are records that are gone unread; zero if none.
	GapFrom uint64 `json:"gap_from,omitempty"`
	GapTo   uint64 `json:"gap_to,omitempty"`
	// Short tells that the log ends before what was read.
	Short bool `json:"short,omitempty"`
}

// Status tells what is in force here, and what is wrong.
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

// sequences gives the last sequence by operator.
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
