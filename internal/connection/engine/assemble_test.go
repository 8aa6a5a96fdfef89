package engine_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/engine"
)

func TestAssemble(t *testing.T) {
	cases := []struct{ name, stream, want string }{
		{
			"chat",
			`data: {"id":"k","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"a "},"finish_reason":null}]}` + "\n\n" +
				`data: {"id":"k","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"b"},"finish_reason":"length"}]}` + "\n\n" +
				"data: [DONE]\n\n",
			`{"id":"k","object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":"a b"},"finish_reason":"length"}]}`,
		},
		{
			"text",
			`data: {"id":"k","object":"text_completion","choices":[{"index":0,"text":"a"}],"usage":{"total_tokens":1}}` + "\n\ndata: [DONE]\n\n",
			`{"id":"k","object":"text_completion","choices":[{"index":0,"text":"a","finish_reason":"stop"}],"usage":{"total_tokens":1}}`,
		},
		{"cut", `data: {"id":"k","object":"text_completion","choices":[]}` + "\n\n", ""},
		{"not text", `data: {"choices":[{"delta":{"tool_calls":[]}}]}` + "\n\ndata: [DONE]\n\n", ""},
		{"error event", "event: error\ndata: {}\n\ndata: [DONE]\n\n", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := engine.Assemble([]byte(c.stream))
			if c.want == "" {
				assert.ErrorIs(t, err, engine.ErrAssemble)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, string(got), c.want)
		})
	}
}
