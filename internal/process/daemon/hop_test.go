package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/oklog/run"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"mustarddoor/internal/connection/caller"
	"mustarddoor/internal/process/settings"
	"mustarddoor/internal/standin/logservice"
	"mustarddoor/internal/version/bundle"
	"mustarddoor/internal/version/config"
)

const hopAnswer = "data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\ndata: [DONE]\n\n"

// hopEngine answers at once, so that what is measured is the host.
func hopEngine(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, hopAnswer)
}

const hopBody = `{"model":"llm","messages":[{"role":"user","content":"hello"}],"max_tokens":1,"stream":true}`

func freeAddress(tb testing.TB) string {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	defer listener.Close()
	return listener.Addr().String()
}

// startHost runs a host in this process until the test ends.
func startHost(tb testing.TB, name, logAddress string, peers []string, mesh string, operators map[string]string) *host {
	tb.Helper()
	text, err := json.Marshal(settings.Settings{
		Host:         settings.Host{Name: name, Domain: "domain-" + name, Region: "region"},
		Address:      freeAddress(tb),
		MeshAddress:  mesh,
		AdminAddress: freeAddress(tb),
		Peers:        peers,
		Platform:     settings.Platform{Log: logAddress},
		Operators:    operators,
		FleetSecret:  "benchmark-fleet-secret",
	})
	assert.NilError(tb, err)
	loaded := &settings.Settings{}
	assert.NilError(tb, json.Unmarshal(text, loaded))
	loaded.Limits = defaultLimits(tb)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	h, err := newHost(loaded, logger)
	assert.NilError(tb, err)
	ctx, cancel := context.WithCancel(context.Background())
	var group run.Group
	h.addActors(&group)
	addRunActor(&group, func(actor context.Context) error {
		select {
		case <-ctx.Done():
		case <-actor.Done():
		}
		return errPlannedStop
	})
	ended := make(chan struct{})
	go func() {
		_ = group.Run()
		close(ended)
	}()
	tb.Cleanup(func() {
		cancel()
		<-ended
	})
	return h
}

func defaultLimits(tb testing.TB) settings.Limits {
	tb.Helper()
	parsed, err := settings.Parse("x", []byte(`{"host":{"name":"a","domain":"d","region":"r"},"address":"127.0.0.1:1",
		"mesh_address":"127.0.0.1:1","admin_address":"127.0.0.1:1","platform":{"log":"127.0.0.1:1"}}`))
	assert.NilError(tb, err)
	return parsed.Limits
}

func hopBundle(engine string) *bundle.Bundle {
	return &bundle.Bundle{
		Schema:   bundle.SchemaVersion,
		Name:     "hop",
		Domains:  []bundle.Domain{{Name: "domain-a", Region: "region"}, {Name: "domain-b", Region: "region"}},
		Tiers:    []bundle.Tier{{Name: "urgent", Rank: 1, FirstTokenMillis: 5000}},
		Services: []bundle.Service{{Name: "llm", Kind: bundle.KindEngine}},
		Routes:   []bundle.Route{{Name: "chat", Service: "llm", Tier: "urgent", ExpectedOutputTokens: 1, MaxOutputTokens: 8}},
		Endpoints: []bundle.Endpoint{{
			Name: "llm-1", Service: "llm", Version: "v1", Address: engine, Domain: "domain-a",
			ColdSlots: 4096, MaxSlots: 4096, PrefillTokensPerSecond: 1e6, DecodeTokensPerSecond: 1e6,
		}},
		Teams:                []bundle.Team{{Name: "team", Weight: 1, QueueRequests: 100_000, QueueBytes: 1 << 28}},
		WeightLoadsPerMinute: 60,
		RetentionSeconds:     60,
		EntryKeepSeconds:     10,
	}
}

