// Package enginesim simulates a model engine: continuous batching timed by
// token rates, a prefix cache of limited size, resumable streams, delayed load
// reports and cache events, and orders with fencing tokens.
package enginesim

import (
	"time"

	"mustarddoor/internal/standin/fault"
	"mustarddoor/internal/standin/server"
)

// Faults are the fault switches of the engine.
type Faults struct {
	fault.Common
	fault.BadVersion
	// TurnCold starts one cold period under a new incarnation.
	TurnCold bool `json:"turn_cold" no-flag:"true"`
	// IgnoreFencing accepts orders with stale fencing tokens.
	IgnoreFencing bool `json:"ignore_fencing" long:"ignore-fencing" description:"take orders with old fencing numbers"`
}

// Options are the command-line flags of the engine.
type Options struct {
	server.Options
	Faults
	Version string `long:"version" default:"v1" description:"version that runs at the start"`
	Model   string `long:"model" default:"model" description:"model that runs at the start"`
	Role    string `long:"role" default:"both" description:"role at the start: both, prefill or decode"`

	PrefillTokensPerSecond float64 `long:"prefill-tokens-per-second" default:"20000" description:"prefill speed of the engine"`
	DecodeTokensPerSecond  float64 `long:"decode-tokens-per-second" default:"200" description:"decode speed of one stream"`
	MaxConcurrent          int     `long:"max-concurrent" default:"32" description:"requests that run at once; others wait"`
	MaxWaiting             int     `long:"max-waiting" default:"1024" description:"requests that wait; others are refused with status 503"`
	CacheTokens            int     `long:"cache-tokens" default:"65536" description:"prompt tokens that the prefix cache holds"`

	ColdSlots      int `long:"cold-slots" default:"0" description:"requests that a cold engine bears at once; 0 for no cold period"`
	ColdMillis     int `long:"cold-ms" default:"10000" description:"length of the cold period in milliseconds"`
	LoadMillis     int `long:"load-ms" default:"0" description:"time that a load order takes in milliseconds"`
	LoadLagMillis  int `long:"load-lag-ms" default:"500" description:"lag of load reports in milliseconds"`
	EventLagMillis int `long:"event-lag-ms" default:"1000" description:"lag of cache events in milliseconds"`
	EventGap       int `long:"event-gap" default:"0" description:"every n-th cache event is missing; 0 for none"`
	RetainMillis   int `long:"retain-ms" default:"60000" description:"how long finished streams are kept in milliseconds"`

	WeightStore string `long:"weights" description:"address of the weight store, IP:PORT; empty to load without it"`
}

// Bounds of a response and of the retained streams and events.
const (
	defaultResponseTokens = 16
	maxResponseTokens     = 1 << 16
	maxStreams            = 1 << 16
	maxCacheEvents        = 1 << 14
)

// coldSlowdown is the factor on the processing time of requests while a cold
// engine runs more requests than its cold slots.
const coldSlowdown = 20

// milliseconds converts a flag value to a duration.
func milliseconds(value int) time.Duration { return time.Duration(value) * time.Millisecond }
