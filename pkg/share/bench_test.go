package share

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/stretchr/testify/require"
)

// The load of the benchmarks: 8 accounts, a few of them large, whose demand over
// the fleet is 80 % of their rates. The demand of an account is uneven over the
// slots (log-normal). Under shifting demand it is redrawn every 30 s.
const (
	benchLoadFraction   = 0.8
	benchSeconds        = 120
	benchWarmupSeconds  = 20
	benchShiftSeconds   = 30
	benchTicksPerSecond = 20
)

var benchAccountRates = []float64{4, 4, 4, 4, 8, 16, 32, 64}

// benchFleet is a fleet without faults.
type benchFleet struct {
	random          *rand.Rand
	allocator       *Allocator
	catalogue       *catalogue.Catalogue
	table           *Table
	holders         []*benchHolder
	now             time.Time
	writes          int
	lastComputation time.Duration
}

type benchHolder struct {
	holder  *Holder
	id      core.InstanceID
	buckets []holderBucket
	// rates is the offered rate of each account.
	rates  []float64
	counts []float64
}

func newBenchFleet(b *testing.B, slots, databases int, floor float64) *benchFleet {
	settings := Settings{
		MaxInstances:           slots,
		FloorFraction:          floor,
		CutoffBound:            DefaultCutoffBound,
		CutoffMargin:           DefaultCutoffMargin,
		AcknowledgementTimeout: DefaultAcknowledgementTimeout,
	}
	allocator, err := NewAllocator(loadChart(b), settings)
	require.NoError(b, err)
	f := &benchFleet{
		random:    rand.New(rand.NewPCG(1, 2)),
		allocator: allocator,
		catalogue: &catalogue.Catalogue{Version: 1},
		now:       time.Unix(1000, 0),
	}
	for i, rate := range benchAccountRates {
		name := core.AccountName(fmt.Sprintf("account-%d", i))
		rate *= float64(slots)
		f.catalogue.Accounts = append(f.catalogue.Accounts, catalogue.Account{Name: name, Rate: rate, Burst: rate})
	}
	for i := range databases {
		name := core.DatabaseName(fmt.Sprintf("database-%03d", i))
		f.catalogue.Databases = append(f.catalogue.Databases, catalogue.Database{Name: name, Connections: 75})
	}
	f.addHolders(slots, settings)
	return f
}

func (f *benchFleet) addHolders(slots int, settings Settings) {
	var claims []Claim
	for i := range slots {
		id := core.InstanceID(fmt.Sprintf("instance-%03d", i))
		address := fmt.Sprintf("10.0.%d.%d:7100", i/250, i%250)
		lease := LeaseID(fmt.Sprintf("lease-%04d", i))
		h := &benchHolder{
			holder:  NewHolder(Identity{Instance: id, PeerAddress: address}, settings),
			id:      id,
			buckets: make([]holderBucket, len(benchAccountRates)),
			rates:   make([]float64, len(benchAccountRates)),
			counts:  make([]float64, len(benchAccountRates)),
		}
		f.holders = append(f.holders, h)
		h.holder.RecordLeaseRenewal(lease, f.now)
		claims = append(claims, Claim{Slot: i, Instance: id, PeerAddress: address, Domain: "jylland", Lease: lease})
	}
	f.allocator.SetCatalogue(f.catalogue)
	f.allocator.SetClaims(claims, f.now)
}

// drawDemand distributes each account's load unevenly over the slots.
func (f *benchFleet) drawDemand() {
	for a := range f.catalogue.Accounts {
		total := 0.0
		for _, h := range f.holders {
			h.rates[a] = math.Exp(f.random.NormFloat64())
			total += h.rates[a]
		}
		for _, h := range f.holders {
			h.rates[a] *= benchLoadFraction * f.catalogue.Accounts[a].Rate / total
		}
	}
}

// allocate simulates one second of messages between the holders and the
// allocator.
func (f *benchFleet) allocate() {
	for _, h := range f.holders {
		if f.table != nil {
			h.holder.UpdateTable(f.table, f.now)
		}
		allowance := h.holder.Allowance(f.now)
		for a := range h.buckets {
			h.buckets[a].set(allowance.Accounts[f.catalogue.Accounts[a].Name], allowance.Grant, allowance.Until, f.now)
		}
		h.holder.RecordApplied(allowance.Revision, nil)
		f.report(h)
	}
	start := time.Now()
	next, ok := f.allocator.Next(f.now)
	f.lastComputation = time.Since(start)
	if ok {
		f.writes++
		f.table = next
		f.allocator.Adopt(next, f.now)
	}
}