// startFleet runs two hosts before one engine, with a bundle in force.
func startFleet(tb testing.TB, engine string) *host {
	tb.Helper()
	log := httptest.NewServer(logservice.New(logservice.Options{AppendsPerSecond: 500, AppendBurst: 100, MaxRecords: 100_000}).Handler())
	tb.Cleanup(log.Close)
	logAddress := strings.TrimPrefix(log.URL, "http://")
	signers, operators := []*config.Signer{}, map[string]string{}
	for _, name := range []string{"alma", "berta"} {
		pair, err := config.GenerateKey()
		assert.NilError(tb, err)
		signer, err := config.NewOperatorSigner(name, pair.Private)
		assert.NilError(tb, err)
		signers = append(signers, signer)
		operators[name] = pair.Public
	}
	meshes := []string{freeAddress(tb), freeAddress(tb)}
	first := startHost(tb, "a", logAddress, meshes, meshes[0], operators)
	startHost(tb, "b", logAddress, meshes, meshes[1], operators)
	roll(tb, first, signers, hopBundle(engine))
	poll.WaitOn(tb, func(poll.LogT) poll.Result {
		if first.notReady() == "" && len(first.Live()) == 1 {
			return poll.Success()
		}
		return poll.Continue("%s, %d peers", first.notReady(), len(first.Live()))
	}, poll.WithTimeout(time.Minute))
	return first
}

func roll(tb testing.TB, h *host, signers []*config.Signer, b *bundle.Bundle) {
	tb.Helper()
	submit := func(record config.Record) config.Outcome {
		outcome := h.operator.Submit(context.Background(), record.Raw)
		assert.Equal(tb, outcome.Result, config.ResultAccepted, "%+v", outcome)
		return outcome
	}
	published := submit(signers[0].Publish(config.Draft{Bundle: b}, config.NextSequence(0, time.Now())))
	digest := h.operator.Status().Head.Digest
	submit(signers[1].Approve(published.Offset, digest, config.NextSequence(0, time.Now())))
	submit(signers[0].Roll(published.Offset, digest, config.NextSequence(0, time.Now())))
}

// ask sends one request and reads the whole answer.
func ask(client *http.Client, address string) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+caller.PathChat, bytes.NewReader([]byte(hopBody)))
	if err != nil {
		return err
	}
	req.Header.Set(caller.HeaderTeam, "team")
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if string(answer) != hopAnswer {
		return fmt.Errorf("%s: %s", resp.Status, answer)
	}
	return nil
}

func percentile(samples []time.Duration, fraction float64) time.Duration {
	slices.Sort(samples)
	return samples[int(fraction*float64(len(samples)-1))]
}

// BenchmarkHop measures what one host adds to a request, with the witness in
// another failure domain, side by side with the straight way.
func BenchmarkHop(b *testing.B) {
	const requests = 3000
	engine := httptest.NewServer(http.HandlerFunc(hopEngine))
	b.Cleanup(engine.Close)
	straight := strings.TrimPrefix(engine.URL, "http://")
	h := startFleet(b, straight)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	for b.Loop() {
		var direct, through []time.Duration
		for range requests {
			direct = append(direct, timed(b, client, straight))
			through = append(through, timed(b, client, h.self.Address))
		}
		added := func(fraction float64) float64 {
			return float64(percentile(through, fraction)-percentile(direct, fraction)) / float64(time.Millisecond)
		}
		b.ReportMetric(added(0.5), "added-ms-p50")
		b.ReportMetric(added(0.99), "added-ms-p99")
	}
}

func timed(b *testing.B, client *http.Client, address string) time.Duration {
	start := time.Now()
	assert.NilError(b, ask(client, address))
	return time.Since(start)
}

// BenchmarkThroughput measures small requests a second through one host.
func BenchmarkThroughput(b *testing.B) {
	const (
		callers  = 64
		requests = 30_000
	)
	engine := httptest.NewServer(http.HandlerFunc(hopEngine))
	b.Cleanup(engine.Close)
	h := startFleet(b, strings.TrimPrefix(engine.URL, "http://"))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	for b.Loop() {
		var left, failed atomic.Int64
		left.Store(requests)
		start := time.Now()
		var group sync.WaitGroup
		for range callers {
			group.Go(func() {
				for left.Add(-1) >= 0 {
					if ask(client, h.self.Address) != nil {
						failed.Add(1)
					}
				}
			})
		}
		group.Wait()
		b.ReportMetric(requests/time.Since(start).Seconds(), "requests/s")
		b.ReportMetric(float64(failed.Load()), "failed")
	}
}
