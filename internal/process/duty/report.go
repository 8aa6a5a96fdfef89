package duty

import (
	"time"

	"github.com/rotisserie/eris"
)

// ReportPlan decides when the usage of a window is reported, and which windows can no
// longer be. The counts of a window are saved before they are sent, in the order of the
// windows, so that no window is ever reported with two different counts.
type ReportPlan struct {
	// Length is the length of a window, Lateness the time after its end until which its
	// report is due.
	Length, Lateness time.Duration
}

// settleTime is the time after the end of a window from which its counts are taken: the
// hosts' clocks agree better than that.
const settleTime = 300 * time.Millisecond

// fixBy returns the time at which the counts of a window are taken even if some hosts do
// not answer. It leaves time for another host to take over.
func (p ReportPlan) fixBy(window int64) time.Time {
	return windowEnd(window, p.Length).Add(p.Lateness / 2)
}

// DueBy returns when the report of a window is due.
func (p ReportPlan) DueBy(window int64) time.Time {
	return windowEnd(window, p.Length).Add(p.Lateness)
}

// ReportState is what is known of the reports.
type ReportState struct {
	// Fixed is the newest window whose counts are saved.
	Fixed int64
	// HasFixed is set if there is one, IsAnswered if the platform has accepted its report.
	HasFixed, IsAnswered bool
	// Since is the time from which on all saved values are known. Reports of windows that
	// ended earlier may have been sent and their counts lost.
	Since time.Time
}

// ReportStep is what to do about the reports.
type ReportStep struct {
	// Send is set if the saved report is to be sent, Fix if the counts of Window are to be
	// saved.
	Send, Fix bool
	Window    int64
	// Missed is the number of windows before Window that were not reported in time.
	Missed int64
}

// Next returns the next step. isComplete reports whether all hosts' counts are known up to
// a time.
func (p ReportPlan) Next(state ReportState, now time.Time, isComplete func(until time.Time) bool) ReportStep {
	// Nobody has sent the report of a window that had not ended by then.
	floor := WindowOf(state.Since, p.Length) - 1
	if state.Fixed <= floor {
		// It may be a late append whose place another report had taken.
		state.HasFixed = false
	}
	isPending := state.HasFixed && !state.IsAnswered
	if isPending && now.Before(p.DueBy(state.Fixed)) {
		return ReportStep{Send: true, Window: state.Fixed}
	}
	first := floor + 1
	if state.HasFixed {
		first = max(first, state.Fixed+1)
	}
	step := ReportStep{Window: first}
	if earliest := WindowOf(now.Add(-p.Lateness), p.Length); earliest > first {
		step.Window, step.Missed = earliest, earliest-first
	}
	if isPending {
		step.Missed++
	}
	settledAt := windowEnd(step.Window, p.Length).Add(settleTime)
	if !now.Before(settledAt) && (isComplete(settledAt) || !now.Before(p.fixBy(step.Window))) {
		step.Fix = true
	}
	return step
}

// usageRecord is the saved form of a report.
type usageRecord struct {
	Window int64            `cbor:"1,keyasint"`
	Counts map[string]int64 `cbor:"2,keyasint"`
}

// UsageKey is the key of the newest saved report.
const UsageKey = "usage"

// EncodeReport encodes a report for Holder.Save.
func EncodeReport(report UsageReport) ([]byte, error) {
	value, err := wire.Marshal(usageRecord(report))
	return value, eris.Wrapf(err, "usage of window %d", report.Window)
}

// DecodeReport decodes a saved report.
func DecodeReport(value []byte) (UsageReport, error) {
	record := usageRecord{}
	err := wire.Unmarshal(value, &record)
	if record.Counts == nil {
		record.Counts = map[string]int64{}
	}
	return UsageReport(record), eris.Wrap(err, "saved usage")
}
