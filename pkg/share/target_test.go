package share

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The size of the target fleet.
const (
	targetSlots     = 930
	targetDatabases = 1000
)

// BenchmarkTableAtTarget reports what one table write costs the allocator and
// each of the instances: encoding, decoding and adopting the table of the
// target fleet, and what the holder may spend by it.
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
			_, err = Decode(text)
		}
		require.NoError(b, err)
	})
	b.Run("spendable", func(b *testing.B) {
		for b.Loop() {
			f.holders[0].holder.Spendable(f.now)
		}
	})
	b.Run("one-slot", func(b *testing.B) {
		one := *f.table
		one.Slots = f.table.Slots[:1]
		text, err := one.Encode()
		require.NoError(b, err)
		for b.Loop() {
			_, _ = one.Encode()
		}
		b.ReportMetric(float64(len(text)), "slot-bytes")
	})
}
