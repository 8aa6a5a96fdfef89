package flow

import (
	"testing"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/request/outcome"
	"mustarddoor/internal/request/witness"
)

func TestAttemptEnd(t *testing.T) {
	cases := []struct {
		name   string
		result witness.Result
		want   AttemptEnd
	}{
		{"complete response", witness.Result{Outcome: outcome.Done}, AttemptCompleted},
		{"endpoint error", witness.Result{Outcome: outcome.Failed, Reason: outcome.ReasonEndpoint}, AttemptFailed},
		{"caller disconnected", witness.Result{Outcome: outcome.Failed, Reason: outcome.ReasonCanceled}, AttemptCanceled},
		{"reply lost", witness.Result{Outcome: outcome.Unknown, Reason: outcome.ReasonReplyLost}, AttemptBroken},
		{"stream lost", witness.Result{Outcome: outcome.Failed, Reason: outcome.ReasonReplyLost}, AttemptBroken},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, attemptEnd(test.result), test.want)
		})
	}
	assert.Equal(t, notStartedEnd(true), AttemptRefused)
	assert.Equal(t, notStartedEnd(false), AttemptBroken)
}
