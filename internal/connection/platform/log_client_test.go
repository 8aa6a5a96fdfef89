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

// fault is what faultyLog does to one request.
type fault int

const (
	noFault fault = iota
	// dropReply closes the connection after the request took effect,
	// dropRequest before.
	dropReply
	dropRequest
	malformedReply
	serverError
	rateLimited
	badRequest
)

// faultyLog injects faults into a log service: it applies the listed faults to
// consecutive requests of a method and passes on all later requests.
type faultyLog struct {
	service http.Handler
	appends []fault
	reads   []fault
}

func (f *faultyLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	faults := &f.reads
	if r.Method == http.MethodPost {
		faults = &f.appends
	}
	next := noFault
	if len(*faults) > 0 {
		next, *faults = (*faults)[0], (*faults)[1:]
	}
	switch next {
	case noFault:
		f.service.ServeHTTP(w, r)
	case dropReply:
		f.service.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	case dropRequest:
		panic(http.ErrAbortHandler)
	case malformedReply:
		f.service.ServeHTTP(httptest.NewRecorder(), r)
		_, _ = w.Write([]byte("{]"))
	case serverError:
		w.WriteHeader(http.StatusServiceUnavailable)
	case rateLimited:
		w.WriteHeader(http.StatusTooManyRequests)
	case badRequest:
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

// readIDs returns the IDs of all records of the stream.
func readIDs(t *testing.T, log platform.Log) []string {
	page, err := log.Read(t.Context(), platform.Range{Stream: platform.StreamConfig, From: 1, MaxRecords: 100})
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
		appends []fault
		reads   []fault
		want    error
		ids     []string
	}{
		{name: "sound", ids: []string{"a", "x", "y"}},
		{name: "reply lost", appends: []fault{dropReply}, ids: []string{"a", "x", "y"}},
		{name: "reply garbled", appends: []fault{malformedReply}, ids: []string{"a", "x", "y"}},
		{name: "cut off once", appends: []fault{dropRequest}, ids: []string{"a", "x", "y"}},
		{name: "cut off, then reply lost", appends: []fault{dropRequest, dropReply}, ids: []string{"a", "x", "y"}},
		{name: "error status once", appends: []fault{serverError}, ids: []string{"a", "x", "y"}},
		{name: "cut off always", appends: []fault{dropRequest, dropRequest, dropRequest}, want: platform.ErrUncertain, ids: []string{"a"}},
		{name: "reply lost, log then down", appends: []fault{dropReply}, reads: []fault{serverError}, want: platform.ErrUncertain, ids: []string{"a", "x", "y"}},
		{name: "rate exceeded", appends: []fault{rateLimited}, want: platform.ErrUnavailable, ids: []string{"a"}},
		{name: "refused", appends: []fault{badRequest}, want: platform.ErrRefused, ids: []string{"a"}},
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

// TestAppendAfterUncertainError checks that a retry with the offset of an
// UncertainError does not append the records a second time.
func TestAppendAfterUncertainError(t *testing.T) {
	faulty := &faultyLog{service: logservice.New(logservice.Options{AppendsPerSecond: 1000, AppendBurst: 100, MaxRecords: 100}).Handler()}
	log := serve(t, faulty)
	faulty.appends, faulty.reads = []fault{dropReply}, []fault{noFault, serverError}
	_, err := log.Append(t.Context(), batch("x"))
	var uncertain *platform.UncertainError
	assert.Assert(t, errors.As(err, &uncertain))
	retried := batch("x")
	retried.Since = uncertain.Since
	offset, err := log.Append(t.Context(), retried)
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
	page, err := log.Read(t.Context(), platform.Range{Stream: platform.StreamConfig, From: 1, MaxRecords: 10})
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
			_, err := log.Read(t.Context(), platform.Range{Stream: platform.StreamConfig, From: 1, MaxRecords: 10})
			assert.ErrorIs(t, err, c.want)
			_, err = log.Append(t.Context(), batch("x"))
			assert.ErrorIs(t, err, c.want)
		})
	}
}

func TestConnectionRefused(t *testing.T) {
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
