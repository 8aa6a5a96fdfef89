package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"mustarddoor/internal/process/dispatch"
	"mustarddoor/internal/process/keyed"
	"mustarddoor/internal/process/pause"
	"mustarddoor/internal/version/canary"
)

// moves judges the services' moves to other versions and tells the operator of
// them. All hosts judge alike; the first of those that reach the log writes.
type moves struct {
	gateway *Gateway

	mu sync.Mutex
	// known are the moves as they were last judged.
	known []dispatch.MoveState
	// told are the stages that the operator's side is known to have, by
	// service and target.
	told map[[2]string]canary.Stage
}

const (
	// judgeEvery is the pause between judgements.
	judgeEvery = 100 * time.Millisecond
	// reportTimeout bounds one call for a report.
	reportTimeout = 800 * time.Millisecond
)

func newMoves(g *Gateway) *moves { return &moves{gateway: g, told: map[[2]string]canary.Stage{}} }

// run judges and reports until the context ends.
func (m *moves) run(ctx context.Context) error {
	for pause.For(ctx, judgeEvery) {
		states := m.gateway.dispatcher.EvaluateMoves()
		m.mu.Lock()
		m.known = states
		m.mu.Unlock()
		for _, state := range states {
			if state.StageRaised {
				m.log(state).Info("move to a version raised")
			}
			if err := m.report(ctx, state); err != nil {
				m.log(state).WithError(err).Warn("move to a version not reported")
			}
		}
	}
	return nil
}

func (m *moves) states() []dispatch.MoveState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.known
}

func (m *moves) log(state dispatch.MoveState) *logrus.Entry {
	return m.gateway.log.Entry().WithFields(logrus.Fields{
		"service": state.Order.Service, "target": state.Order.Target, "stage": state.Stage.String(),
		"new_good": state.FleetEvidence.New.Good, "new_failed": state.FleetEvidence.New.Failed,
		"old_good": state.FleetEvidence.Old.Good, "old_failed": state.FleetEvidence.Old.Failed,
	})
}

// raised logs a stage that came from elsewhere.
func (m *moves) raised(service, target string, stage canary.Stage, from string) {
	m.gateway.log.Entry().WithFields(logrus.Fields{"service": service, "target": target, "stage": stage.String(), "from": from}).
		Info("move to a version raised")
}

// report brings the operator's side up to date. What stands there counts if it
// is further; a write happens only on what was read, so that two writers cannot
// overwrite each other.
func (m *moves) report(ctx context.Context, state dispatch.MoveState) error {
	key := [2]string{state.Order.Service, state.Order.Target}
	stage := state.Stage
	if stage == canary.StageShift {
		stage = canary.StageTrial // the operator knows no stage in between
	}
	if m.told[key] >= stage || !m.gateway.isWriter() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	part := keyed.Part{Topic: m.gateway.ports.Topics.Reports}
	records, end, err := m.gateway.ports.Store.Newest(ctx, part)
	if err != nil {
		return eris.Wrap(err, "read reports")
	}
	for _, record := range records {
		service, target, stands, err := m.gateway.ports.DecodeReport(record)
		if err != nil || service != state.Order.Service || target != state.Order.Target {
			continue // another writer's record, or of another move
		}
		if m.gateway.dispatcher.RecordMoveReport("", service, target, stands, canary.Evidence{}) {
			m.raised(service, target, stands, "operator's side")
		}
		if stands >= stage {
			m.told[key] = stands
			return nil
		}
	}
	record, err := m.gateway.ports.Report(state.Order, stage)
	if err != nil {
		return eris.Wrap(err, "encode report")
	}
	if _, err := m.gateway.ports.Store.Append(ctx, part, record, &end); err != nil {
		if errors.Is(err, keyed.ErrConflict) {
			return nil // another host wrote; the next look reads it
		}
		return eris.Wrap(err, "write report")
	}
	m.told[key] = stage
	m.log(state).Info("move to a version reported")
	return nil
}
