package request_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/mesh"
	"mustarddoor/internal/connection/platform"
	"mustarddoor/internal/process/hlc"
	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/request/journal"
	"mustarddoor/internal/request/key"
	"mustarddoor/internal/request/outcome"
	"mustarddoor/internal/request/owner"
	"mustarddoor/internal/request/witness"
	"mustarddoor/internal/standin/logservice"
)

// witnessPair is the sender of an owner and a witness, connected by a real mesh
// on the loopback interface.
type witnessPair struct {
	owner, witness identity.Host
	register       *witness.Register
	sender         *witness.Sender
	client         *mesh.Client
	clientMetrics  metrics.Registry
}

// Find implements witness.Hosts.
func (p *witnessPair) Find(identity.Incarnation) (identity.Host, bool) { return p.witness, true }

func newRegister(self identity.Incarnation) *witness.Register {
	return witness.NewRegister(witness.Config{
		Self:      self,
		Limits:    witness.Limits{MaxRecords: 1 << 22, MaxBytes: 1 << 32, MaxOwners: 8},
		Retention: func() time.Duration { return time.Hour },
	})
}

func newWitnessPair(b *testing.B) *witnessPair {
	p := &witnessPair{clientMetrics: metrics.NewRegistry()}
	p.owner.Incarnation = identity.Incarnation{Host: "host-1", Number: 1}
	p.witness.Incarnation = identity.Incarnation{Host: "host-2", Number: 1}
	p.register = newRegister(p.witness.Incarnation)
	server := mesh.NewServer(mesh.Options{Self: p.witness, Clock: hlc.NewClock(time.Now), Metrics: metrics.NewRegistry()})
	p.register.AddHandlers(server, time.Now)
	mux := http.NewServeMux()
	mux.Handle(mesh.Path, server)
	listening := httptest.NewServer(mux)
	p.witness.MeshAddress = strings.TrimPrefix(listening.URL, "http://")
	p.client = mesh.NewClient(mesh.Options{Self: p.owner, Clock: hlc.NewClock(time.Now), Metrics: p.clientMetrics})
	b.Cleanup(func() {
		p.client.Close()
		server.Close()
		listening.Close()
	})
	p.sender = witness.NewSender(witness.SenderConfig{
		Caller: p.client, Hosts: p, Now: time.Now,
		IntentTimeout: time.Second, OutcomeInterval: time.Second,
	})
	return p
}

// intent returns the intent of the request with the given number.
func (p *witnessPair) intent(number int) witness.Intent {
	session := key.Session{Owner: p.owner.Incarnation, Witness: p.witness.Incarnation, Nonce: 7, IssuedMillis: 1_700_000_000_000}
	return witness.Intent{
		Key:     key.Key{Session: session, Part: fmt.Sprintf("order-%020d", number)},
		Attempt: 1, Service: "voz-modelo", Endpoint: "voz-1", Address: "127.0.0.1:8000", SendWithinMillis: 500,
	}
}

// measureLatency makes the calls from several goroutines and reports percentiles
// of their latency.
func measureLatency(b *testing.B, callers, calls int, call func(number int) error) {
	samples := make([][]time.Duration, callers)
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			for n := range calls / callers {
				start := time.Now()
				if err := call(i*calls + n); err != nil {
					b.Error(err)
					return
				}
				samples[i] = append(samples[i], time.Since(start))
			}
		})
	}
	group.Wait()
	all := slices.Concat(samples...)
	slices.Sort(all)
	for _, percent := range []int{50, 99} {
		percentile := all[(len(all)-1)*percent/100]
		b.ReportMetric(float64(percentile)/float64(time.Millisecond), fmt.Sprintf("ms-p%d", percent))
	}
}

// BenchmarkWitness measures the latency that the witness adds to a request.
func BenchmarkWitness(b *testing.B) {
	for _, callers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			const calls = 20_000
			p := newWitnessPair(b)
			for b.Loop() {
				measureLatency(b, callers, calls, func(number int) error {
					_, err := p.sender.SendIntent(context.Background(), p.intent(number))
					return err
				})
			}
			sent := metrics.GetOrRegisterCounter("mesh.sent_bytes", p.clientMetrics).Count()
			b.ReportMetric(float64(sent)/calls, "B/intent")
		})
	}
}

// slowLog accepts 300 appends per second, one at a time, without failures.
type slowLog struct{ mu sync.Mutex }

const appendDuration = time.Second / 300

func (l *slowLog) Append(context.Context, string, []platform.AppendRecord) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	time.Sleep(appendDuration)
	return 1, nil
}

// BenchmarkLogFirst measures the latency that waiting for the log instead of the
// witness would add. All waiting requests share one append at a time.
func BenchmarkLogFirst(b *testing.B) {
	for _, callers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			log := &slowLog{}
			var mu sync.Mutex
			current := make(chan struct{})
			stop := make(chan struct{})
			go func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					mu.Lock()
					batch := current
					current = make(chan struct{})
					mu.Unlock()
					log.Append(context.Background(), platform.StreamRequests, nil)
					close(batch)
				}
			}()
			for b.Loop() {
				measureLatency(b, callers, 200*callers, func(int) error {
					mu.Lock()
					batch := current
					mu.Unlock()
					<-batch
					return nil
				})
			}
			close(stop)
		})
	}
}

// heapInUse runs the garbage collector and returns the bytes in use on the heap.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// instantLog appends without delay.
type instantLog struct{ records []platform.Record }

