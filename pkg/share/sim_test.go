package share

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	simSlots     = 4
	simLeaseTTL  = 5 * time.Second
	simAccount   = core.AccountName("hansen")
	simDatabase  = core.DatabaseName("jylland")
	simStepCount = 120
	// simChecks replaces rapid's default of 100 runs. In trials with faults put
	// into a copy of the code, one fault was found only after 970 runs.
	simChecks = "2000"
)

var simSettings = Settings{
	MaxInstances:           simSlots,
	FloorFraction:          DefaultFloorFraction,
	CutoffBound:            time.Minute,
	CutoffMargin:           time.Second,
	AcknowledgementTimeout: 3 * time.Second,
}

func loadChart(t require.TestingT) *chart.Definition {
	text, err := os.ReadFile("../../charts/share.toml")
	require.NoError(t, err)
	d, err := chart.Parse("share.toml", text)
	require.NoError(t, err)
	return d
}

// simInstance is one process with its buckets and connections.
type simInstance struct {
	identity        Identity
	lease           LeaseID
	holder          *Holder
	bucket          holderBucket
	until           time.Time
	demand          float64
	wanted          int
	open            int
	crashed, paused bool
	noPlatform      bool
	noPeers         bool
	releasing       bool
}

// simAllocator is one allocator with a computed table that it has not written
// yet.
type simAllocator struct {
	*Allocator
	pending      *Table
	baseRevision uint64
}

// sim simulates a fleet with its platform. rapid draws all interleavings.
type sim struct {
	t         *rapid.T
	now       time.Time
	catalogue *catalogue.Catalogue
	// catalogues holds every catalogue by version.
	catalogues map[uint64]*catalogue.Catalogue
	table      *Table
	leases     map[LeaseID]time.Time
	claims     map[int]Claim
	instances  []*simInstance
	allocators []*simAllocator
	serial     int
	// reference is a token bucket with the account's whole rate and burst. It
	// starts full, and the admitted statements must never exceed it.
	reference   float64
	referenceAt time.Time
	admitted    int
}

func newSim(t *rapid.T) *sim {
	s := &sim{
		t:      t,
		now:    time.Unix(1000, 0),
		table:  &Table{},
		leases: map[LeaseID]time.Time{},
		claims: map[int]Claim{},
		catalogue: &catalogue.Catalogue{
			Version:   1,
			Accounts:  []catalogue.Account{{Name: simAccount, Rate: 40, Burst: 20}},
			Databases: []catalogue.Database{{Name: simDatabase, Connections: 9}},
		},
	}
	s.catalogues = map[uint64]*catalogue.Catalogue{0: s.catalogue, 1: s.catalogue}
	s.reference, s.referenceAt = 20, s.now
	for range 2 {
		a, err := NewAllocator(loadChart(t), simSettings)
		require.NoError(t, err)
		s.allocators = append(s.allocators, &simAllocator{Allocator: a})
	}
	for i := range 3 {
		s.start(fmt.Sprintf("10.0.0.%d:1", i))
	}
	return s
}

func (s *sim) start(address string) *simInstance {
	s.serial++
	i := &simInstance{identity: Identity{Instance: core.InstanceID(fmt.Sprintf("i%d", s.serial)), PeerAddress: address}}
	i.holder = NewHolder(i.identity, simSettings)
	i.demand = float64(rapid.IntRange(0, 60).Draw(s.t, "demand"))
	i.wanted = rapid.IntRange(0, 9).Draw(s.t, "wanted")
	s.instances = append(s.instances, i)
	return i
}

func (s *sim) chance(percent int, what string) bool {
	return rapid.IntRange(1, 100).Draw(s.t, what) <= percent
}

func (s *sim) pick(what string, eligible func(*simInstance) bool) *simInstance {
	var found []*simInstance
	for _, i := range s.instances {
		if !i.crashed && eligible(i) {
			found = append(found, i)
		}
	}
	if len(found) == 0 {
		return nil
	}
	return found[rapid.IntRange(0, len(found)-1).Draw(s.t, what)]
}

// advance moves the clock and ends the leases that were not renewed in time.
func (s *sim) advance(d time.Duration) {
	s.now = s.now.Add(d)
	for id, expires := range s.leases {
		if !s.now.After(expires) {
			continue
		}
		delete(s.leases, id)
		for slot, c := range s.claims {
			if c.Lease == id {
				delete(s.claims, slot)
			}
		}
	}
}

