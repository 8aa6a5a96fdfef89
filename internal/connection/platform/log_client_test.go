package platform_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/platform"
	"mustarddoor/internal/standin/logservice"
)

// step is what the faulty log does with one request.
type step int

const (
	sound step = iota
	// loseReply closes the connection after the effect, cutOff before it.
	loseReply
	cutOff
	garbled
	failing
	tooMany
	refusing
)

// faultyLog lays a list of steps over the log service, one for each request of
// a method; sound ones follow.
type faultyLog struct {
	service http.Handler
	appends []step
	reads   []step
}

func (f *faultyLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	steps := &f.reads
	if r.Method == http.MethodPost {
		steps = &f.appends
	}
	next := sound
	if len(*steps) > 0 {
		next, *steps = (*steps)[0], (*steps)[1:]
	}
	switch next {
	case sound:
		f.service.ServeHTTP(w, r)
	case loseReply:
		f.service.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	case cutOff:
		panic(http.ErrAbortHandler)
	case garbled:
		f.service.ServeHTTP(httptest.NewRecorder(), r)
		_, _ = w.Write([]byte("{]"))
	case failing:
		w.WriteHeader(http.StatusServiceUnavailable)
	case tooMany:
		w.WriteHeader(http.StatusTooManyRequests)
	case refusing:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func serve(t *testing.T, handler http.Handler) *platform.LogClient {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return platform.NewLogClient(strings.TrimPrefix(server.URL, "http://"))
}

func batch(ids ...string) platform.Batch {
	records := []platform.AppendRecord{}
	for _, id := range ids {
		records = append(records, platform.AppendRecord{ID: id, Data: []byte(id)})
	}
	return platform.Batch{Stream: platform.StreamConfig, Records: records}
}

// readIDs reads the whole stream.
func readIDs(t *testing.T, log platform.Log) []string {
	page, err := log.Read(t.Context(), platform.Range{Stream: platform.StreamConfig, From: 1, Max: 100})
	assert.NilError(t, err)
	ids := []string{}
	for _, record := range page.Records {
		ids = append(ids, record.ID)
	}
	return ids
}

func TestAppendFaults(t *testing.T) {
	cases := []struct {
		name    string
		appends []step
		reads   []step
		want    error
		ids     []string
	}{
		{name: "sound", ids: []string{"a", "x", "y"}},
		{name: "reply lost", appends: []step{loseReply}, ids: []string{"a", "x", "y"}},
		{name: "reply garbled", appends: []step{garbled}, ids: []string{"a", "x", "y"}},
		{name: "cut off once", appends: []step{cutOff}, ids: []string{"a", "x", "y"}},
		{name: "cut off, then reply lost", appends: []step{cutOff, loseReply}, ids: []string{"a", "x", "y"}},
		{name: "error status once", appends: []step{failing}, ids: []string{"a", "x", "y"}},
		{name: "cut off always", appends: []step{cutOff, cutOff, cutOff}, want: platform.ErrUncertain, ids: []string{"a"}},
		{name: "reply lost, log then down", appends: []step{loseReply}, reads: []step{failing}, want: platform.ErrUncertain, ids: []string{"a", "x", "y"}},
		{name: "rate exceeded", appends: []step{tooMany}, want: platform.ErrUnavailable, ids: []string{"a"}},
		{name: "refused", appends: []step{refusing}, want: platform.ErrRefused, ids: []string{"a"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			faulty := &faultyLog{service: logservice.New(logservice.Options{AppendsPerSecond: 1000, AppendBurst: 100, MaxRecords: 100}).Handler()}
			log := serve(t, faulty)
			_, err := log.Append(t.Context(), batch("a"))
			assert.NilError(t, err)
			faulty.appends, faulty.reads = c.appends, c.reads
			offset, err := log.Append(t.Context(), batch("x", "y"))
			if c.want != nil {
				assert.ErrorIs(t, err, c.want)
			} else {
				assert.NilError(t, err)
				assert.Equal(t, offset, uint64(2))
			}
			assert.DeepEqual(t, readIDs(t, log), c.ids)
		})
	}
}

// A caller goes on after an uncertain append without doubling it.
func TestAppendGoesOnAfterUncertainty(t *testing.T) {
	faulty := &faultyLog{service: logservice.New(logservice.Options{AppendsPerSecond: 1000, AppendBurst: 100, MaxRecords: 100}).Handler()}
	log := serve(t, faulty)
	faulty.appends, faulty.reads = []step{loseReply}, []step{sound, failing}
	_, err := log.Append(t.Context(), batch("x"))
	var uncertain *platform.UncertainError
	assert.Assert(t, errors.As(err, &uncertain))
	again := batch("x")
	again.Since = uncertain.Since
	offset, err := log.Append(t.Context(), again)
	assert.NilError(t, err)
	assert.Equal(t, offset, uint64(1))
	assert.DeepEqual(t, readIDs(t, log), []string{"x"})
}

func TestReadTrimmed(t *testing.T) {
	service := logservice.New(logservice.Options{
		AppendsPerSecond: 1000, AppendBurst: 100, MaxRecords: 2,
	})
	log := serve(t, service.Handler())
	for _, id := range []string{"a", "b", "c"} {
		_, err := log.Append(t.Context(), batch(id))
		assert.NilError(t, err)
	}
	page, err := log.Read(t.Context(), platform.Range{Stream: platform.StreamConfig, From: 1, Max: 10})
	assert.NilError(t, err)
	assert.DeepEqual(t, page, platform.Page{Records: []platform.Record{}, FirstOffset: 2, NextOffset: 4, Trimmed: true})
}

func TestReadFaults(t *testing.T) {
	hole := `{"records":[{"offset":3}],"first_offset":1,"next_offset":4}`
	cases := []struct {
		name    string
		handler http.HandlerFunc
		want    error
	}{
		{"down", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, platform.ErrUnavailable},
		{"refused", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadRequest) }, platform.ErrRefused},
		{"cut off", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, platform.ErrUnavailable},
		{"garbled", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{]")) }, platform.ErrUnavailable},
		{"records missing", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(hole)) }, platform.ErrUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			log := serve(t, c.handler)
			_, err := log.Read(t.Context(), platform.Range{Stream: platform.StreamConfig, From: 1, Max: 10})
			assert.ErrorIs(t, err, c.want)
			_, err = log.Append(t.Context(), batch("x"))
			assert.ErrorIs(t, err, c.want)
		})
	}
}

func TestNobodyListens(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	_, err := platform.NewLogClient(address).Append(context.Background(), batch("x"))
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	_, err = platform.NewHostsClient(address).List(context.Background())
	assert.ErrorIs(t, err, platform.ErrUnavailable)
}

func TestHostList(t *testing.T) {
	listed := `{"hosts":[{"name":"host-1","address":"127.0.0.1:1","mesh_address":"127.0.0.1:2","domain":"d","state":"leaving"}]}`
	cases := []struct {
		name   string
		status int
		body   string
		want   error
	}{
		{"sound", http.StatusOK, listed, nil},
		{"down", http.StatusServiceUnavailable, "", platform.ErrUnavailable},
		{"not found", http.StatusNotFound, "", platform.ErrRefused},
		{"garbled", http.StatusOK, "{]", platform.ErrUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			t.Cleanup(server.Close)
			list, err := platform.NewHostsClient(strings.TrimPrefix(server.URL, "http://")).List(t.Context())
			if c.want != nil {
				assert.ErrorIs(t, err, c.want)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, list.Hosts[0].State, platform.HostLeaving)
		})
	}
}
