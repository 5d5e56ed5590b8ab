package share

import (
	"fmt"
	"math"
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
	bucket       Bucket
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
	i.bucket.Set(spendable.Accounts[simAccount], spendable.Grant, spendable.Until, s.now)
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
	for i.bucket.Take(s.now) {
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

// second is one second of the ordinary exchange, with losses.
func (s *sim) second() {
	s.advance(time.Second)
	for _, i := range s.instances {
		if s.running(i) {
			s.exchange(i)
		}
	}
	for _, a := range s.allocators {
		s.probe(a)
		if s.chance(40, "computes") {
			s.compute(a)
		}
		if s.chance(70, "writes now") {
			s.write(a)
		}
	}
}

func (s *sim) exchange(i *simInstance) {
	if !i.noPlatform && s.chance(80, "renews") {
		s.renew(i)
	}
	if !i.noPlatform && s.chance(70, "reads") {
		i.holder.TableRead(s.table, s.now)
	}
	s.apply(i)
	report, ok := i.holder.Report()
	if !ok || i.noPeers {
		return
	}
	report.Accounts = map[core.AccountName]float64{simAccount: i.demand}
	report.Databases = map[core.DatabaseName]int{simDatabase: i.wanted}
	for _, a := range s.allocators {
		if s.chance(70, "report arrives") {
			a.Report(report, s.now)
		}
	}
}

// probe connects to the addresses of lost holders. The host refuses only when
// no process, not even a paused one, owns the address.
func (s *sim) probe(a *simAllocator) {
	for _, p := range a.Probes() {
		owned := slices.ContainsFunc(s.instances, func(i *simInstance) bool {
			return !i.dead && i.identity.PeerAddress == p.Address
		})
		if !owned && s.chance(60, "probe answered") {
			a.ProbeRefused(Refusal{Slot: p.Slot, Instance: p.Instance, Started: s.now}, s.now)
		}
	}
}

func (s *sim) step() {
	all := func(*simInstance) bool { return true }
	switch rapid.IntRange(0, 16).Draw(s.t, "step") {
	case 0:
		s.crash(s.pick("crash", all))
	case 1:
		if i := s.pick("pause", all); i != nil {
			i.paused = !i.paused
		}
	case 2:
		if i := s.pick("cut off", all); i != nil {
			i.noPlatform = !i.noPlatform
			i.noPeers = i.noPlatform && s.chance(50, "peers too")
		}
	case 3:
		s.restart()
	case 4:
		if len(s.instances) < 8 {
			s.serial++
			s.start(fmt.Sprintf("10.0.1.%d:1", s.serial))
		}
	case 5:
		s.advance(time.Duration(rapid.IntRange(1, 70).Draw(s.t, "long")) * time.Second)
	case 6:
		if i := s.pick("release", s.running); i != nil {
			i.releasing = true
			i.holder.Release()
			s.apply(i)
			i.open = 0
		}
	case 7:
		s.edit()
	case 8:
		if i := s.pick("demand", all); i != nil {
			i.demand = float64(rapid.IntRange(0, 80).Draw(s.t, "demand"))
			i.wanted = rapid.IntRange(0, 9).Draw(s.t, "wanted")
		}
	default:
		s.second()
	}
}

func (s *sim) crash(i *simInstance) {
	if i == nil {
		return
	}
	i.dead = true
	i.open = 0
	for _, a := range s.allocators {
		if s.chance(40, "death reported") {
			a.DeathReported(i.identity.Instance, s.now)
		}
	}
}

// restart starts a process at a dead one's address. Without the platform it
// asks a living peer for the table and inherits.
func (s *sim) restart() {
	for _, old := range s.instances {
		inUse := slices.ContainsFunc(s.instances, func(i *simInstance) bool {
			return !i.dead && i.identity.PeerAddress == old.identity.PeerAddress
		})
		if !old.dead || inUse || !s.chance(60, "restart") {
			continue
		}
		next := s.start(old.identity.PeerAddress)
		next.noPlatform = s.chance(60, "without the platform")
		if !next.noPlatform {
			return
		}
		if peer := s.pick("peer", s.running); peer != nil && peer != next {
			if table, age, ok := peer.holder.Vouch(s.now); ok {
				next.holder.Inherit(table, age, s.now)
				s.apply(next)
			}
		}
		return
	}
}

func (s *sim) edit() {
	c := *s.limits
	c.Version++
	rate := float64(rapid.IntRange(5, 60).Draw(s.t, "rate"))
	c.Accounts = []catalogue.Account{{Name: simAccount, Rate: rate, Burst: math.Ceil(rate / 2)}}
	c.Databases = []catalogue.Database{{Name: simDatabase, Connections: rapid.IntRange(1, 12).Draw(s.t, "connections")}}
	s.refill()
	s.limits = &c
	s.accepted[c.Version] = &c
}

// Guards against spending an account's rate or burst twice, or opening more
// connections than a database allows, when reports are lost, holders crash,
// pause or are cut off, slots are inherited and allocators race.
func TestSharesNeverExceedTheLimits(t *testing.T) {
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
