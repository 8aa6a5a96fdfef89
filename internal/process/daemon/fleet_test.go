package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/oklog/run"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"mustarddoor/internal/process/settings"
	"mustarddoor/internal/standin/logservice"
	"mustarddoor/internal/version/bundle"
	"mustarddoor/internal/version/config"
)

// fleetTimeout bounds the wait for a fleet to become ready; no result of a test
// depends on its value.
const fleetTimeout = time.Minute

// fleet is a log service and two hosts that run in the test process.
type fleet struct {
	log           string
	meshAddresses []string
	publisher     *config.Signer
	approver      *config.Signer
	operators     map[string]string
}

// startFleet runs two hosts with the bundle in force until the test ends, and
// returns the first host.
func startFleet(tb testing.TB, b *bundle.Bundle) *host {
	tb.Helper()
	f := &fleet{
		log:           startLogService(tb),
		meshAddresses: []string{freeAddress(tb), freeAddress(tb)},
		operators:     map[string]string{},
	}
	f.publisher = f.addOperator(tb, "alma")
	f.approver = f.addOperator(tb, "berta")
	first := f.startHost(tb, "a", f.meshAddresses[0])
	f.startHost(tb, "b", f.meshAddresses[1])
	f.roll(tb, first, b)
	poll.WaitOn(tb, func(poll.LogT) poll.Result {
		if first.notReadyReason() == "" && len(first.Live()) == 1 {
			return poll.Success()
		}
		return poll.Continue("%s, %d peers", first.notReadyReason(), len(first.Live()))
	}, poll.WithTimeout(fleetTimeout))
	return first
}

// startLogService runs a log service and returns its address.
func startLogService(tb testing.TB) string {
	tb.Helper()
	return serveHTTP(tb, logservice.New(logservice.Options{
		AppendsPerSecond: 500,
		AppendBurst:      100,
		MaxRecords:       100_000,
	}).Handler())
}

// serveHTTP serves a handler until the test ends and returns its address.
func serveHTTP(tb testing.TB, handler http.Handler) string {
	tb.Helper()
	server := httptest.NewServer(handler)
	tb.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func freeAddress(tb testing.TB) string {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	defer listener.Close()
	return listener.Addr().String()
}

// addOperator registers a new operator and returns its signer.
func (f *fleet) addOperator(tb testing.TB, name string) *config.Signer {
	tb.Helper()
	pair, err := config.GenerateKey()
	assert.NilError(tb, err)
	signer, err := config.NewOperatorSigner(name, pair.Private)
	assert.NilError(tb, err)
	f.operators[name] = pair.Public
	return signer
}

// startHost runs a host until the test ends.
func (f *fleet) startHost(tb testing.TB, name, mesh string) *host {
	tb.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	h, err := newHost(f.settings(tb, name, mesh), logger)
	assert.NilError(tb, err)
	runUntilTestEnds(tb, h)
	return h
}

func (f *fleet) settings(tb testing.TB, name, mesh string) *settings.Settings {
	tb.Helper()
	return &settings.Settings{
		Host:         settings.Host{Name: name, Domain: "domain-" + name, Region: "region"},
		Address:      freeAddress(tb),
		MeshAddress:  mesh,
		AdminAddress: freeAddress(tb),
		Peers:        f.meshAddresses,
		Platform:     settings.Platform{Log: f.log},
		Operators:    f.operators,
		FleetSecret:  "benchmark-fleet-secret",
		Limits:       settings.DefaultLimits(),
	}
}

// runUntilTestEnds runs the actors of a host until the test ends and waits for
// them to return.
func runUntilTestEnds(tb testing.TB, h *host) {
	tb.Helper()
	var group run.Group
	h.addActors(&group)
	stop := make(chan struct{})
	addRunActor(&group, func(ctx context.Context) error {
		select {
		case <-stop:
		case <-ctx.Done():
		}
		return errPlannedStop
	})
	ended := make(chan struct{})
	go func() {
		_ = group.Run()
		close(ended)
	}()
	tb.Cleanup(func() {
		close(stop)
		<-ended
	})
}

// roll publishes, approves and rolls a bundle as the operators do.
func (f *fleet) roll(tb testing.TB, h *host, b *bundle.Bundle) {
	tb.Helper()
	submit := func(record config.Record) config.Outcome {
		outcome := h.operator.Submit(context.Background(), record.Raw)
		assert.Equal(tb, outcome.Result, config.ResultAccepted, "%+v", outcome)
		return outcome
	}
	published := submit(f.publisher.Publish(config.Draft{Bundle: b}, config.NextSequence(0, time.Now())))
	digest := h.operator.Status().Head.Digest
	submit(f.approver.Approve(published.Offset, digest, config.NextSequence(0, time.Now())))
	submit(f.publisher.Roll(published.Offset, digest, config.NextSequence(0, time.Now())))
}
