package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/transfer"
	"mustarddoor/internal/process/keyed"
)

// During an outage, the hosts of a failure domain together retry about as often
// as a single host would, and no host waits for long.
func TestOutageRetryDelay(t *testing.T) {
	const base = 150 * time.Millisecond
	for _, hosts := range []int{1, 3, 9, 21, 100} {
		wait := outageRetryDelay(base, hosts)
		assert.Assert(t, wait >= base && wait <= maxOutageRetryDelay, "%d hosts: %v", hosts, wait)
		retryRate := float64(hosts) / wait.Seconds()
		limit := max(1/base.Seconds(), float64(hosts)/maxOutageRetryDelay.Seconds())
		assert.Assert(t, retryRate <= limit*1.01, "%d hosts: %.1f retries per second", hosts, retryRate)
	}
	assert.Equal(t, outageRetryDelay(base, 0), base)
	assert.Equal(t, outageRetryDelay(2*time.Second, 9), 2*time.Second)
}

// at returns a position of a store that was never restored.
func at(offset uint64) keyed.Position { return keyed.Position{Offset: offset} }

// newTopic returns a topic that follows no store.
func newTopic(name string) *keyed.Topic {
	policy := func() keyed.PollPolicy { return keyed.PollPolicy{} }
	return keyed.NewTopic(keyed.Partition{Topic: name}, nil, policy, keyed.RestorePolicy{}, logrus.NewEntry(logrus.New()), func(keyed.Change) {})
}

// narrowMbps is the capacity of the narrowest links that hosts have, in Mbit/s.
const narrowMbps = 10

// newTopicStore returns a store whose operator topic holds a snapshot.
func newTopicStore(snapshot keyed.Snapshot) *sharedReadStore {
	registry := metrics.NewRegistry()
	g := &Gateway{ports: Ports{Topics: Topics{Operator: "op", Endpoints: "endpoints"}}, fetchedBytes: transfer.NewCounters("peers.fetch", registry)}
	g.operator = newTopic("op")
	g.operator.Adopt(snapshot)
	return &sharedReadStore{
		gateway: g, client: http.DefaultClient, limiter: newRecordsLimiter(0), refusedReplies: metrics.NewCounter(),
		packed: newPackedReplies(registry, g.operator),
	}
}

// A host that needs records which its reader no longer has gets the reader's
// snapshot, and does not read the log itself.
func TestReaderServesSnapshot(t *testing.T) {
	reader := newTopicStore(keyed.Snapshot{Position: at(40), Values: map[string][]byte{"config": []byte("new")}, ConfirmedAt: time.Now()})
	server := httptest.NewServer(http.HandlerFunc(reader.serveRecords))
	defer server.Close()
	behind := newTopicStore(keyed.Snapshot{Position: at(7), Values: map[string][]byte{"config": []byte("old"), "gone": []byte("x")}})
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	batch, err := behind.readFromHost(t.Context(), address, keyed.Partition{Topic: "op"}, at(7))
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Records), 0)
	assert.Equal(t, batch.Next, at(7))
	snapshot, known := behind.gateway.operator.Snapshot()
	assert.Assert(t, known)
	snapshot.ConfirmedAt = time.Time{}
	assert.DeepEqual(t, snapshot, keyed.Snapshot{Position: at(40), Values: map[string][]byte{"config": []byte("new")}})
}

