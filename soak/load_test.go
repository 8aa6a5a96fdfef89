package soak

import (
	"math/rand/v2"
	"net/url"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/platform/standin"
)

// Over many draws each kind of request occurs, long streams last 2 to 5 s, and the target
// states the stream that the endpoint sends.
func TestVariants(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	load := Load{Events: 5, Interval: time.Millisecond, LongRatio: 0.2, SlowRatio: 0.2}
	counts := map[string]int{}
	count := func(kind string, isKind bool) {
		if isKind {
			counts[kind]++
		}
	}
	for range 2000 {
		plain := load.draw(rng, routeSafe)
		assert.Equal(t, routeOf(plain.target), routeSafe)
		assert.Equal(t, plain.deadline, requestDeadline)
		count("query", strings.Contains(plain.target, "?p=/a/b&n=") || strings.Contains(plain.target, "?n="))
		count("chunked", plain.isChunked)

		v := load.draw(rng, routeStream)
		_, query, _ := strings.Cut(v.target, "?")
		_, err := url.ParseQuery(query)
		assert.NilError(t, err)
		s := streamOf(v.target)
		duration := time.Duration(s.events) * s.interval
		switch {
		case v.isSlow:
			assert.Assert(t, v.reading != standin.Reading{})
			assert.Equal(t, s.padding, slowEventSize)
			count("slow", v.reading.Interval > 0)
			count("stops reading", v.reading.Pause >= minReadPause && v.reading.Pause <= maxReadPause)
		case s.interval == longInterval, s.interval == denseInterval:
			assert.Assert(t, duration > minLongStream-longInterval && duration <= maxLongStream)
			count("long", true)
			count("dense", s.interval == denseInterval)
			count("chunks end late", s.endsLate)
		default:
			assert.Equal(t, s, stream{events: 5, interval: time.Millisecond})
			count("short", true)
		}
		assert.Assert(t, duration < v.deadline)
	}
	for _, kind := range []string{"query", "chunked", "slow", "stops reading", "long", "dense", "chunks end late", "short"} {
		assert.Assert(t, counts[kind] > 50, "%s: %v", kind, counts)
	}
	assert.Equal(t, streamOf(standin.Path(routeStream)), defaultStream)
}

// Recorded bodies hold no padding, and padding of another size stays visible.
func TestPaddingOfRecordedBodies(t *testing.T) {
	target := standin.Path(routeStream) + "?events=2&interval=1ms&padding=3"
	whole := formatEvent("a", 1, "...") + formatEvent("a", 2, "...")
	for body, want := range map[string]struct{ isWhole, isPrefix bool }{
		whole:                                {true, true},
		strings.Replace(whole, ".", "", 1):   {false, false},
		whole[:strings.Index(whole, "..")]:   {false, true},
		whole[:strings.Index(whole, "..")+1]: {false, true},
		formatEvent("a", 1, "....") + formatEvent("a", 2, "..."):                             {false, false},
		formatEvent("a", 1, "...") + formatEvent("a", 1, "...") + formatEvent("a", 2, "..."): {false, false},
	} {
		assert.Equal(t, withoutPadding(body, 3, true) == expectedBody(target, "a"), want.isWhole, "%q", body)
		assert.Equal(t, strings.HasPrefix(expectedBody(target, "a"), withoutPadding(body, 3, false)), want.isPrefix, "%q", body)
	}
}

// The changes of a storm can be undone.
func TestConfigChanges(t *testing.T) {
	config, unchanged := newConfig(0), newConfig(0)
	for _, isUndone := range []bool{false, true} {
		for n, change := range configChanges {
			before := len(config)
			change(config, isUndone)
			assert.Equal(t, len(config), before, "change %d", n)
		}
		if !isUndone {
			assert.Equal(t, len(config["tenants"].([]any)), 2)
		}
	}
	assert.Equal(t, len(config["tenants"].([]any)), 1)
	team := config["tenants"].([]any)[0].(map[string]any)
	assert.DeepEqual(t, []any{team["ratePerS"], team["burstSize"]}, []any{0, 0})
	assert.DeepEqual(t, config["limits"].(map[string]any)["idleTimeoutMs"], int64(15000))
	for n, route := range config["routes"].([]any) {
		fields := route.(map[string]any)
		split, _ := fields["trafficSplit"].([]any)
		assert.Equal(t, len(split), 0)
		assert.DeepEqual(t, fields["timeoutMs"], unchanged["routes"].([]any)[n].(map[string]any)["timeoutMs"])
	}
}

// Requests that crash endpoints had queries, so that no two of them were alike, and the rule
// on alike ones counted them together.
func TestCrashingRequestsAreAlike(t *testing.T) {
	v := variant{target: standin.Path(routeSafe) + "?n=1"}
	assert.Equal(t, targetOf(routeSafe, crashingBody, v), standin.Path(routeSafe))
	assert.Equal(t, targetOf(routeSafe, "question", v), v.target)
}
