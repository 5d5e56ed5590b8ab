package share

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// The largest fleet that the system is designed for.
const (
	targetSlots     = 930
	targetDatabases = 1000
)

// BenchmarkTableAtTarget reports what one table write costs the allocator and
// each instance of the largest fleet: encoding, decoding and adopting the table,
// and computing the holder's allowance.
func BenchmarkTableAtTarget(b *testing.B) {
	f := newBenchFleet(b, targetSlots, targetDatabases, DefaultFloorFraction)
	f.drawDemand()
	for range 5 {
		for _, h := range f.holders {
			copy(h.counts, h.rates)
		}
		f.allocate()
	}
	text, err := f.table.Encode()
	require.NoError(b, err)
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			_, _ = f.table.Encode()
		}
		b.ReportMetric(float64(len(text)), "table-bytes")
	})
	b.Run("decode", func(b *testing.B) {
		for b.Loop() {
			_, err = DecodeTable(text)
		}
		require.NoError(b, err)
	})
	b.Run("allowance", func(b *testing.B) {
		for b.Loop() {
			f.holders[0].holder.Allowance(f.now)
		}
	})
	b.Run("report", func(b *testing.B) {
		h := f.holders[0]
		h.holder.UpdateTable(f.table, f.now)
		report, ok := h.holder.Report()
		require.True(b, ok)
		report.Accounts = map[core.AccountName]float64{}
		for a := range h.rates {
			report.Accounts[f.catalogue.Accounts[a].Name] = h.rates[a]
		}
		f.addConnectionDemand(&report)
		text, err := json.Marshal(report)
		require.NoError(b, err)
		for b.Loop() {
			_, _ = json.Marshal(report)
		}
		b.ReportMetric(float64(len(text)), "report-bytes")
	})
	b.Run("one-slot", func(b *testing.B) {
		one := Table{Revision: f.table.Revision, CatalogueVersion: f.table.CatalogueVersion, Slots: f.table.Slots[:1]}
		text, err := one.Encode()
		require.NoError(b, err)
		for b.Loop() {
			_, _ = one.Encode()
		}
		b.ReportMetric(float64(len(text)), "slot-bytes")
	})
}
