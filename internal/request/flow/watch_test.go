package flow

import (
	"testing"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/request/outcome"
	"mustarddoor/internal/request/witness"
)

func TestEndOfDispatch(t *testing.T) {
	cases := []struct {
		name  string
		final witness.Final
		want  DispatchEnd
	}{
		{"whole answer", witness.Final{Outcome: outcome.Done}, DispatchAnswered},
		{"error of the endpoint", witness.Final{Outcome: outcome.Failed, Reason: outcome.ReasonEndpoint}, DispatchFailed},
		{"caller gone", witness.Final{Outcome: outcome.Failed, Reason: outcome.ReasonCanceled}, DispatchCanceled},
		{"reply lost", witness.Final{Outcome: outcome.Unknown, Reason: outcome.ReasonReplyLost}, DispatchBroken},
		{"stream lost", witness.Final{Outcome: outcome.Failed, Reason: outcome.ReasonReplyLost}, DispatchBroken},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, endOf(test.final), test.want)
		})
	}
	assert.Equal(t, unstarted(true), DispatchRefused)
	assert.Equal(t, unstarted(false), DispatchBroken)
}
