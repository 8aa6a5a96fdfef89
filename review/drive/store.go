//go:build review

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The limits of the platform's store, as its page and the settings name them.
const (
	maxRecordBytes  = 262144
	defaultReadKB   = 1024
	maxStoredBytes  = 400 << 20
	maxPartBytes    = 200 << 20
	storeLatency    = 4 * time.Millisecond
	newestPageItems = 500
	newestPageBytes = 1 << 20
	appendLatency   = 2 * time.Millisecond
	partBytesPerS   = 20e6
)

// appendTime is how long an append of some bytes takes.
func appendTime(bytes int) time.Duration {
	return appendLatency + time.Duration(float64(bytes)/partBytesPerS*float64(time.Second))
}

// historyKept is how long the store keeps records that are not the newest of their key.
const historyKept = 20 * time.Second

// store is a stand-in for the platform's store.
type store struct {
	address string

	mu      sync.Mutex
	parts   map[string]*part
	changed chan struct{}
	// refusedFull counts the appends that were refused because the store was full.
	refusedFull int
	server      *http.Server
}

type part struct {
	first   uint64
	records []storedRecord
	newest  map[string]newestRecord
	bytes   int
}

type storedRecord struct {
	data []byte
	at   time.Time
}

type newestRecord struct {
	value  []byte
	offset uint64
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), parts: map[string]*part{}, changed: make(chan struct{})}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes a record as the operator or a worker does; a nil value deletes the key.
func (s *store) put(topic, key string, value any) {
	var data []byte
	if value != nil {
		encoded, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		data = encoded
	}
	time.Sleep(appendTime(len(data)))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(topic+"/0", append(append([]byte{byte(len(key))}, key...), data...), time.Now())
}

// get returns the newest value of a key.
func (s *store) get(topic, key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record, found := s.part(topic + "/0").newest[key]
	return record.value, found
}

func (s *store) part(name string) *part {
	if s.parts[name] == nil {
		s.parts[name] = &part{newest: map[string]newestRecord{}}
	}
	return s.parts[name]
}

// append adds a record. The caller holds mu.
func (s *store) append(name string, record []byte, now time.Time) uint64 {
	p := s.part(name)
	offset := p.first + uint64(len(p.records))
	p.records = append(p.records, storedRecord{data: record, at: now})
	p.bytes += len(record)
	if strings.HasPrefix(name, "keyed.") {
		key, value := string(record[1:1+int(record[0])]), record[1+int(record[0]):]
		if len(value) == 0 {
			delete(p.newest, key)
		} else {
			p.newest[key] = newestRecord{value: value, offset: offset}
		}
	}
	for len(p.records) > 1 && (now.Sub(p.records[0].at) > historyKept || p.bytes > maxPartBytes) {
		p.bytes -= len(p.records[0].data)
		p.records[0].data = nil
		p.records = p.records[1:]
		p.first++
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

func (s *store) storedBytes() int {
	sum := 0
	for _, p := range s.parts {
		sum += p.bytes
	}
	return sum
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	name := r.URL.Query().Get("topic") + "/" + r.URL.Query().Get("part")
	switch r.URL.Path {
	case "/v1/log-append":
		s.serveAppend(w, r, name)
	case "/v1/log-read":
		s.serveRead(w, r, name)
	case "/v1/log-newest":
		s.serveNewest(w, r, name)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, name string) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 3<<20))
	if err != nil || len(body) < 5 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if strings.HasPrefix(name, "keyed.op/") || strings.HasPrefix(name, "keyed.servers/") {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	record := body[4:]
	if int(binary.BigEndian.Uint32(body)) != len(record) || len(record) > maxRecordBytes {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(appendTime(len(record)))
	s.mu.Lock()
	p := s.part(name)
	end := p.first + uint64(len(p.records))
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.FormatUint(end, 10) {
		s.mu.Unlock()
		writeJSON(w, http.StatusPreconditionFailed, map[string]uint64{"endOffset": end})
		return
	}
	if s.storedBytes()+len(record) > maxStoredBytes {
		s.refusedFull++
		s.mu.Unlock()
		w.WriteHeader(http.StatusInsufficientStorage)
		return
	}
	offset := s.append(name, record, time.Now())
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]uint64{"offset": offset, "endOffset": offset + 1})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, name string) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	limit := defaultReadKB << 10
	if kb, err := strconv.Atoi(query.Get("maxKilobytes")); err == nil {
		limit = kb << 10
	}
	wait, _ := strconv.Atoi(query.Get("waitTimeoutMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		p := s.part(name)
		first, end, changed := p.first, p.first+uint64(len(p.records)), s.changed
		var records []storedRecord
		if from >= first && from < end {
			records = slices.Clone(p.records[from-first:])
		}
		s.mu.Unlock()
		if from < first || from > end {
			writeJSON(w, http.StatusGone, map[string]uint64{"firstOffset": first})
			return
		}
		if len(records) == 0 && wait > 0 {
			select {
			case <-changed:
				continue
			case <-timer.C:
				wait = 0
			case <-r.Context().Done():
				return
			}
		}
		data := binary.BigEndian.AppendUint64(nil, end)
		data = binary.BigEndian.AppendUint64(data, first)
		for i, record := range records {
			if i > 0 && len(data)+len(record.data) > limit {
				break
			}
			data = binary.BigEndian.AppendUint32(data, uint32(len(record.data)))
			data = append(data, record.data...)
		}
		_, _ = w.Write(data)
		return
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request, name string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset uint64 `json:"offset"`
	}
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	p := s.part(name)
	var keys []string
	for key := range p.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items, size, hasMore := []item{}, 0, false
	for _, key := range keys {
		record := p.newest[key]
		if len(items) > 0 && (size+len(record.value) > newestPageBytes || len(items) == newestPageItems) {
			hasMore = true
			break
		}
		size += len(record.value)
		items = append(items, item{key, base64.StdEncoding.EncodeToString(record.value), record.offset})
	}
	end := p.first + uint64(len(p.records))
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": hasMore, "endOffset": end})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
