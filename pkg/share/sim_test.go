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
	// simChecks replaces the default of 100 runs: of the faults that were put
	// into a copy of the code, one needed 970 runs to show.
	simChecks = "2000"
)

var simSettings = Settings{
	MaxInstances:         simSlots,
	FloorFraction:        DefaultFloorFraction,
	CutoffBound:          time.Minute,
	CutoffMargin:         time.Second,
	AcknowledgementBound: 3 * time.Second,
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
	identity     Identity
	lease        LeaseID
	holder       *Holder
	bucket       holderBucket
	until        time.Time
	demand       float64
	wanted       int
	open         int
	dead, paused bool
	noPlatform   bool
	noPeers      bool
	releasing    bool
}

// simAllocator is one allocator with a table that it has not yet written.
type simAllocator struct {
	*Allocator
	pending *Table
	base    uint64
}

// sim is a fleet with its platform. All interleavings are drawn by rapid.
type sim struct {
	t      *rapid.T
	now    time.Time
	limits *catalogue.Catalogue
	// accepted holds every catalogue by version.
	accepted   map[uint64]*catalogue.Catalogue
	table      *Table
	leases     map[LeaseID]time.Time
	claims     map[int]Claim
	instances  []*simInstance
	allocators []*simAllocator
	serial     int
	// reference is the account's own bucket: it starts full, and no spending may
	// ever exceed it.
	reference   float64
	referenceAt time.Time
	spent       int
}

func newSim(t *rapid.T) *sim {
	s := &sim{
		t:      t,
		now:    time.Unix(1000, 0),
		table:  &Table{},
		leases: map[LeaseID]time.Time{},
		claims: map[int]Claim{},
		limits: &catalogue.Catalogue{
			Version:   1,
			Accounts:  []catalogue.Account{{Name: simAccount, Rate: 40, Burst: 20}},
			Databases: []catalogue.Database{{Name: simDatabase, Connections: 9}},
		},
	}
	s.accepted = map[uint64]*catalogue.Catalogue{0: s.limits, 1: s.limits}
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
		if !i.dead && eligible(i) {
			found = append(found, i)
		}
	}
	if len(found) == 0 {
		return nil
	}
	return found[rapid.IntRange(0, len(found)-1).Draw(s.t, what)]
}

// advance moves the time and ends the leases that were not renewed.
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
	i.holder.LeaseRenewed(i.lease, sent)
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

// apply brings the holder's limits into force, as the session duty does.
func (s *sim) apply(i *simInstance) {
	spendable := i.holder.Spendable(s.now)
	i.bucket.set(spendable.Accounts[simAccount], spendable.Grant, spendable.Until, s.now)
	i.until = spendable.Until
	limit := spendable.Connections[simDatabase]
	if i.open > limit && (spendable.Slot < 0 || s.chance(70, "connections close")) {
		i.open = limit
	}
	if i.open < limit {
		i.open = min(limit, max(i.wanted, i.open))
	}
	i.holder.Applied(spendable.Revision, map[core.DatabaseName]int{simDatabase: i.open})
}

// obeyed returns the limits that the table's writer knew.
func (s *sim) obeyed(t *Table) *catalogue.Catalogue {
	return s.accepted[t.CatalogueVersion]
}

// spend takes every token that the instance has.
func (s *sim) spend(i *simInstance) {
	if i.dead || i.paused || !s.chance(80, "spends") {
		return
	}
	for i.bucket.take(s.now) {
		s.spent++
		s.reference--
	}
	require.GreaterOrEqual(s.t, s.reference, -1e-6, "spent beyond the account's rate and burst")
}

// refill lets the reference bucket grow at the rate that the table allows.
func (s *sim) refill() {
	rate, burst := 0.0, 0.0
	for i := range s.table.Slots {
		held := s.table.Slots[i].Accounts[simAccount].Held
		rate += held.Rate.Float()
		burst += held.Burst.Float()
	}
	account := s.obeyed(s.table).Account(simAccount)
	rate, burst = max(rate, account.Rate), max(burst, account.Burst)
	s.reference += rate * s.now.Sub(s.referenceAt).Seconds()
	s.reference = min(s.reference, burst)
	s.referenceAt = s.now
}

func (s *sim) checkConnections() {
	open, held := 0, 0
	for _, i := range s.instances {
		// A paused process cannot close its connections; they are beyond the
		// bound from the cut-off on.
		if !i.dead && s.now.Before(i.until) {
			open += i.open
		}
	}
	for i := range s.table.Slots {
		held += s.table.Slots[i].Databases[simDatabase].Held
	}
	require.LessOrEqual(s.t, open, max(held, s.obeyed(s.table).Database(simDatabase).Connections), "connections")
}

// write compare-and-swaps an allocator's table, checks what was written, and
// loses some of the answers.
func (s *sim) write(a *simAllocator) {
	next := a.pending
	a.pending = nil
	if next == nil || a.base != s.table.Revision {
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
	again, err := Decode(text)
	require.NoError(s.t, err)
	text2, err := again.Encode()
	require.NoError(s.t, err)
	require.Equal(s.t, string(text), string(text2))
	account := s.obeyed(next).Account(simAccount)
	before, after := heldBy(s.table), heldBy(next)
	require.LessOrEqual(s.t, after.Rate, max(before.Rate, Milli(account.Rate*MilliPerUnit)))
	require.LessOrEqual(s.t, after.Burst, max(before.Burst, Milli(account.Burst*MilliPerUnit)))
	require.Equal(s.t, s.table.Revision+1, next.Revision)
}

func heldBy(t *Table) Rate {
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
		a.SetLimits(s.limits)
	}
	next, ok := a.Next(s.now)
	if ok {
		a.pending, a.base = next, s.table.Revision
	}
}

func (s *sim) running(i *simInstance) bool { return !i.dead && !i.paused }

// Guards against spending an account's rate or burst twice, or opening more
// connections than a database allows, when reports are lost, holders crash,
// pause or are cut off, slots are inherited and allocators race.
func TestSharesNeverExceedTheLimits(t *testing.T) {
	if checks := flag.Lookup("rapid.checks"); checks.Value.String() == checks.DefValue {
		require.NoError(t, checks.Value.Set(simChecks))
	}
	spent := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		for range simStepCount {
			s.step()
			s.refill()
			for _, i := range s.instances {
				s.spend(i)
			}
			s.checkConnections()
		}
		spent += s.spent
	})
	require.Positive(t, spent, "the simulation never spent anything")
	t.Logf("%d statements admitted", spent)
}

// Guards against a table that is written although nothing changed, which would
// cost a platform write each second, and against shares that do not follow the
// demand.
func TestSteadyDemandWritesNothing(t *testing.T) {
	allocator, err := NewAllocator(loadChart(t), simSettings)
	require.NoError(t, err)
	now := time.Unix(1000, 0)
	allocator.SetLimits(&catalogue.Catalogue{
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
			allocator.Report(report, now)
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
	// Max-min fair: 1 and 2 have what they want or their floor, and the odd
	// connection goes to either of the other two.
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
