package standin_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"mustarddoor/internal/connection/engine"
	"mustarddoor/internal/standin/answer"
	"mustarddoor/internal/standin/enginesim"
)

// requestKey contains characters that must be escaped in a path.
const requestKey = "host-1@1.host-2@1.1.1/a%41"

// chatRequest returns the JSON of a chat request and the expected response.
func chatRequest(prompt string, tokens int, stream bool) (string, answer.Request) {
	text := `{"messages":[{"role":"user","content":"` + prompt + `"}],"max_tokens":` +
		strconv.Itoa(tokens) + `,"stream":` + strconv.FormatBool(stream) + `}`
	return text, answer.Request{Key: requestKey, Prompt: prompt + "\n", Tokens: tokens, Chat: true}
}

func TestEngineResponds(t *testing.T) {
	c := newEngine(t, nil)
	text, want := chatRequest("frost?", 7, true)
	assert.DeepEqual(t, c.post(engine.PathChat, requestKey, text).body, want.Stream())
	text, want = chatRequest("frost?", 7, false)
	assert.DeepEqual(t, c.post(engine.PathChat, requestKey, text).body, want.Body())
	assert.Equal(t, c.executionCount(requestKey), 2)
	plain := answer.Request{Key: "k", Prompt: "hoops", Tokens: 16}
	got := c.post(engine.PathCompletions, "k", `{"prompt":"hoops","stream":true}`)
	assert.DeepEqual(t, got.body, plain.Stream())
}

func TestEngineResumes(t *testing.T) {
	cases := []struct {
		name, faults string
		check        func(*testing.T, readResponse)
	}{
		{"whole", `{}`, func(t *testing.T, r readResponse) { assert.NilError(t, r.err) }},
		{"truncated", `{"truncate_bytes":300}`, func(t *testing.T, r readResponse) {
			assert.ErrorIs(t, r.err, io.ErrUnexpectedEOF)
			assert.Equal(t, len(r.body), 300)
		}},
		{"response lost", `{"lose_replies":1}`, func(t *testing.T, r readResponse) { assert.ErrorIs(t, r.err, io.EOF) }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := newEngine(t, nil)
			c.setFaults(test.faults)
			text, want := chatRequest("frost?", 9, true)
			first := c.post(engine.PathChat, requestKey, text)
			test.check(t, first)
			c.setFaults(`{"truncate_bytes":0}`)
			rest := c.get(streamPath(requestKey) + "?offset=" + strconv.Itoa(len(first.body)))
			assert.NilError(t, rest.err)
			assert.Equal(t, string(first.body)+string(rest.body), string(want.Stream()))
			assert.Equal(t, c.executionCount(requestKey), 1)
		})
	}
}

func TestEngineUnknownStream(t *testing.T) {
	c := newEngine(t, nil)
	assert.Equal(t, c.get(streamPath("x")+"?offset=0").status, http.StatusNotFound)
	assert.Equal(t, c.post(streamPath("x")+"/cancel", "", nil).status, http.StatusNotFound)
}

func TestEngineCancels(t *testing.T) {
	c := newEngine(t, func(o *enginesim.Options) { o.DecodeTokensPerSecond = 0.001 })
	text, want := chatRequest("long", 100, true)
	done := make(chan readResponse, 1)
	go func() { done <- c.post(engine.PathChat, requestKey, text) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := c.post(streamPath(requestKey)+"/cancel", "", nil); got.status != http.StatusNoContent {
			return poll.Continue("status %d", got.status)
		}
		return poll.Success()
	})
	got := <-done
	assert.NilError(t, got.err)
	assert.Assert(t, len(got.body) < len(want.Stream()))
}

func TestEngineOrders(t *testing.T) {
	order := engine.Order{ID: "o1", Kind: engine.OrderLoadVersion, Value: "v2", FencingToken: 5}
	cases := []struct {
		name, faults string
		order        engine.Order
		status       int
		version      string
	}{
		{"newer fencing token", `{}`, engine.Order{ID: "o2", Kind: engine.OrderLoadVersion, Value: "v3", FencingToken: 6}, 200, "v3"},
		{"same fencing token", `{}`, engine.Order{ID: "o2", Kind: engine.OrderLoadVersion, Value: "v3", FencingToken: 5}, 200, "v3"},
		{"stale fencing token", `{}`, engine.Order{ID: "o2", Kind: engine.OrderLoadVersion, Value: "v3", FencingToken: 4}, 409, "v2"},
		{"stale fencing token ignored", `{"ignore_fencing":true}`,
			engine.Order{ID: "o2", Kind: engine.OrderLoadVersion, Value: "v3", FencingToken: 4}, 200, "v3"},
		{"unknown order", `{}`, engine.Order{ID: "o2", Kind: "dance", FencingToken: 9}, 400, "v2"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := newEngine(t, nil)
			before := decode[engine.State](t, c.get(engine.PathState))
			state := decode[engine.State](t, c.post(engine.PathOrders, "", order))
			assert.Equal(t, state.LastOrder, "o1")
			assert.Assert(t, state.Incarnation != before.Incarnation)
			c.setFaults(test.faults)
			assert.Equal(t, c.post(engine.PathOrders, "", test.order).status, test.status)
			assert.Equal(t, decode[engine.State](t, c.get(engine.PathState)).Version, test.version)
		})
	}
}