// A host that reads from one which has read the restored store gets its snapshot, even
// if that ends at a lower offset; one that is ahead of its reader waits for it.
func TestReaderServesRestoredStore(t *testing.T) {
	inEra := func(era, offset uint64) keyed.Position { return keyed.Position{Era: era, Offset: offset} }
	newest := keyed.Snapshot{Position: inEra(2, 3), Values: map[string][]byte{"config": []byte("new")}, Earlier: inEra(1, 7)}
	confirmed := newest
	confirmed.ConfirmedAt = time.Now()
	reader := newTopicStore(confirmed)
	server := httptest.NewServer(http.HandlerFunc(reader.serveRecords))
	defer server.Close()
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	follower := newTopicStore(keyed.Snapshot{Position: inEra(1, 7), Values: map[string][]byte{"config": []byte("old")}})
	for _, from := range []keyed.Position{inEra(1, 7), inEra(2, 3), inEra(3, 1)} {
		batch, err := follower.readFromHost(t.Context(), address, keyed.Partition{Topic: "op"}, from)
		assert.NilError(t, err)
		assert.Equal(t, len(batch.Records), 0)
		assert.Equal(t, batch.Next, from)
		snapshot, _ := follower.gateway.operator.Snapshot()
		snapshot.ConfirmedAt = time.Time{}
		assert.DeepEqual(t, snapshot, newest)
	}
}

// Hosts of the version before positions held an era read snapshots and replies, and
// theirs are read.
func TestRecordsOfVersionWithoutEra(t *testing.T) {
	type oldSnapshot struct {
		Next   uint64            `cbor:"1,keyasint"`
		Values map[string][]byte `cbor:"2,keyasint"`
	}
	type oldReply struct {
		Records  []keyed.Record `cbor:"1,keyasint,omitempty"`
		Next     uint64         `cbor:"2,keyasint"`
		Snapshot *oldSnapshot   `cbor:"3,keyasint,omitempty"`
	}
	records := []keyed.Record{{Key: "a", Value: []byte("x")}}
	older := oldReply{Records: records, Next: 8, Snapshot: &oldSnapshot{Next: 7, Values: map[string][]byte{"a": []byte("x")}}}
	data, err := wire.Marshal(older)
	assert.NilError(t, err)
	newer := recordsReply{}
	assert.NilError(t, wire.Unmarshal(data, &newer))
	assert.DeepEqual(t, newer, recordsReply{Records: records, Next: 8, Snapshot: &keyed.Snapshot{Position: at(7), Values: older.Snapshot.Values}})
	newer.Era, newer.Snapshot.Era, newer.Snapshot.Earlier = 2, 2, keyed.Position{Era: 1, Offset: 9}
	data, err = wire.Marshal(newer)
	assert.NilError(t, err)
	got := oldReply{}
	assert.NilError(t, wire.Unmarshal(data, &got))
	assert.DeepEqual(t, got, older)
}

// An empty reply from a host that had lost the log passed for "nothing has changed".
func TestEmptyReplyOfOutdatedReader(t *testing.T) {
	content := keyed.Snapshot{Position: at(7), Values: map[string][]byte{"config": []byte("old")}}
	for _, test := range []struct {
		name string
		// reader and follower are how long ago each has read the log; negative if never.
		reader, follower time.Duration
		serve            func(http.Handler) http.Handler
		isOutdated       bool
	}{
		{name: "reads the log", reader: 200 * time.Millisecond, follower: time.Second},
		{name: "lost the log", reader: 1500 * time.Millisecond, follower: 200 * time.Millisecond, isOutdated: true},
		{name: "never read the log", reader: -1, follower: 200 * time.Millisecond, isOutdated: true},
		{name: "loses the log during the request", reader: maxUnconfirmed - 100*time.Millisecond, follower: time.Second, isOutdated: true},
		{name: "older version", reader: 200 * time.Millisecond, follower: 200 * time.Millisecond, serve: withoutConfirmation},
		{name: "older version for long", reader: 200 * time.Millisecond, follower: 1500 * time.Millisecond, serve: withoutConfirmation, isOutdated: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			readAgo := func(age time.Duration) keyed.Snapshot {
				snapshot := content
				if age >= 0 {
					snapshot.ConfirmedAt = time.Now().Add(-age)
				}
				return snapshot
			}
			reader, follower := newTopicStore(readAgo(test.reader)), newTopicStore(readAgo(test.follower))
			handler := http.Handler(http.HandlerFunc(reader.serveRecords))
			if test.serve != nil {
				handler = test.serve(handler)
			}
			server := httptest.NewServer(handler)
			defer server.Close()
			address := netip.MustParseAddrPort(server.Listener.Addr().String())
			sentAt := time.Now()
			batch, err := follower.readFromHost(t.Context(), address, keyed.Partition{Topic: "op"}, at(7))
			if test.isOutdated {
				assert.Assert(t, err != nil)
				assert.Assert(t, test.serve != nil || time.Since(sentAt) < relayMaxWait, "the follower must read the log as soon as possible")
				return
			}
			assert.NilError(t, err)
			assert.Assert(t, !batch.ConfirmedAt.After(sentAt), "the reader cannot have read the log later")
		})
	}
}