// renew creates or renews the instance's lease and claims a slot.
func (s *sim) renew(i *simInstance) {
	sent := s.now
	if _, ok := s.leases[i.lease]; !ok {
		s.serial++
		i.lease = LeaseID(fmt.Sprintf("l%d", s.serial))
	}
	s.leases[i.lease] = s.now.Add(simLeaseTTL)
	if !s.chance(90, "renewal answered") {
		return
	}
	i.holder.RecordLeaseRenewal(i.lease, sent)
	s.claim(i)
}

func (s *sim) claim(i *simInstance) {
	claims := slices.Collect(func(yield func(Claim) bool) {
		for _, c := range s.claims {
			if c.Instance != i.identity.Instance && !yield(c) {
				return
			}
		}
	})
	slot := i.holder.ownSlot()
	if slot < 0 {
		slot = ChooseSlot(s.table, claims, i.identity.PeerAddress, simSlots, s.serial%simSlots)
	}
	if slot < 0 {
		return
	}
	if other, ok := s.claims[slot]; ok && other.Instance != i.identity.Instance {
		return
	}
	for old, c := range s.claims {
		if c.Instance == i.identity.Instance && old != slot {
			delete(s.claims, old)
		}
	}
	s.claims[slot] = Claim{Slot: slot, Instance: i.identity.Instance, PeerAddress: i.identity.PeerAddress,
		Lease: i.lease, Released: i.releasing}
}

// apply enforces the holder's limits, as the session duty does.
func (s *sim) apply(i *simInstance) {
	allowance := i.holder.Allowance(s.now)
	i.bucket.set(allowance.Accounts[simAccount], allowance.Grant, allowance.Until, s.now)
	i.until = allowance.Until
	limit := allowance.Connections[simDatabase]
	if i.open > limit && (allowance.Slot < 0 || s.chance(70, "connections close")) {
		i.open = limit
	}
	if i.open < limit {
		i.open = min(limit, max(i.wanted, i.open))
	}
	i.holder.RecordApplied(allowance.Revision, map[core.DatabaseName]int{simDatabase: i.open})
}

// catalogueOf returns the catalogue whose limits the table divides.
func (s *sim) catalogueOf(t *Table) *catalogue.Catalogue {
	return s.catalogues[t.CatalogueVersion]
}

// useTokens admits as many statements as the instance has tokens.
func (s *sim) useTokens(i *simInstance) {
	if i.crashed || i.paused || !s.chance(80, "admits") {
		return
	}
	for i.bucket.take(s.now) {
		s.admitted++
		s.reference--
	}
	require.GreaterOrEqual(s.t, s.reference, -1e-6, "admitted beyond the account's rate and burst")
}

// refill lets the reference bucket grow at the rate that the table allows.
func (s *sim) refill() {
	rate, burst := 0.0, 0.0
	for i := range s.table.Slots {
		held := s.table.Slots[i].Accounts[simAccount].Held
		rate += held.Rate.Float()
		burst += held.Burst.Float()
	}
	account := s.catalogueOf(s.table).Account(simAccount)
	rate, burst = max(rate, account.Rate), max(burst, account.Burst)
	s.reference += rate * s.now.Sub(s.referenceAt).Seconds()
	s.reference = min(s.reference, burst)
	s.referenceAt = s.now
}

func (s *sim) checkConnections() {
	open, held := 0, 0
	for _, i := range s.instances {
		// A paused process cannot close its connections. After its cutoff they do
		// not count towards the bound.
		if !i.crashed && s.now.Before(i.until) {
			open += i.open
		}
	}
	for i := range s.table.Slots {
		held += s.table.Slots[i].Databases[simDatabase].Held
	}
	require.LessOrEqual(s.t, open, max(held, s.catalogueOf(s.table).Database(simDatabase).Connections), "connections")
}

// write compare-and-swaps an allocator's table and checks what was written. Some
// of the responses are lost.
func (s *sim) write(a *simAllocator) {
	next := a.pending
	a.pending = nil
	if next == nil || a.baseRevision != s.table.Revision {
		return
	}
	s.refill()
	s.checkWritten(next)
	s.table = next
	if s.chance(80, "write answered") {
		a.Adopt(next, s.now)
	}
}

