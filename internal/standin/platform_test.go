package standin_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"mustarddoor/internal/connection/platform"
	"mustarddoor/internal/standin/logservice"
	"mustarddoor/internal/standin/plain"
	"mustarddoor/internal/standin/server"
	"mustarddoor/internal/standin/weightstore"
)

const configRecords = "/v1/streams/config/records"

func TestLogAppendsInOrder(t *testing.T) {
	c := newLog(t, nil)
	for index, id := range []string{"a", "b", "c"} {
		got := decode[platform.AppendResponse](t, c.appendOne(id))
		assert.Equal(t, got.FirstOffset, uint64(index+1))
	}
	got := decode[platform.ReadResponse](t, c.get(configRecords+"?from=2&max=1"))
	assert.Equal(t, len(got.Records), 1)
	assert.Equal(t, got.Records[0].ID, "b")
	assert.Equal(t, string(got.Records[0].Data), "b")
	assert.Equal(t, got.NextOffset, uint64(4))
	other := decode[platform.ReadResponse](t, c.get("/v1/streams/homes/records"))
	assert.Equal(t, other.NextOffset, uint64(1))
}

func TestLogRefusals(t *testing.T) {
	cases := []struct {
		name      string
		configure func(*logservice.Options)
		body      string
		status    int
	}{
		{"not JSON", nil, `{"records":[{"id":"a","data":"YQ=="},`, http.StatusBadRequest},
		{"bad second record", nil, `{"records":[{"id":"a","data":"YQ=="},{"id":7}]}`, http.StatusBadRequest},
		{"no records", nil, `{"records":[]}`, http.StatusBadRequest},
		{"beyond the rate", func(o *logservice.Options) { o.AppendsPerSecond, o.AppendBurst = 0, 0 },
			`{"records":[{"id":"a","data":"YQ=="}]}`, http.StatusTooManyRequests},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := newLog(t, test.configure)
			assert.Equal(t, c.post("/v1/streams/config/append", "", test.body).status, test.status)
			got := decode[platform.ReadResponse](t, c.get(configRecords))
			assert.Equal(t, got.NextOffset, uint64(1))
		})
	}
}

func TestLogLosesResponseAfterAppend(t *testing.T) {
	c := newLog(t, nil)
	c.setFaults(`{"lose_replies":1}`)
	assert.ErrorIs(t, c.appendOne("a").err, io.EOF)
	decode[platform.AppendResponse](t, c.appendOne("a"))
	got := decode[platform.ReadResponse](t, c.get(configRecords))
	assert.Equal(t, len(got.Records), 2)
	assert.Equal(t, got.Records[0].ID, got.Records[1].ID)
}

func TestLogReadOfRemovedRecords(t *testing.T) {
	cases := []struct{ name, faults string }{
		{"trimmed", `{"trim":{"stream":"config","before":3}}`},
		{"expired", `{"retention_ms":1}`},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := newLog(t, nil)
			c.appendOne("a")
			c.appendOne("b")
			assert.Equal(t, c.get(configRecords+"?from=1").status, http.StatusOK)
			c.setFaults(test.faults)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if got := c.get(configRecords + "?from=2"); got.status != http.StatusGone {
					return poll.Continue("status %d", got.status)
				}
				return poll.Success()
			}, poll.WithDelay(time.Millisecond))
			assert.Equal(t, c.get(configRecords+"?from=1").status, http.StatusGone)
			got := decode[platform.ReadResponse](t, c.get(configRecords+"?from=3"))
			assert.Equal(t, got.FirstOffset, uint64(3))
			assert.Equal(t, got.NextOffset, uint64(3))
		})
	}
}

func TestLogWakesReaderAtTail(t *testing.T) {
	c := newLog(t, nil)
	done := make(chan readResponse, 1)
	go func() { done <- c.get(configRecords + "?from=1&wait_ms=30000") }()
	c.appendOne("a")
	got := decode[platform.ReadResponse](t, <-done)
	assert.Equal(t, len(got.Records), 1)
}

func TestHostListLags(t *testing.T) {
	c := newHosts(t, 1)
	got := decode[platform.HostList](t, c.get(platform.PathHosts))
	assert.Equal(t, got.Hosts[0].MeshAddress, "127.0.0.1:2")
	got.Hosts[0].State = platform.HostLeaving
	assert.Equal(t, c.do(t.Context(), http.MethodPut, platform.PathHosts, "", got).status, http.StatusNoContent)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		list := decode[platform.HostList](t, c.get(platform.PathHosts))
		if list.Hosts[0].State != platform.HostLeaving {
			return poll.Continue("still %s", list.Hosts[0].State)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

func TestWeightStoreLimitsLoads(t *testing.T) {
	c := newWeights(t)
	assert.Equal(t, len(c.get("/v1/weights/m").body), 64)
	assert.Equal(t, c.get("/v1/weights/m").status, http.StatusTooManyRequests)
	got := decode[weightstore.Loads](t, c.get(weightstore.PathLoads))
	assert.Equal(t, got, weightstore.Loads{Served: 1, Refused: 1})
}

func TestPlainCountsEffects(t *testing.T) {
	cases := []struct {
		name, faults string
		calls, count int
	}{
		{"never called", `{}`, 0, 0},
		{"once", `{}`, 1, 1},
		{"twice", `{}`, 2, 2},
		{"response lost after the effect", `{"lose_replies":1}`, 1, 1},
		{"refused", `{"down":true}`, 1, 0},
		{"bad version", `{"bad_error_rate":1}`, 1, 0},
		{"another version is bad", `{"bad_error_rate":1,"bad_version":"v2"}`, 1, 1},
		{"another path is bad", `{"bad_error_rate":1,"bad_match":"/invoices"}`, 1, 1},
	}
	const key = "host-1@1.host-2@1.1.1/50%41"
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := newPlain(t)
			c.setFaults(test.faults)
			for range test.calls {
				c.post("/bookings", key, `{"crew":1}`)
			}
			assert.Equal(t, c.executionCount(key), test.count)
			c.setFaults(`{"down":false}`)
			status := http.StatusOK
			if test.count == 0 {
				status = http.StatusNotFound
			}
			assert.Equal(t, c.get("/lookup/"+streamPath(key)[len("/v1/streams/"):]).status, status)
		})
	}
}

func TestPlainReadHasNoEffect(t *testing.T) {
	c := newPlain(t)
	assert.Assert(t, !decode[plain.Receipt](t, c.get("/roster")).Effect)
	assert.Equal(t, string(c.get("/executions").body), "[]\n")
}

func TestServerStops(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	reader, writer := io.Pipe()
	done := make(chan error, 1)
	go func() {
		done <- server.Run(ctx, server.Options{Listen: "127.0.0.1:0"}, plain.New(plain.Options{}).Handler(), writer)
	}()
	line := make([]byte, 64)
	count, err := reader.Read(line)
	assert.NilError(t, err)
	address, found := strings.CutPrefix(strings.TrimSpace(string(line[:count])), "listening on ")
	assert.Assert(t, found)
	assert.Equal(t, client{t: t, url: "http://" + address}.get("/roster").status, http.StatusOK)
	cancel()
	assert.NilError(t, <-done)
}
