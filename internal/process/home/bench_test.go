package home

import (
	"fmt"
	"testing"
	"time"

	"mustarddoor/internal/process/identity"
)

// fleetSize is the number of hosts and endpoints of a fleet.
type fleetSize struct {
	hosts, endpoints int
}

var fleetSizes = []fleetSize{{3, 23}, {9, 23}, {30, 130}, {100, 425}, {330, 1400}}

func (s fleetSize) String() string {
	return fmt.Sprintf("hosts=%d/endpoints=%d", s.hosts, s.endpoints)
}

// newSettledTable returns a table in which every endpoint has a home.
func newSettledTable(s fleetSize) (*Table, []Member, []string) {
	list, names := members(s.hosts), endpointNames(s.endpoints)
	table := NewTable()
	for i, name := range names {
		host := list[i%len(list)].Host
		table.Apply(table.Offset+1, Record{
			Host: host, LeaseMillis: LeaseTTL(s.hosts).Milliseconds(), ReadTo: table.Offset, Claim: []string{name},
		}, start)
	}
	return table, list, names
}

// BenchmarkPlan measures one plan of a host in a settled fleet. A host plans
// every planInterval.
func BenchmarkPlan(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(s.String(), func(b *testing.B) {
			table, list, names := newSettledTable(s)
			input := PlanInput{
				Self: list[0].Host, Members: list, Endpoints: names, Table: table, LeaseTTL: LeaseTTL(s.hosts),
				Now: start.Add(time.Second), MembersChangedAt: start.Add(-time.Hour),
			}
			for b.Loop() {
				Plan(input)
			}
			perPlan := b.Elapsed().Seconds() / float64(b.N)
			b.ReportMetric(100*perPlan/planInterval.Seconds(), "%core")
		})
	}
}

// BenchmarkRenewal measures the cost of renewals: the appends and bytes per
// second that every host reads, and the processor time spent on them.
func BenchmarkRenewal(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(s.String(), func(b *testing.B) {
			table, list, names := newSettledTable(s)
			codec := NewRecordCodec("a secret of the test fleet")
			record := Record{Host: identity.Host{Incarnation: list[0].Host.Incarnation, MeshAddress: "127.0.0.1:7001"}, LeaseMillis: LeaseTTL(s.hosts).Milliseconds()}
			for i := 0; i < len(names); i += len(list) {
				entry, _ := table.Entry(names[i])
				record.Renew = append(record.Renew, LeaseRef{Endpoint: names[i], Fence: entry.Fence})
			}
			data := codec.Encode(record)
			for b.Loop() {
				decoded, err := codec.Decode(data)
				if err != nil {
					b.Fatal(err)
				}
				table.Apply(table.Offset+1, decoded, start)
			}
			perSecond := float64(s.hosts) * renewalsPerTTL / LeaseTTL(s.hosts).Seconds()
			perRecord := b.Elapsed().Seconds() / float64(b.N)
			b.ReportMetric(perSecond, "appends/s")
			b.ReportMetric(perSecond*float64(len(data)), "bytes/s")
			b.ReportMetric(100*perSecond*perRecord, "%core")
			b.ReportMetric(LeaseTTL(s.hosts).Seconds(), "lease-s")
		})
	}
}

// BenchmarkHomeMoves measures, in real time, how long it takes after a host
// dies until all its endpoints have another home.
func BenchmarkHomeMoves(b *testing.B) {
	for _, s := range []fleetSize{{3, 23}, {9, 23}} {
		b.Run(s.String(), func(b *testing.B) {
			total := time.Duration(0)
			for range b.N {
				total += timeFailover(b, s)
			}
			b.ReportMetric(total.Seconds()/float64(b.N), "s-to-new-home")
		})
	}
}

// timeFailover starts a fleet, stops one host once every endpoint has a home,
// and returns the time until every endpoint has one again.
func timeFailover(b *testing.B, s fleetSize) time.Duration {
	f := startFleet(b, s.hosts, s.endpoints)
	for !f.allHeld(f.managers, s.endpoints) {
		time.Sleep(time.Millisecond)
	}
	begin := time.Now()
	f.cancels[0]()
	f.live.set(f.live.get()[1:])
	for !f.allHeld(f.managers[1:], s.endpoints) {
		time.Sleep(time.Millisecond)
	}
	elapsed := time.Since(begin)
	for _, cancel := range f.cancels {
		cancel()
	}
	return elapsed
}

// allHeld reports whether the managers hold leases on all endpoints.
func (f *fleet) allHeld(managers []*Manager, endpoints int) bool {
	held := 0
	for _, m := range managers {
		held += len(m.HeldEndpoints())
	}
	return held >= endpoints
}