func TestEngineOrderResponseLost(t *testing.T) {
	c := newEngine(t, nil)
	c.setFaults(`{"lose_replies":1}`)
	order := engine.Order{ID: "o1", Kind: engine.OrderChangeRole, Value: "decode"}
	assert.ErrorIs(t, c.post(engine.PathOrders, "", order).err, io.EOF)
	state := decode[engine.State](t, c.get(engine.PathState))
	assert.Equal(t, state.Role, "decode")
	assert.Equal(t, state.LastOrder, "o1")
}

func TestEngineLoadsFromWeightStore(t *testing.T) {
	store := newWeights(t)
	c := newEngine(t, func(o *enginesim.Options) { o.WeightStore = strings.TrimPrefix(store.url, "http://") })
	load := func(value string) int {
		return c.post(engine.PathOrders, "", engine.Order{ID: value, Kind: engine.OrderLoadVersion, Value: value}).status
	}
	assert.Equal(t, load("v2"), http.StatusOK)
	assert.Equal(t, load("v3"), http.StatusBadGateway)
	state := decode[engine.State](t, c.get(engine.PathState))
	assert.Equal(t, state.Version, "v2")
	assert.Equal(t, state.LastOrder, "v2")
	assert.Assert(t, state.Ready)
}

func TestEngineColdOverruns(t *testing.T) {
	cases := []struct {
		name     string
		coldMs   int
		overruns bool
	}{
		{"just started", 3_600_000, true},
		{"warm", 0, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := newEngine(t, func(o *enginesim.Options) {
				o.ColdSlots, o.ColdMillis, o.DecodeTokensPerSecond = 1, test.coldMs, 0.001
			})
			text, _ := chatRequest("frost?", 200, true)
			var callers sync.WaitGroup
			for index := range 4 {
				callers.Go(func() { c.post(engine.PathChat, strconv.Itoa(index), text) })
			}
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if stats := decode[enginesim.Stats](t, c.get(enginesim.PathStats)); stats.MaxRunning < 4 {
					return poll.Continue("%d running", stats.MaxRunning)
				}
				return poll.Success()
			}, poll.WithDelay(time.Millisecond))
			stats := decode[enginesim.Stats](t, c.get(enginesim.PathStats))
			assert.Equal(t, stats.ColdOverruns > 0, test.overruns)
			for index := range 4 {
				c.post(streamPath(strconv.Itoa(index))+"/cancel", "", nil)
			}
			callers.Wait()
		})
	}
}

func TestEngineTurnsCold(t *testing.T) {
	c := newEngine(t, nil)
	before := decode[engine.Load](t, c.get(engine.PathLoad))
	c.setFaults(`{"turn_cold":true}`)
	after := decode[engine.Load](t, c.get(engine.PathLoad))
	assert.Assert(t, after.Incarnation != before.Incarnation)
}

func TestEngineBadVersion(t *testing.T) {
	cases := []struct {
		name, faults string
		failures     int
	}{
		{"sound", `{}`, 0},
		{"at once", `{"bad_error_rate":1}`, 8},
		{"half", `{"bad_error_rate":0.5}`, 4},
		{"later", `{"bad_error_rate":1,"bad_after_requests":5}`, 3},
		{"only under load", `{"bad_error_rate":1,"bad_min_running":2}`, 0},
		{"on one route", `{"bad_error_rate":1,"bad_match":"hoop"}`, 0},
		{"another version", `{"bad_error_rate":1,"bad_version":"v2"}`, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := newEngine(t, nil)
			c.setFaults(test.faults)
			text, _ := chatRequest("frost?", 1, true)
			failures := 0
			for range 8 {
				if c.post(engine.PathChat, requestKey, text).status == http.StatusInternalServerError {
					failures++
				}
			}
			assert.Equal(t, failures, test.failures)
		})
	}
}

func TestEngineCacheEvents(t *testing.T) {
	c := newEngine(t, func(o *enginesim.Options) { o.CacheTokens, o.EventGap = 128, 3 })
	prompt := strings.Repeat("x", 3*engine.PrefixBlockBytes)
	text, _ := chatRequest(prompt, 1, false)
	c.post(engine.PathChat, requestKey, text)
	got := decode[engine.CacheEvents](t, c.get(engine.PathCacheEvents+"?from=1"))
	want := []engine.CacheEvent{
		{Sequence: 1, Prefix: engine.PrefixHash(prompt, 1), Tokens: 64},
		{Sequence: 2, Prefix: engine.PrefixHash(prompt, 2), Tokens: 128},
		{Sequence: 4, Prefix: engine.PrefixHash(prompt, 1), Tokens: 64, Evicted: true},
	}
	assert.DeepEqual(t, got.Events, want)
	assert.Equal(t, got.NextSequence, uint64(5))
}

func TestEngineMovesCacheBlocks(t *testing.T) {
	from, to := newEngine(t, nil), newEngine(t, nil)
	prompt := strings.Repeat("y", engine.PrefixBlockBytes)
	text, _ := chatRequest(prompt, 1, false)
	from.post(engine.PathChat, requestKey, text)
	path := engine.PathCacheBlocks + "?prefix=" + engine.PrefixHash(prompt, 1)
	assert.Equal(t, to.get(path).status, http.StatusNotFound)
	export := from.get(path)
	assert.Equal(t, export.status, http.StatusOK)
	assert.Equal(t, to.post(engine.PathCacheBlocks, "", string(export.body)).status, http.StatusNoContent)
	assert.Equal(t, to.get(path).status, http.StatusOK)
}
