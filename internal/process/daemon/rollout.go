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

// moveProposer adds the proposals of this host to the configuration.
type moveProposer struct{ follower *config.Follower }

// Propose implements rollout.Proposer. The follower stores the proposal and
// appends it to the log as soon as the log is available.
func (p moveProposer) Propose(_ context.Context, proposal rollout.Proposal) error {
	p.follower.JoinMove(configMove(proposal.Move), configState(proposal))
	return nil
}

func configMove(id rollout.MoveID) config.MoveID {
	return config.MoveID{Service: id.Service, From: id.From, To: id.To, Since: id.Since, SinceMillis: id.SinceMillis}
}

// configState converts a proposal to a state of the configuration. Final stages
// become verdicts.
func configState(proposal rollout.Proposal) config.MoveState {
	state := config.MoveState{Reason: proposal.Reason}
	switch {
	case proposal.Stage >= rollout.StageRolledBack:
		state.Verdict = config.VerdictBad
	case proposal.Stage >= rollout.StageDone:
		state.Verdict = config.VerdictDone
	default:
		state.Stage = uint32(proposal.Stage)
	}
	return state
}

// stageOf converts a state of the configuration back to a stage.
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

// attemptObserver reports the results of attempts to the evaluation of version
// moves.
type attemptObserver struct {
	rollouts *rollout.Controller
	index    func() *bundle.Index
}

// attemptObservation observes one attempt. Its tracker is nil, and its methods do
// nothing, if no move affects the request.
type attemptObservation struct {
	tracker *rollout.Tracker
	start   time.Time
}

// ObserveAttempt implements flow.AttemptObserver.
func (o *attemptObserver) ObserveAttempt(request *flow.Request, placed *placement.Placement) flow.AttemptObservation {
	endpoint, found := o.index().Endpoint(placed.Endpoint)
	if !found {
		endpoint = &bundle.Endpoint{}
	}
	tracker := o.rollouts.Track(rollout.Attempt{
		Service:            request.Service.Name,
		Version:            placed.Version,
		Route:              request.Route.Name,
		Endpoint:           placed.Endpoint,
		ExpectedFirstToken: tokenTime(placed.PrefillTokens, endpoint.PrefillTokensPerSecond),
		ExpectedPerToken:   tokenTime(1, endpoint.DecodeTokensPerSecond),
		Cold:               placed.Cold,
	})
	return &attemptObservation{tracker: tracker, start: time.Now()}
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
func (o *attemptObservation) FirstToken() { o.tracker.FirstToken(time.Since(o.start)) }

// Tokens implements flow.AttemptObservation.
func (o *attemptObservation) Tokens(count int) { o.tracker.Tokens(count, time.Since(o.start)) }

// End implements flow.AttemptObservation.
func (o *attemptObservation) End(end flow.AttemptEnd, tokens int) {
	o.tracker.End(resultOf(end), tokens, time.Since(o.start))
}

func resultOf(end flow.AttemptEnd) rollout.Result {
	switch end {
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
