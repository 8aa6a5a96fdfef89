package gateway

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"mustarddoor/internal/process/keyed"
	"mustarddoor/internal/process/pause"
	"mustarddoor/internal/process/quarantine"
)

// promptQuarantine shares the quarantine of prompt parts with the other hosts and
// stores it in the platform's log, where hosts find it that start or reach no
// other. It implements relay.Quarantine.
type promptQuarantine struct {
	gateway *Gateway
	tracker *quarantine.Tracker
	size    metrics.Gauge

	mu sync.Mutex
	// stored holds the parts in the log's record, as far as it is known, and the
	// number of their failed probes.
	stored map[quarantine.Part]int
	// storedEra is the store's era in which that was so.
	storedEra uint64
}

// quarantineRecord is the record of the quarantined parts in the log.
type quarantineRecord struct {
	// WrittenAt is in Unix milliseconds.
	WrittenAt   int64                   `cbor:"1,keyasint"`
	Quarantined []quarantine.PartReport `cbor:"2,keyasint"`
}

const (
	// quarantineKey is the key of the record in the hosts topic, which each host
	// loads at its start. It is no host's name.
	quarantineKey = "/quarantine"
	// quarantineInterval is the time between checks whether to write the record.
	quarantineInterval = 300 * time.Millisecond
	// quarantineRetryDelay is the delay after a failed write.
	quarantineRetryDelay = time.Second
	// quarantineTimeout limits the store call.
	quarantineTimeout = 800 * time.Millisecond
)

func newPromptQuarantine(g *Gateway) *promptQuarantine {
	q := &promptQuarantine{gateway: g, size: metrics.GetOrRegisterGauge("quarantine.parts", g.registry)}
	q.tracker = quarantine.NewTracker(q.mayProbe)
	return q
}

// mayProbe reports whether this host is the active one that probes a quarantined
// part. It is selected by rendezvous hashing, so that all hosts agree.
func (q *promptQuarantine) mayProbe(part quarantine.Part) bool {
	self := q.gateway.settings.PeerAddress
	active := q.gateway.membership.ActiveHosts(q.gateway.membership.Now())
	score := func(address string) uint64 { return xxhash.Sum64String(address + " " + part.String()) }
	return slices.Contains(active, self) && !slices.ContainsFunc(active, func(other netip.AddrPort) bool {
		return score(other.String()) < score(self.String())
	})
}

// RecordCrash implements relay.Quarantine.
func (q *promptQuarantine) RecordCrash(incarnation uint64, parts []quarantine.Part) {
	newlyQuarantined := q.tracker.RecordCrash(incarnation, parts, time.Now())
	q.logChanges("own crash", newlyQuarantined, nil)
	// Sound requests at the same endpoint break off too, most of them for the first
	// time: the next message is soon enough for these.
	if isPrompt := len(parts) > 1; isPrompt || len(newlyQuarantined) > 0 {
		q.gateway.transport.SendNow()
	}
}

// RecordSuccess implements relay.Quarantine.
func (q *promptQuarantine) RecordSuccess(parts []quarantine.Part) {
	q.logChanges("own success", nil, q.tracker.RecordSuccess(parts, time.Now()))
}

// IsQuarantined implements relay.Quarantine.
func (q *promptQuarantine) IsQuarantined(parts []quarantine.Part) (quarantine.Part, time.Duration, bool) {
	return q.tracker.IsQuarantined(parts, time.Now())
}

// AllowSend implements relay.Quarantine.
func (q *promptQuarantine) AllowSend(parts []quarantine.Part) bool {
	return q.tracker.AllowSend(parts, time.Now())
}

// evidence returns what to tell the other hosts in a message.
func (q *promptQuarantine) evidence(isFull bool) *quarantine.Evidence {
	now := time.Now()
	if !isFull && !q.tracker.HasNews(now) {
		return nil
	}
	return q.tracker.Evidence(now, isFull)
}

