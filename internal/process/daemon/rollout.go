package daemon

import (
	"context"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"mustarddoor/internal/process/placement"
	"mustarddoor/internal/process/timeline"
	"mustarddoor/internal/request/flow"
	"mustarddoor/internal/version/bundle"
	"mustarddoor/internal/version/config"
	"mustarddoor/internal/version/rollout"
)

// initRollout creates the component that evaluates version moves.
func (h *host) initRollout() error {
	h.rollouts = rollout.NewController(rollout.Config{
		Self:     h.self.Incarnation,
		Exchange: rollout.NewMeshExchange(h.meshCaller, h.peerAddresses),
		Proposer: moveProposer{h.follower},
		Notify:   h.observeMove,
		Metrics:  h.metrics,
	})
	h.meshServer.Handle(rollout.KindEvidence, h.rollouts.HandleEvidence)
	return nil
}

// moveProposer adds verdicts to the configuration.
type moveProposer struct{ follower *config.Follower }

// Propose implements rollout.Proposer. The follower stores the verdict and
// appends it to the log as soon as the log is available.
func (p moveProposer) Propose(_ context.Context, verdict rollout.Proposal) error {
	p.follower.JoinMove(configMove(verdict.Move), configState(verdict))
	return nil
}

func configMove(id rollout.MoveID) config.MoveID {
	return config.MoveID{Service: id.Service, From: id.From, To: id.To, Since: id.Since, SinceMillis: id.SinceMillis}
}

// configState converts a stage to a state of the configuration. The stages of
// finished moves become verdicts.
func configState(verdict rollout.Proposal) config.MoveState {
	state := config.MoveState{Reason: verdict.Reason}
	switch {
	case verdict.Stage >= rollout.StageRolledBack:
		state.Verdict = config.VerdictBad
	case verdict.Stage >= rollout.StageDone:
		state.Verdict = config.VerdictDone
	default:
		state.Stage = uint32(verdict.Stage)
	}
	return state
}

// stageOf is the inverse of configState.
func stageOf(state config.MoveState) rollout.Stage {
	switch state.Verdict {
	case config.VerdictBad:
		return rollout.StageRolledBack
	case config.VerdictDone:
		return rollout.StageDone
	default:
		return rollout.Stage(state.Stage)
	}
}

// movesOf returns the version moves of a view.
func movesOf(view *config.View) []rollout.Move {
	moves := []rollout.Move{}
	for _, move := range view.Moves {
		moves = append(moves, rollout.Move{
			MoveID: rollout.MoveID{
				Service:     move.ID.Service,
				From:        move.ID.From,
				To:          move.ID.To,
				Since:       move.ID.Since,
				SinceMillis: move.ID.SinceMillis,
			},
			Began:       time.UnixMilli(move.ID.SinceMillis),
			MaxDuration: time.Duration(move.Move.CompleteSeconds) * time.Second,
			Stage:       stageOf(move.State),
			Reason:      move.State.Reason,
			Routes:      routesOf(view.Bundle, move.ID.Service),
		})
	}
	return moves
}

// routesOf returns the names of a service's routes.
func routesOf(b *bundle.Bundle, service string) []string {
	names := []string{}
	for _, route := range b.Routes {
		if route.Service == service {
			names = append(names, route.Name)
		}
	}
	return names
}

// observeMove records a move's new stage on the timeline, and logs the final
// stage and a move past its deadline.
func (h *host) observeMove(event rollout.Event) {
	kind := timeline.MoveStage
	switch {
	case event.Stage >= rollout.StageRolledBack:
		kind = timeline.MoveBad
	case event.Stage >= rollout.StageDone:
		kind = timeline.MoveDone
	}
	const thousandths = 1000
	h.ring.Record(timeline.Event{
		Kind:    kind,
		Service: event.Move.Service,
		Version: event.Move.To,
		Value:   int64(math.Round(event.Share * thousandths)),
		Detail:  event.Reason,
	})
	if event.Stage.IsFinal() || event.DeadlineExceeded {
		h.logger.WithFields(logrus.Fields{
			"service": event.Move.Service,
			"version": event.Move.To,
			"reason":  event.Reason,
		}).Info("version move: " + event.Stage.String())
	}
}

// versionWatcher reports the results of attempts to the evaluation of version
// moves.
type versionWatcher struct {
	rollouts *rollout.Controller
	index    func() *bundle.Index
}

// versionWatch observes one attempt. Its watch is nil, and its methods do
// nothing, if no move affects the request.
type versionWatch struct {
	watch *rollout.Tracker
	start time.Time
}

// ObserveAttempt implements flow.AttemptObserver.
func (w *versionWatcher) ObserveAttempt(request *flow.Request, place *placement.Placement) flow.AttemptObservation {
	endpoint, found := w.index().Endpoint(place.Endpoint)
	if !found {
		endpoint = &bundle.Endpoint{}
	}
	watch := w.rollouts.Track(rollout.Attempt{
		Service:            request.Service.Name,
		Version:            place.Version,
		Route:              request.Route.Name,
		Endpoint:           place.Endpoint,
		ExpectedFirstToken: tokenTime(place.PrefillTokens, endpoint.PrefillTokensPerSecond),
		ExpectedPerToken:   tokenTime(1, endpoint.DecodeTokensPerSecond),
		Cold:               place.Cold,
	})
	return &versionWatch{watch: watch, start: time.Now()}
}

// tokenTime returns the time that tokens take at a speed in tokens per second,
// or zero if the speed is unknown.
func tokenTime(tokens int, speed float64) time.Duration {
	if speed <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / speed * float64(time.Second))
}

// FirstToken implements flow.AttemptObservation.
func (w *versionWatch) FirstToken() { w.watch.FirstToken(time.Since(w.start)) }

// Tokens implements flow.AttemptObservation.
func (w *versionWatch) Tokens(count int) { w.watch.Tokens(count, time.Since(w.start)) }

// End implements flow.AttemptObservation.
func (w *versionWatch) End(ended flow.AttemptEnd, tokens int) {
	w.watch.End(resultOf(ended), tokens, time.Since(w.start))
}

func resultOf(ended flow.AttemptEnd) rollout.Result {
	switch ended {
	case flow.AttemptCompleted:
		return rollout.ResultSucceeded
	case flow.AttemptFailed:
		return rollout.ResultFailed
	case flow.AttemptBroken:
		return rollout.ResultLost
	default:
		return rollout.ResultNone
	}
}