func (l *instantLog) Append(_ context.Context, _ string, records []platform.AppendRecord) (uint64, error) {
	for _, r := range records {
		l.records = append(l.records, platform.Record{Offset: uint64(len(l.records) + 1), ID: r.ID, Data: r.Data})
	}
	return uint64(len(l.records)), nil
}

func newWriter(register *witness.Register, log journal.Appender) *journal.Writer {
	return journal.NewWriter(journal.WriterConfig{
		Register: register, Log: log, Timeout: time.Minute, Metrics: metrics.NewRegistry(),
	})
}

// BenchmarkWitnessMemory measures the memory that the witness uses for an ended
// request, before and after it is logged.
func BenchmarkWitnessMemory(b *testing.B) {
	for _, count := range []int{10_000, 30_000, 100_000} {
		b.Run(fmt.Sprint("requests=", count), func(b *testing.B) { measureWitness(b, count) })
	}
}

func measureWitness(b *testing.B, count int) {
	p := newWitnessPair(b)
	for b.Loop() {
		p.register = newRegister(p.witness.Incarnation)
		before := heapInUse()
		fillRegister(p, count)
		unlogged := heapInUse()
		log := &instantLog{}
		newWriter(p.register, log).Flush(context.Background())
		size := 0
		for _, r := range log.records {
			size += len(r.Data)
		}
		log.records = nil
		b.ReportMetric((unlogged-before)/float64(count), "B/request-without-log")
		b.ReportMetric((heapInUse()-before)/float64(count), "B/request-with-log")
		b.ReportMetric(float64(size)/float64(count), "B/request-in-log")
	}
}

func fillRegister(p *witnessPair, count int) {
	for number := range count {
		intent := p.intent(number)
		p.register.RecordIntent(time.Now(), intent)
		p.register.RecordOutcome(witness.Outcome{Key: intent.Key, Result: witness.Result{Outcome: outcome.Done, ResponseBytes: 2000}})
	}
}

// BenchmarkOwnerMemory measures the memory that an owner uses for a request in
// flight with 2 KiB of its response, and for an ended request whose response was
// dropped.
func BenchmarkOwnerMemory(b *testing.B) {
	for _, count := range []int{5_000, 15_000, 50_000} {
		b.Run(fmt.Sprint("in-flight/requests=", count), func(b *testing.B) { measureOwner(b, count, 2048) })
	}
	b.Run("ended", func(b *testing.B) { measureOwner(b, 50_000, 0) })
}

func measureOwner(b *testing.B, count, responseBytes int) {
	p := newWitnessPair(b)
	for b.Loop() {
		registry := owner.NewRegistry(owner.Config{
			Self:   p.owner.Incarnation,
			Limits: owner.Limits{MaxRequests: 1 << 20, MaxResponseBytes: 1 << 40, MaxWindowBytes: 1 << 20},
			Now:    time.Now, Retention: func() time.Duration { return 200 * 365 * 24 * time.Hour },
		})
		before := heapInUse()
		response := make([]byte, responseBytes)
		for number := range count {
			request, _, refusal := registry.Open(p.intent(number).Key, 1)
			assert.Assert(b, refusal == nil)
			request.Begin(owner.Head{Status: 200})
			request.Write(response)
		}
		b.ReportMetric((heapInUse()-before)/float64(count), "B/request")
		runtime.KeepAlive(registry)
	}
}

// BenchmarkRecovery measures the time to look up the outcomes of the requests of
// a lost owner, from the witness over the mesh and from the log service over
// HTTP.
func BenchmarkRecovery(b *testing.B) {
	const count = 10_000
	p := newWitnessPair(b)
	service := logservice.New(logservice.Options{AppendsPerSecond: 500, AppendBurst: 100, MaxRecords: 100_000})
	listening := httptest.NewServer(service.Handler())
	b.Cleanup(listening.Close)
	log := platform.NewLogClient(strings.TrimPrefix(listening.URL, "http://"))
	fillRegister(p, count)
	b.Run("witness", func(b *testing.B) {
		for b.Loop() {
			start := time.Now()
			measureLatency(b, 16, count, func(number int) error {
				var record witness.Record
				request := witness.VoidOrGetRequest{Key: p.intent(number).Key}
				return p.client.Call(context.Background(), p.witness.MeshAddress, witness.KindVoidOrGet, request, &record)
			})
			b.ReportMetric(float64(time.Since(start))/float64(time.Millisecond), "ms-all")
		}
	})
	newWriter(p.register, appender{log}).Flush(context.Background())
	b.Run("log", func(b *testing.B) {
		for b.Loop() {
			reader := journal.NewReader(log)
			start := time.Now()
			measureLatency(b, 16, count, func(number int) error {
				_, _, err := reader.Find(context.Background(), p.intent(number).Key)
				return err
			})
			b.ReportMetric(float64(time.Since(start))/float64(time.Millisecond), "ms-all")
		}
	})
	b.Run("log-first", func(b *testing.B) {
		for b.Loop() {
			start := time.Now()
			_, found, err := journal.NewReader(log).Find(context.Background(), p.intent(17).Key)
			assert.NilError(b, err)
			assert.Assert(b, found)
			b.ReportMetric(float64(time.Since(start))/float64(time.Millisecond), "ms-first")
		}
	})
}

// appender adapts platform.Log to journal.Appender.
type appender struct{ log platform.Log }

func (a appender) Append(ctx context.Context, stream string, records []platform.AppendRecord) (uint64, error) {
	return a.log.Append(ctx, platform.Batch{Stream: stream, Records: records})
}
