package gateway

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"mustarddoor/internal/process/dispatch"
	"mustarddoor/internal/process/keyed"
	"mustarddoor/internal/process/pause"
	"mustarddoor/internal/version/canary"
)

// moveTracker evaluates the services' moves to other versions and reports them
// to the operator. Every host evaluates them in the same way; the writer reports
// them.
type moveTracker struct {
	gateway *Gateway

	mu sync.Mutex
	// current holds the moves as of the last evaluation.
	current []dispatch.MoveState
	// reported holds the stages known to be in the operator's reports, by service
	// and target.
	reported map[[2]string]reportedStage
}

// reportedStage is a stage in the operator's reports, as of an era of the store.
type reportedStage struct {
	stage canary.Stage
	era   uint64
}

const (
	// evaluationInterval is the time between evaluations.
	evaluationInterval = 100 * time.Millisecond
	// reportTimeout limits the store calls for one report.
	reportTimeout = 800 * time.Millisecond
)

func newMoveTracker(g *Gateway) *moveTracker {
	return &moveTracker{gateway: g, reported: map[[2]string]reportedStage{}}
}

// run evaluates and reports moves until ctx is done.
func (m *moveTracker) run(ctx context.Context) error {
	for pause.For(ctx, evaluationInterval) {
		states := m.gateway.dispatcher.EvaluateMoves()
		m.mu.Lock()
		m.current = states
		m.mu.Unlock()
		for _, state := range states {
			if state.StageRaised {
				m.log(state).Info("move to a version raised")
			}
			if err := m.report(ctx, state); err != nil {
				m.log(state).WithError(err).Warn("cannot report move to a version")
			}
		}
	}
	return nil
}

func (m *moveTracker) states() []dispatch.MoveState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current
}

func (m *moveTracker) log(state dispatch.MoveState) *logrus.Entry {
	slowdown, limit := state.FleetEvidence.Slowdown()
	return m.gateway.log.Entry().WithFields(logrus.Fields{
		"service": state.Order.Service, "target": state.Order.Target, "stage": state.Stage.String(),
		"new_good": state.FleetEvidence.New.Succeeded, "new_failed": state.FleetEvidence.New.Failed,
		"old_good": state.FleetEvidence.Old.Succeeded, "old_failed": state.FleetEvidence.Old.Failed,
		"slowdown": slowdown, "slowdown_limit": limit,
	})
}

// logRaised logs a stage that was raised by another host or by the operator's
// reports.
func (m *moveTracker) logRaised(service, target string, stage canary.Stage, from string) {
	m.gateway.log.Entry().WithFields(logrus.Fields{"service": service, "target": target, "stage": stage.String(), "from": from}).
		Info("move to a version raised")
}

// report writes a move's stage to the operator's reports, unless the same or a
// later stage is stored there. The write is conditional on what was read, so that
// two writers cannot overwrite each other.
func (m *moveTracker) report(ctx context.Context, state dispatch.MoveState) error {
	key := [2]string{state.Order.Service, state.Order.Target}
	stage := state.Stage
	if stage == canary.StageShift {
		stage = canary.StageTrial // the platform has no intermediate stage
	}
	// The report of the service's last move replaces that of an earlier one.
	maps.DeleteFunc(m.reported, func(other [2]string, _ reportedStage) bool { return other[0] == key[0] && other != key })
	known := m.reported[key]
	isKnown := known.stage >= stage && known.era >= m.gateway.storeEra()
	if isKnown || !m.gateway.isWriter() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	partition := keyed.Partition{Topic: m.gateway.ports.Topics.Reports}
	reports, err := m.gateway.ports.Store.Newest(ctx, partition)
	if err != nil {
		return eris.Wrap(err, "read reports")
	}
	for recordKey, value := range reports.Values {
		service, target, storedStage, err := m.gateway.ports.DecodeReport(keyed.Record{Key: recordKey, Value: value})
		if err != nil || service != state.Order.Service || target != state.Order.Target {
			continue // not a move's record, or that of another move
		}
		if m.gateway.dispatcher.RecordMoveReport("", service, target, storedStage, canary.Evidence{}) {
			m.logRaised(service, target, storedStage, "operator's side")
		}
		if storedStage >= stage {
			m.reported[key] = reportedStage{storedStage, reports.Era}
			return nil
		}
	}
	record, err := m.gateway.ports.EncodeReport(state.Order, stage)
	if err != nil {
		return eris.Wrap(err, "encode report")
	}
	if _, err := m.gateway.ports.Store.Append(ctx, partition, record, &reports.Offset); err != nil {
		if errors.Is(err, keyed.ErrConflict) {
			return nil // another host wrote; the next evaluation reads its record
		}
		return eris.Wrap(err, "write report")
	}
	m.reported[key] = reportedStage{stage, reports.Era}
	m.log(state).Info("move to a version reported")
	return nil
}
