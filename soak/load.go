package soak

import (
	"fmt"
	"math/rand/v2"
	"net/url"
	"strconv"
	"strings"
	"time"

	"mustarddoor/platform/standin"
)

// Load is the mix of requests of a run.
type Load struct {
	// Events and Interval are the length and pace of short streams.
	Events   int
	Interval time.Duration
	// LongRatio is the ratio of streams that last some seconds, SlowRatio that of
	// streams with large events whose callers read them with pauses.
	LongRatio, SlowRatio float64
}

// DefaultLoad resembles a small engine with a few long answers and slow callers.
var DefaultLoad = Load{Events: 8, Interval: 15 * time.Millisecond, LongRatio: 0.1, SlowRatio: 0.05}

const (
	// Long streams last between minLongStream and maxLongStream.
	minLongStream = 2 * time.Second
	maxLongStream = 5 * time.Second
	longInterval  = 25 * time.Millisecond
	// Half of them have many events, which wait in numbers after a pause of the host.
	denseInterval = 4 * time.Millisecond
	// The streams of slow callers exceed the buffers on their path.
	slowEvents    = 400
	slowInterval  = 4 * time.Millisecond
	slowEventSize = 8000
	// Slow callers have slowBuffer as receive buffer. Half of them stop reading once
	// for up to maxReadPause, the others pause after each read.
	slowBuffer       = 4096
	minReadPause     = time.Second
	maxReadPause     = 2 * time.Second
	slowReadInterval = 15 * time.Millisecond
	// longDeadline is the deadline of long streams and slow callers.
	longDeadline = 10 * time.Second
	// queryRatio and chunkedRatio are the ratios of requests with a query and with a
	// body in chunks.
	queryRatio   = 0.5
	chunkedRatio = 0.3
)

// stream is the size and pace of a response stream. The query of its request states it.
type stream struct {
	events   int
	interval time.Duration
	// padding is the number of bytes that each event has besides.
	padding int
	// endsLate is set if the end of each chunk is sent with the next event only.
	endsLate bool
}

// variant is what distinguishes a request from others on its route.
type variant struct {
	target    string
	deadline  time.Duration
	isChunked bool
	isSlow    bool
	reading   standin.Reading
}

// plainVariant is the variant of requests whose variant is not drawn.
func plainVariant(route string) variant {
	return variant{target: standin.Path(route), deadline: requestDeadline}
}

// draw draws the variant of a request on a route.
func (l Load) draw(rng *rand.Rand, route string) variant {
	v := plainVariant(route)
	v.isChunked = rng.Float64() < chunkedRatio
	query := url.Values{}
	if rng.Float64() < queryRatio {
		query.Set("p", "/a/b")
		query.Set("n", strconv.Itoa(rng.IntN(100)))
	}
	if isStream(route) {
		l.drawStream(rng, &v).encode(query)
	}
	if len(query) > 0 {
		v.target += "?" + strings.ReplaceAll(query.Encode(), "%2F", "/")
	}
	return v
}

// drawStream draws the response stream of a variant and how its caller reads it.
func (l Load) drawStream(rng *rand.Rand, v *variant) stream {
	draw := rng.Float64()
	switch {
	case draw < l.LongRatio:
		v.deadline = longDeadline
		duration := minLongStream + time.Duration(rng.Int64N(int64(maxLongStream-minLongStream)))
		interval := longInterval
		if rng.IntN(2) == 0 {
			interval = denseInterval
		}
		return stream{events: int(duration / interval), interval: interval, endsLate: rng.IntN(2) == 0}
	case draw < l.LongRatio+l.SlowRatio:
		v.deadline, v.isSlow = longDeadline, true
		v.reading.Interval = slowReadInterval
		if rng.IntN(2) == 0 {
			v.reading = standin.Reading{
				After: rng.IntN(slowEvents * slowEventSize / 4),
				Pause: minReadPause + time.Duration(rng.Int64N(int64(maxReadPause-minReadPause))),
			}
		}
		return stream{events: slowEvents, interval: slowInterval, padding: slowEventSize}
	}
	return stream{events: l.Events, interval: l.Interval}
}

func (s stream) encode(query url.Values) {
	if s == defaultStream {
		return
	}
	query.Set("events", strconv.Itoa(s.events))
	query.Set("interval", s.interval.String())
	query.Set("padding", strconv.Itoa(s.padding))
	query.Set("endsLate", strconv.FormatBool(s.endsLate))
}

var defaultStream = stream{events: DefaultLoad.Events, interval: DefaultLoad.Interval}

// streamOf returns the response stream that a target asks for.
func streamOf(target string) stream {
	_, query, _ := strings.Cut(target, "?")
	values, err := url.ParseQuery(query)
	if err != nil || !values.Has("events") {
		return defaultStream
	}
	s := stream{}
	// What is malformed stays zero, and no response to it is the expected one.
	s.events, _ = strconv.Atoi(values.Get("events"))
	s.interval, _ = time.ParseDuration(values.Get("interval"))
	s.padding, _ = strconv.Atoi(values.Get("padding"))
	s.endsLate, _ = strconv.ParseBool(values.Get("endsLate"))
	return s
}

// routeOf returns the route of a target.
func routeOf(target string) string {
	route, _, _ := strings.Cut(strings.TrimPrefix(target, "/"), "/")
	return route
}

func isStream(route string) bool { return route == routeStream || route == routeOnce }

// formatEvent formats one event of the response stream of a request.
func formatEvent(id string, n int, padding string) string {
	return fmt.Sprintf("id: %d\ndata: %s %d%s\n\n", n, id, n, padding)
}

const (
	paddingByte = "."
	// paddingMark replaces the whole padding of an event in recorded bodies.
	paddingMark = "#"
)

// withoutPadding replaces the padding of a body's events by marks. Padding of another
// size remains and makes the body differ from the expected one, except at the end of a
// body that is incomplete.
func withoutPadding(body string, size int, isComplete bool) string {
	if size == 0 {
		return body
	}
	body = strings.ReplaceAll(body, strings.Repeat(paddingByte, size), paddingMark)
	if !isComplete {
		body = strings.TrimRight(body, paddingByte)
	}
	return body
}

// expectedBody is the complete response body of a request, without padding.
func expectedBody(target, id string) string {
	route := routeOf(target)
	if !isStream(route) {
		return route + " " + id + " " + strconv.Itoa(len(id))
	}
	s, mark := streamOf(target), ""
	if s.padding > 0 {
		mark = paddingMark
	}
	var body strings.Builder
	for n := 1; n <= s.events; n++ {
		body.WriteString(formatEvent(id, n, mark))
	}
	return body.String()
}