func (s *sim) checkWritten(next *Table) {
	text, err := next.Encode()
	require.NoError(s.t, err)
	again, err := DecodeTable(text)
	require.NoError(s.t, err)
	text2, err := again.Encode()
	require.NoError(s.t, err)
	require.Equal(s.t, string(text), string(text2))
	account := s.catalogueOf(next).Account(simAccount)
	before, after := totalHeld(s.table), totalHeld(next)
	require.LessOrEqual(s.t, after.Rate, max(before.Rate, Milli(account.Rate*MilliPerUnit)))
	require.LessOrEqual(s.t, after.Burst, max(before.Burst, Milli(account.Burst*MilliPerUnit)))
	require.Equal(s.t, s.table.Revision+1, next.Revision)
}

func totalHeld(t *Table) Rate {
	var total Rate
	for i := range t.Slots {
		held := t.Slots[i].Accounts[simAccount].Held
		total.Rate += held.Rate
		total.Burst += held.Burst
	}
	return total
}

// compute lets an allocator read the platform and compute a table, which it may
// write much later.
func (s *sim) compute(a *simAllocator) {
	a.Adopt(s.table, s.now)
	var claims []Claim
	for _, c := range s.claims {
		claims = append(claims, c)
	}
	a.SetClaims(claims, s.now)
	if s.chance(70, "sees the catalogue") {
		a.SetCatalogue(s.catalogue)
	}
	next, ok := a.Next(s.now)
	if ok {
		a.pending, a.baseRevision = next, s.table.Revision
	}
}

func (s *sim) running(i *simInstance) bool { return !i.crashed && !i.paused }

// Guards against using an account's rate or burst twice, or opening more
// connections than a database allows, when reports are lost, holders crash, pause
// or are isolated, slots are inherited and allocators race.
func TestSharesNeverExceedTheLimits(t *testing.T) {
	if checks := flag.Lookup("rapid.checks"); checks.Value.String() == checks.DefValue {
		require.NoError(t, checks.Value.Set(simChecks))
	}
	admitted := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		for range simStepCount {
			s.step()
			s.refill()
			for _, i := range s.instances {
				s.useTokens(i)
			}
			s.checkConnections()
		}
		admitted += s.admitted
	})
	require.Positive(t, admitted, "the simulation never admitted a statement")
	t.Logf("%d statements admitted", admitted)
}

// Guards against writing a table although nothing changed, which would cost a
// platform write each second, and against shares that do not follow the demand.
func TestSteadyDemandWritesNothing(t *testing.T) {
	allocator, err := NewAllocator(loadChart(t), simSettings)
	require.NoError(t, err)
	now := time.Unix(1000, 0)
	allocator.SetCatalogue(&catalogue.Catalogue{
		Version:   1,
		Accounts:  []catalogue.Account{{Name: simAccount, Rate: 100, Burst: 40}},
		Databases: []catalogue.Database{{Name: simDatabase, Connections: 10}},
	})
	var claims []Claim
	for i := range simSlots {
		id := core.InstanceID(fmt.Sprintf("i%d", i))
		claims = append(claims, Claim{Slot: i, Instance: id, PeerAddress: string(id), Lease: LeaseID(id)})
	}
	allocator.SetClaims(claims, now)
	lastWrite := 0
	var table *Table
	for second := range 60 {
		now = now.Add(time.Second)
		for i, c := range claims {
			report := Report{Slot: i, Instance: c.Instance, RatesApplied: allocator.table.Revision}
			report.ConnectionsApplied = report.RatesApplied
			report.Accounts = map[core.AccountName]float64{simAccount: float64(i * 15)}
			report.Databases = map[core.DatabaseName]int{simDatabase: 2 * i}
			allocator.RecordReport(report, now)
		}
		if next, ok := allocator.Next(now); ok {
			allocator.Adopt(next, now)
			table, lastWrite = next, second
		}
	}
	require.Less(t, lastWrite, 30)
	for i := range simSlots {
		require.GreaterOrEqual(t, table.Slots[i].Accounts[simAccount].Limit.Rate.Float(), float64(i*15), "slot %d", i)
	}
	// The division is max-min fair: slots 1 and 2 have what they want or their
	// floor, and the odd connection goes to one of the other two.
	limits := connectionsOf(table)
	require.Equal(t, []int{1, 2}, limits[:2])
	require.ElementsMatch(t, []int{3, 4}, limits[2:])
}

func connectionsOf(t *Table) []int {
	var limits []int
	for i := range t.Slots {
		limits = append(limits, t.Slots[i].Databases[simDatabase].Limit)
	}
	return limits
}
