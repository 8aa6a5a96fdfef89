package daemon

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/caller"
	"mustarddoor/internal/version/bundle"
)

// The request of all benchmarks and its response.
const (
	hopBody     = `{"model":"llm","messages":[{"role":"user","content":"hello"}],"max_tokens":1,"stream":true}`
	hopResponse = "data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\ndata: [DONE]\n\n"
)

// Sizes of the benchmarks.
const (
	hopRequests        = 3000
	throughputRequests = 30_000
	throughputCallers  = 64
	maxIdleConnections = 512
)

// hopEngine responds immediately, so that the benchmarks measure the host only.
func hopEngine(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, hopResponse)
}

// hopBundle has one engine with enough slots that it never limits throughput.
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

func newHopClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}}
}

// sendRequest sends one request and checks the complete response.
func sendRequest(client *http.Client, address string) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+caller.PathChat, strings.NewReader(hopBody))
	if err != nil {
		return err
	}
	req.Header.Set(caller.HeaderTeam, "team")
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if string(body) != hopResponse {
		return fmt.Errorf("%s: %s", resp.Status, body)
	}
	return nil
}

// latencies are the durations of requests to one address.
type latencies []time.Duration

// measure sends one request and appends its duration.
func (l *latencies) measure(b *testing.B, client *http.Client, address string) {
	b.Helper()
	start := time.Now()
	assert.NilError(b, sendRequest(client, address))
	*l = append(*l, time.Since(start))
}

// percentile returns the given quantile of the latencies in milliseconds. It
// sorts the latencies in place.
func (l latencies) percentile(fraction float64) float64 {
	slices.Sort(l)
	index := int(fraction * float64(len(l)-1))
	return l[index].Seconds() * float64(time.Second/time.Millisecond)
}

// BenchmarkHop measures the latency that one host adds to a request, with the
// witness in another failure domain. Requests sent directly to the engine
// alternate with those through the host.
func BenchmarkHop(b *testing.B) {
	engine := serveHTTP(b, http.HandlerFunc(hopEngine))
	h := startFleet(b, hopBundle(engine))
	client := newHopClient()
	for b.Loop() {
		var direct, viaHost latencies
		for range hopRequests {
			direct.measure(b, client, engine)
			viaHost.measure(b, client, h.self.Address)
		}
		b.ReportMetric(viaHost.percentile(0.5)-direct.percentile(0.5), "added-ms-p50")
		b.ReportMetric(viaHost.percentile(0.99)-direct.percentile(0.99), "added-ms-p99")
	}
}

// BenchmarkThroughput measures the rate of small requests through one host.
func BenchmarkThroughput(b *testing.B) {
	engine := serveHTTP(b, http.HandlerFunc(hopEngine))
	h := startFleet(b, hopBundle(engine))
	client := newHopClient()
	for b.Loop() {
		start := time.Now()
		failed := sendConcurrently(client, h.self.Address)
		b.ReportMetric(throughputRequests/time.Since(start).Seconds(), "requests/s")
		b.ReportMetric(float64(failed), "failed")
	}
}

// sendConcurrently sends throughputRequests from concurrent callers and returns
// the number of failures.
func sendConcurrently(client *http.Client, address string) int64 {
	var sent, failed atomic.Int64
	var callers sync.WaitGroup
	for range throughputCallers {
		callers.Go(func() {
			for sent.Add(1) <= throughputRequests {
				if sendRequest(client, address) != nil {
					failed.Add(1)
				}
			}
		})
	}
	callers.Wait()
	return failed.Load()
}