// withoutConfirmation returns a handler that replies as a host does that does not know when
// the log was read.
func withoutConfirmation(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		if recorder.Code != http.StatusOK {
			w.WriteHeader(recorder.Code)
			return
		}
		reply := recordsReply{}
		if err := wire.Unmarshal(recorder.Body.Bytes(), &reply); err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		reply.ConfirmedMillis = nil
		(&Gateway{}).writeReply(w, reply)
	})
}

// A host of the build before asked again at once after an empty reply. It reads the log
// itself if it gets none.
func TestReaderWithoutTheLogGivesNoEmptyReply(t *testing.T) {
	reader := newTopicStore(keyed.Snapshot{Position: at(7), Values: map[string][]byte{"config": []byte("old")}, ConfirmedAt: time.Now().Add(-2 * maxUnconfirmed)})
	recorder := httptest.NewRecorder()
	reader.serveRecords(recorder, httptest.NewRequest(http.MethodGet, recordsPath+"?topic=op&from=7&era=0", nil))
	assert.Equal(t, recorder.Code, http.StatusGone)
}

// A reader with a narrow link sent a large configuration to all hosts of its failure domain
// at once, and some of their reads timed out.
func TestReaderWithNarrowLinkRefusesWhatItCannotDeliver(t *testing.T) {
	const (
		mbps      = narrowMbps
		hosts     = 20
		valueSize = 100_000
	)
	reader := newTopicStore(keyed.Snapshot{Position: at(7), Values: map[string][]byte{"config": make([]byte, valueSize)}, ConfirmedAt: time.Now()})
	reader.limiter = newRecordsLimiter(mbps)
	fetch := func(from string) *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		reader.serveRecords(recorder, httptest.NewRequest(http.MethodGet, recordsPath+"?topic=op&era=0&from="+from, nil))
		return recorder
	}
	sent, refused := 0, 0
	for range hosts {
		got := fetch("6")
		sent += got.Body.Len()
		if got.Code == http.StatusGone {
			refused++
		}
	}
	delivery := time.Duration(float64(sent*8) / (mbps * 1e6) * float64(time.Second))
	assert.Assert(t, sent >= valueSize && delivery < relayReplyTimeout, "%d bytes take %v", sent, delivery)
	assert.Assert(t, refused > 0)
	assert.Equal(t, reader.refusedReplies.Count(), int64(refused))
	assert.Equal(t, fetch("7").Code, http.StatusOK, "small replies are sent")
}

// largeConfiguration returns a configuration of some 600 kB, of which most lines are alike.
func largeConfiguration() []byte {
	routes := []map[string]any{}
	for number := range 3000 {
		name := fmt.Sprintf("%07x", rand.Uint32())
		routes = append(routes, map[string]any{
			"name": "r-" + name, "hostname": "example", "pathPrefix": "/" + name + "/", "routeKind": "safe", "serviceName": "svc",
			"timeoutMs": 1000 + number, "targetLatencyMs": 400, "targetGapMs": 400, "maxAttempts": 2, "priority": 1,
		})
	}
	data, err := json.Marshal(map[string]any{"version": 7, "routes": routes})
	if err != nil {
		panic(err)
	}
	return data
}