// merge adds the evidence of another host, or of the log.
func (q *promptQuarantine) merge(from string, evidence *quarantine.Evidence) {
	if evidence == nil {
		return
	}
	newlyQuarantined, released := q.tracker.Merge(evidence, time.Now())
	q.logChanges(from, newlyQuarantined, released)
}

// logChanges logs the parts that were quarantined or released, and why.
func (q *promptQuarantine) logChanges(cause string, newlyQuarantined, released []quarantine.Part) {
	if len(newlyQuarantined) == 0 && len(released) == 0 {
		return
	}
	q.size.Update(int64(len(q.tracker.Quarantined())))
	for _, part := range newlyQuarantined {
		q.gateway.log.Entry().WithFields(logrus.Fields{"prompt_part": part, "from": cause}).
			Warn("prompt part quarantined: endpoints end as they respond to it")
	}
	for _, part := range released {
		q.gateway.log.Entry().WithFields(logrus.Fields{"prompt_part": part, "from": cause}).Info("prompt part released")
	}
}

// run keeps the record in the log up to date until ctx is done.
func (q *promptQuarantine) run(ctx context.Context) error {
	for pause.For(ctx, quarantineInterval) {
		if _, isLoaded := q.gateway.hosts.Next(); !isLoaded || !q.gateway.isWriter() {
			continue
		}
		quarantined := q.tracker.Reports(time.Now())
		if q.isStored(quarantined) {
			continue
		}
		if err := q.write(ctx, quarantined); err != nil {
			q.gateway.log.Entry().WithError(err).Warn("cannot write the quarantined prompt parts")
			pause.For(ctx, quarantineRetryDelay)
		}
	}
	return nil
}

// failedProbes returns the number of failed probes of each part.
func failedProbes(quarantined []quarantine.PartReport) map[quarantine.Part]int {
	probes := make(map[quarantine.Part]int, len(quarantined))
	for _, c := range quarantined {
		probes[c.Part] = c.FailedProbes
	}
	return probes
}

// isStored reports whether the log's record holds these parts. A host that has yet to
// read or write the record assumes that the log had it in the era of the host's start.
func (q *promptQuarantine) isStored(quarantined []quarantine.PartReport) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	era := q.gateway.storeEra()
	if q.storedEra == 0 {
		q.storedEra = era
	}
	return q.storedEra >= era && maps.Equal(failedProbes(quarantined), q.stored)
}

func (q *promptQuarantine) setStored(quarantined []quarantine.PartReport, era uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stored, q.storedEra = failedProbes(quarantined), era
}

// write writes the record. Of two writers the last one stands; the other writes
// again once it has read the record.
func (q *promptQuarantine) write(ctx context.Context, quarantined []quarantine.PartReport) error {
	data, err := wire.Marshal(quarantineRecord{WrittenAt: time.Now().UnixMilli(), Quarantined: quarantined})
	if err != nil {
		return eris.Wrap(err, "encode")
	}
	ctx, cancel := context.WithTimeout(ctx, quarantineTimeout)
	defer cancel()
	partition := keyed.Partition{Topic: q.gateway.ports.Topics.Hosts}
	end, err := q.gateway.ports.Store.Append(ctx, partition, keyed.Record{Key: quarantineKey, Value: data}, nil)
	if err != nil {
		return eris.Wrap(err, "write")
	}
	q.setStored(quarantined, end.Era)
	q.gateway.log.Entry().WithField("prompt_parts", slices.Sorted(maps.Keys(failedProbes(quarantined)))).Info("wrote the quarantined prompt parts")
	return nil
}

// load applies the record in the log.
func (q *promptQuarantine) load(value []byte, era uint64) error {
	record := quarantineRecord{}
	if err := wire.Unmarshal(value, &record); err != nil {
		return eris.Wrap(err, "quarantined prompt parts")
	}
	q.setStored(record.Quarantined, era)
	age := max(0, time.Now().UnixMilli()-record.WrittenAt)
	for i := range record.Quarantined {
		record.Quarantined[i].AgeMillis += age
	}
	q.merge("log", &quarantine.Evidence{Quarantined: record.Quarantined})
	return nil
}
