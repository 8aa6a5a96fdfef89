package slot

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/identity"
)

// encodedBytes returns the encoded size of a value.
func encodedBytes(b *testing.B, value any) float64 {
	data, err := cbor.Marshal(value)
	assert.NilError(b, err)
	return float64(len(data))
}

// BenchmarkLedger measures one endpoint's home for several numbers of holders:
// the time to apply a report and make its grants, the memory of a ledger, and
// the encoded sizes of a report and a grant.
func BenchmarkLedger(b *testing.B) {
	const ledgers = 64
	for _, holders := range []int{3, 9, 30, 100, 330} {
		b.Run(fmt.Sprint("holders=", holders), func(b *testing.B) {
			now := time.Unix(100, 0)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			all := make([]*Ledger, ledgers)
			for i := range all {
				all[i] = NewLedger("endpoint-0001", 1, now, 0, time.Hour)
				all[i].SetLimit(64, 8)
				for n := range holders {
					all[i].ApplyReport(now, benchReport(n, 1))
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			ledger := all[0]
			sequence := uint64(1)
			var grants []Grant
			for b.Loop() {
				sequence++
				report := benchReport(0, sequence)
				ledger.ApplyReport(now, report)
				grants = ledger.Grants(now, report.Holder)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/ledgers, "B/ledger")
			b.ReportMetric(encodedBytes(b, benchReport(0, sequence)), "B/report")
			if len(grants) > 0 {
				b.ReportMetric(encodedBytes(b, grants[0]), "B/grant")
			}
			runtime.KeepAlive(all)
		})
	}
}

// benchReport returns the report of a holder without requests.
func benchReport(holder int, sequence uint64) Report {
	return Report{
		Endpoint: "endpoint-0001",
		Holder:   identity.Incarnation{Host: fmt.Sprintf("host-%04d", holder), Number: 1 << 40},
		Fence:    1, Sequence: sequence, EngineIncarnation: "endpoint-0001-1",
	}
}
