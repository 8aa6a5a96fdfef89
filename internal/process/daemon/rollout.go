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

// makeRollout makes what judges version moves.
func (h *host) makeRollout() error {
	h.judge = rollout.NewController(rollout.Config{
		Self:     h.self.Incarnation,
		Exchange: rollout.NewMeshExchange(h.caller, h.peerAddresses),
		Proposer: moveProposer{h.follower},
		Notify:   h.observeMove,
		Metrics:  h.metrics,
	})
	h.meshServer.Handle(rollout.KindEvidence, h.judge.HandleEvidence)
	return nil
}

// moveProposer hands verdicts to the configuration.
type moveProposer struct{ follower *config.Follower }

// Propose implements rollout.Proposer. The follower keeps what the log does
// not have yet and appends it when it can.
func (p moveProposer) Propose(_ context.Context, verdict rollout.Proposal) error {
	p.follower.JoinMove(configMove(verdict.Move), configState(verdict))
	return nil
}

func configMove(id rollout.MoveID) config.MoveID {
	return config.MoveID{Service: id.Service, From: id.From, To: id.To, Since: id.Since, SinceMillis: id.SinceMillis}
}

// configState translates a stage. The stages of ended moves are verdicts.
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

// movesOf are the version moves of a view.
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

// routesOf are the names of a service's routes.
func routesOf(b *bundle.Bundle, service string) []string {
	names := []string{}
	for _, route := range b.Routes {
		if route.Service == service {
			names = append(names, route.Name)
		}
	}
	return names
}

// observeMove puts a move's new stage on the time line and in the log.
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

// versionWatcher tells the judge what endpoints make of requests.
type versionWatcher struct {
	judge *rollout.Controller
	index func() *bundle.Index
}

// versionWatch follows one request. Its watch is nil, and does nothing, if no
// move concerns the request.
type versionWatch struct {
	watch *rollout.Tracker
	began time.Time
}

// ObserveAttempt implements flow.AttemptObserver.
func (w *versionWatcher) ObserveAttempt(request *flow.Request, place *placement.Placement) flow.AttemptObservation {
	endpoint, found := w.index().Endpoint(place.Endpoint)
	if !found {
		endpoint = &bundle.Endpoint{}
	}
	watch := w.judge.Track(rollout.Attempt{
		Service:            request.Service.Name,
		Version:            place.Version,
		Route:              request.Route.Name,
		Endpoint:           place.Endpoint,
		ExpectedFirstToken: timeOf(place.PrefillTokens, endpoint.PrefillTokensPerSecond),
		ExpectedPerToken:   timeOf(1, endpoint.DecodeTokensPerSecond),
		Cold:               place.Cold,
	})
	return &versionWatch{watch: watch, began: time.Now()}
}

// timeOf is the time of tokens at a speed in tokens a second; zero if the
// speed is not known.
func timeOf(tokens int, speed float64) time.Duration {
	if speed <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / speed * float64(time.Second))
}

// FirstToken implements flow.AttemptObservation.
func (w *versionWatch) FirstToken() { w.watch.FirstToken(time.Since(w.began)) }

// Tokens implements flow.AttemptObservation.
func (w *versionWatch) Tokens(count int) { w.watch.Tokens(count, time.Since(w.began)) }

// End implements flow.AttemptObservation.
func (w *versionWatch) End(ended flow.AttemptEnd, tokens int) {
	w.watch.End(resultOf(ended), tokens, time.Since(w.began))
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