func (f *benchFleet) report(h *benchHolder) {
	report, ok := h.holder.Report()
	if !ok {
		return
	}
	report.Accounts = map[core.AccountName]float64{}
	for a := range h.counts {
		report.Accounts[f.catalogue.Accounts[a].Name] = h.counts[a]
		h.counts[a] = 0
	}
	f.addConnectionDemand(&report)
	f.allocator.RecordReport(report, f.now)
}

// benchDatabasesUsed is the number of databases to which a slot wants a
// connection: 70 x 930 slots use most of the 75 x 1,000 connections.
const benchDatabasesUsed = 70

func (f *benchFleet) addConnectionDemand(report *Report) {
	report.Databases = map[core.DatabaseName]int{}
	n := len(f.catalogue.Databases)
	for i := range min(n, benchDatabasesUsed) {
		report.Databases[f.catalogue.Databases[(report.Slot*benchDatabasesUsed+i)%n].Name] = 1
	}
}

func (f *benchFleet) poisson(mean float64) int {
	limit, n := math.Exp(-mean), 0
	for p := f.random.Float64(); p > limit; p *= f.random.Float64() {
		n++
	}
	return n
}

// refusals simulates the load and returns the percentage of the requests within
// the account's rate that the holders refuse.
func (f *benchFleet) refusals(shifting, static bool) float64 {
	reference := make([]holderBucket, len(f.catalogue.Accounts))
	forever := f.now.Add(time.Hour)
	for a := range reference {
		account := &f.catalogue.Accounts[a]
		whole := Rate{Rate: Milli(account.Rate * MilliPerUnit), Burst: Milli(account.Burst * MilliPerUnit)}
		reference[a].set(whole, 0, forever, f.now)
		part := Rate{Rate: whole.Rate / Milli(len(f.holders)), Burst: whole.Burst / Milli(len(f.holders))}
		for _, h := range f.holders {
			h.buckets[a].set(part, 0, forever, f.now)
		}
	}
	f.drawDemand()
	within, refused := 0, 0
	for second := range benchWarmupSeconds + benchSeconds {
		if shifting && second%benchShiftSeconds == 0 {
			f.drawDemand()
		}
		if !static {
			f.allocate()
		}
		if second == benchWarmupSeconds {
			within, refused, f.writes = 0, 0, 0
		}
		for range benchTicksPerSecond {
			f.now = f.now.Add(time.Second / benchTicksPerSecond)
			w, r := f.offerLoad(reference)
			within += w
			refused += r
		}
	}
	return 100 * float64(refused) / float64(within)
}

func (f *benchFleet) offerLoad(reference []holderBucket) (within, refused int) {
	for a := range reference {
		for _, h := range f.holders {
			n := f.poisson(h.rates[a] / benchTicksPerSecond)
			h.counts[a] += float64(n)
			for range n {
				admitted := h.buckets[a].take(f.now)
				if !reference[a].take(f.now) {
					continue
				}
				within++
				if !admitted {
					refused++
				}
			}
		}
	}
	return within, refused
}

// BenchmarkRefusals reports the requests refused although they are within the
// account's rate, in percent, and the share tables written per second.
func BenchmarkRefusals(b *testing.B) {
	for _, slots := range []int{15, 19, 100, 930} {
		for _, shifting := range []bool{false, true} {
			demand := map[bool]string{false: "calm", true: "shifting"}[shifting]
			b.Run(fmt.Sprintf("slots=%d/%s/static", slots, demand), func(b *testing.B) {
				for range b.N {
					b.ReportMetric(newBenchFleet(b, slots, 0, 0).refusals(shifting, true), "refused-%")
				}
			})
			for _, floor := range []float64{0, 0.25, 0.5} {
				b.Run(fmt.Sprintf("slots=%d/%s/floor=%.0f%%", slots, demand, 100*floor), func(b *testing.B) {
					for range b.N {
						f := newBenchFleet(b, slots, 0, floor)
						b.ReportMetric(f.refusals(shifting, false), "refused-%")
						b.ReportMetric(float64(f.writes)/benchSeconds, "writes/s")
					}
				})
			}
		}
	}
}

// BenchmarkNext reports the time of one computation in a steady fleet and the
// size of the table.
func BenchmarkNext(b *testing.B) {
	for _, c := range []struct{ slots, databases int }{{15, 3}, {19, 3}, {100, 100}, {930, 0}, {930, 1000}} {
		b.Run(fmt.Sprintf("slots=%d/databases=%d", c.slots, c.databases), func(b *testing.B) {
			f := newBenchFleet(b, c.slots, c.databases, DefaultFloorFraction)
			f.drawDemand()
			for range 5 {
				for _, h := range f.holders {
					copy(h.counts, h.rates)
				}
				f.allocate()
			}
			text, err := f.table.Encode()
			require.NoError(b, err)
			for b.Loop() {
				f.allocator.Next(f.now)
			}
			b.ReportMetric(float64(len(text)), "table-bytes")
		})
	}
}