// Most hosts of a failure domain read a large configuration from the log, each over its own
// link, as their reader's link could not deliver it to all of them at once.
func TestReaderServesLargeConfigurationToItsFailureDomain(t *testing.T) {
	const (
		mbps  = 200
		hosts = 27
	)
	value := largeConfiguration()
	reader := newTopicStore(keyed.Snapshot{Position: at(7), Values: map[string][]byte{"config": value}, ConfirmedAt: time.Now()})
	reader.limiter = newRecordsLimiter(mbps)
	server := httptest.NewServer(http.HandlerFunc(reader.serveRecords))
	defer server.Close()
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	for range hosts {
		follower := newTopicStore(keyed.Snapshot{Position: at(6), Values: map[string][]byte{"config": []byte("old")}})
		_, err := follower.readFromHost(t.Context(), address, keyed.Partition{Topic: "op"}, at(6))
		assert.NilError(t, err)
		snapshot, _ := follower.gateway.operator.Snapshot()
		assert.Assert(t, bytes.Equal(snapshot.Values["config"], value))
	}
	assert.Equal(t, reader.refusedReplies.Count(), int64(0))
	assert.Equal(t, reader.packed[reader.gateway.operator].packed.Count(), int64(1))
}

// A reply that is larger than what may be sent at once was refused for ever.
func TestReaderSendsReplyLargerThanItsBurst(t *testing.T) {
	value := largeConfiguration()
	reader := newTopicStore(keyed.Snapshot{Position: at(7), Values: map[string][]byte{"config": value}, ConfirmedAt: time.Now()})
	reader.limiter = newRecordsLimiter(narrowMbps)
	assert.Assert(t, len(value) > reader.limiter.Burst())
	recorder := httptest.NewRecorder()
	// The query of a host that does not read compressed replies.
	reader.serveRecords(recorder, httptest.NewRequest(http.MethodGet, recordsPath+"?topic=op&era=0&from=6", nil))
	assert.Equal(t, recorder.Code, http.StatusOK)
	reply := recordsReply{}
	assert.NilError(t, wire.Unmarshal(recorder.Body.Bytes(), &reply))
	assert.Assert(t, bytes.Equal(reply.Snapshot.Values["config"], value))
}

// The state of another host had both topics, whichever was behind.
func TestStateHasTheTopicsAskedFor(t *testing.T) {
	value := largeConfiguration()
	host := newTopicStore(keyed.Snapshot{Position: at(7), Values: map[string][]byte{"config": value}})
	g := host.gateway
	g.sharedReads = host
	g.endpoints = newTopic("endpoints")
	g.endpoints.Adopt(keyed.Snapshot{Position: at(3), Values: map[string][]byte{"w1": value}})
	host.packed = newPackedReplies(metrics.NewRegistry(), g.operator, g.endpoints)
	for name, test := range map[string]struct {
		query               string
		operator, endpoints bool
		isPacked            bool
	}{
		"a host of a build before": {"", true, true, false},
		"all topics":               {"?packed=1", true, true, true},
		"one topic":                {"?packed=1&topic=op", true, false, true},
		"not compressed":           {"?topic=endpoints", false, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			recorder := httptest.NewRecorder()
			g.serveState(recorder, httptest.NewRequest(http.MethodGet, statePath+test.query, nil))
			reply := stateReply{}
			assert.NilError(t, wire.Unmarshal(recorder.Body.Bytes(), &reply))
			assert.Equal(t, reply.Operator != nil, test.operator && !test.isPacked)
			assert.Equal(t, recorder.Body.Len() < len(value)/2, test.isPacked)
			assert.NilError(t, reply.unpack())
			assert.Equal(t, reply.Operator != nil, test.operator)
			assert.Equal(t, reply.Endpoints != nil, test.endpoints)
			if test.operator {
				assert.Assert(t, bytes.Equal(reply.Operator.Values["config"], value))
			}
		})
	}
}
