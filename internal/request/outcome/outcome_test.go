package outcome_test

import (
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/request/outcome"
)

func TestRefusalsOverHTTP(t *testing.T) {
	cases := []struct {
		refusal outcome.Refusal
		status  int
	}{
		{outcome.Refuse(outcome.NotRun, outcome.ReasonStopping), 503},
		{outcome.Refuse(outcome.NotRun, outcome.ReasonQueueFull).WithRetryAfter(1500), 429},
		{outcome.Refuse(outcome.NotRun, outcome.ReasonBadRequest), 400},
		{outcome.Refuse(outcome.Unknown, outcome.ReasonOwnerLost), 504},
		{outcome.Refuse(outcome.Unknown, outcome.ReasonExpired), 410},
		{outcome.Refuse(outcome.Unknown, outcome.ReasonKeyReused), 422},
		{outcome.Refuse(outcome.Failed, outcome.ReasonEndpoint), 502},
	}
	for _, c := range cases {
		want := c.refusal.WithAddresses([]string{"127.0.0.1:1"})
		response := httptest.NewRecorder()
		assert.NilError(t, want.Write(response))
		assert.Equal(t, response.Code, c.status)
		got, err := outcome.ParseRefusal(response.Body.Bytes())
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
	}
}

func FuzzParseRefusal(f *testing.F) {
	f.Add([]byte(`{"outcome":"not_run","reason":"shed","retry_after_ms":5,"addresses":["127.0.0.1:1"]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		refusal, err := outcome.ParseRefusal(body)
		if err != nil {
			assert.ErrorIs(t, err, outcome.ErrSyntax)
			return
		}
		assert.NilError(t, refusal.Write(httptest.NewRecorder()))
	})
}
