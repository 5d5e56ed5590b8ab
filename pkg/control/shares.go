package control

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/share"
)

const (
	// reportPeriod is the period of a holder's reports to the allocator and of
	// table writes by the allocator.
	reportPeriod = time.Second
	// roleStagger spreads the attempts of instances to become the allocator.
	roleStagger = 200 * time.Millisecond
	// nothingRevision is the revision of an empty share. No table has it, so its
	// confirmation cannot be taken for that of a table.
	nothingRevision = 0
)

// shares joins the holder and the allocator with the platform and the peers.
type shares struct {
	demand session.Demand
	// swapping and claiming are set while a table write or a claim of the
	// allocator role has no answer.
	swapping bool
	claiming bool
	// withdrawing is set from the planned stop on.
	withdrawing bool
}

func (s *shares) start(e *Engine) {
	e.every(reportPeriod, func() {
		s.report(e)
		s.allocate(e)
		s.publish(e)
	})
	e.every(reportPeriod+e.stagger(), func() { s.takeRole(e) })
}

func (e *Engine) stagger() time.Duration {
	return time.Duration(startSlot(string(e.config.Self.Instance), int(roleStagger/time.Millisecond))) * time.Millisecond
}

// mirrorChanged adopts the table and the claims that the platform confirmed at sent.
func (s *shares) mirrorChanged(e *Engine, sent time.Time) {
	if e.mirror.table != nil {
		e.holder.UpdateTable(e.mirror.table, sent)
	}
	e.allocator.Adopt(e.mirror.table, e.now)
	e.allocator.SetClaims(e.mirror.claimList(), e.now)
	s.publish(e)
}

// publish gives session what may be spent now. It is repeated every period,
// because the right to spend is extended by each lease renewal.
func (s *shares) publish(e *Engine) {
	spendable := e.holder.Allowance(e.now)
	in := session.ShareInForce{
		Revision:    spendable.Revision,
		Grant:       spendable.Grant,
		Accounts:    map[core.AccountName]session.RateShare{},
		Connections: spendable.Connections,
		Until:       spendable.Until,
	}
	for name, rate := range spendable.Accounts {
		in.Accounts[name] = session.RateShare{Rate: rate.Rate.Float(), Burst: rate.Burst.Float()}
	}
	if spendable.Slot < 0 {
		in.Revision = nothingRevision
	}
	e.out.Session(in)
	if _, ok := e.settings.inForce(); ok && spendable.Slot >= 0 {
		e.life.fire("configured")
	}
}

// withdraw makes session spend nothing, for the planned stop.
func (s *shares) withdraw(e *Engine) {
	s.withdrawing = true
	e.holder.Release()
	s.publish(e)
}

// applied notes that session admits by the table of the given revision.
func (s *shares) applied(e *Engine, m session.ShareApplied) {
	if s.withdrawing && m.Revision == nothingRevision && openConnections(m) == 0 {
		e.life.fire("withdrawn")
	}
	before, _ := e.holder.Report()
	e.holder.RecordApplied(m.Revision, m.Open)
	after, ok := e.holder.Report()
	if ok && (before.RatesApplied != after.RatesApplied || before.ConnectionsApplied != after.ConnectionsApplied) {
		s.send(e, after)
	}
}

func openConnections(m session.ShareApplied) int {
	total := 0
	for _, n := range m.Open {
		total += n
	}
	return total
}

// report sends the demand and the acknowledgement to the allocator.
func (s *shares) report(e *Engine) {
	report, ok := e.holder.Report()
	if !ok {
		return
	}
	report.Accounts = s.demand.Accounts
	report.Databases = s.demand.Connections
	s.send(e, report)
}

// send hands a report to the allocator. An acknowledgement does not wait for
// the period, so that capacity moves quickly.
func (s *shares) send(e *Engine, report share.Report) {
	role := e.mirror.allocator.Allocator
	if e.isAllocator() {
		e.allocator.RecordReport(report, e.now)
		return
	}
	if role.PeerAddress != "" && !e.mirror.allocator.Deleted {
		e.out.Peer(PeerCall{Address: role.PeerAddress, Message: ShareReport{Report: report}})
	}
}

func (e *Engine) isAllocator() bool {
	return !e.mirror.allocator.Deleted && e.mirror.allocator.Allocator.Instance == e.config.Self.Instance
}

// takeRole claims the allocator role when it is vacant. The role only avoids
// needless conflicts: the compare-and-swap of the table keeps it right even
// with two allocators.
func (s *shares) takeRole(e *Engine) {
	if s.claiming || s.withdrawing || !e.mirror.complete || !e.mirror.allocatorVacant() || e.lease.id == "" {
		return
	}
	s.claiming = true
	e.store(PutAllocator{
		Allocator: Allocator{Instance: e.config.Self.Instance, PeerAddress: e.config.Self.PeerAddress},
		Lease:     e.lease.id,
		Revision:  e.mirror.allocatorRevision(),
	})
}

// roleAnswered takes the answer to a claim of the role. Whatever it is, the
// record decides; while it is missing, the claim is repeated.
func (s *shares) roleAnswered(e *Engine, a StoreAnswer) {
	s.claiming = false
	e.mirror.apply(a.Records)
}

// allocate writes the next table when there is something to change.
func (s *shares) allocate(e *Engine) {
	if !e.isAllocator() || !e.mirror.complete || s.swapping {
		return
	}
	if c, ok := e.settings.inForce(); ok {
		e.allocator.SetCatalogue(c)
	}
	e.allocator.Adopt(e.mirror.table, e.now)
	for _, p := range e.allocator.Probes() {
		e.peers.probe(p)
	}
	next, changed := e.allocator.Next(e.now)
	if !changed {
		return
	}
	s.swapping = true
	e.store(SwapTable{Table: next, Revision: e.mirror.tableRevision})
}

// tableSwapped adopts a table that was written. A lost answer and a conflict
// are resolved by the watch, which brings the record as it is: the record of a
// conflict may be newer than the claims in the mirror, and a slot that it
// grants would look like one whose lease has ended.
func (s *shares) tableSwapped(e *Engine, op SwapTable, a StoreAnswer) {
	s.swapping = false
	if a.Outcome != Done {
		return
	}
	e.mirror.applyOne(TableRecord{Table: op.Table, Revision: a.Revision})
	e.holder.UpdateTable(op.Table, a.Sent)
	e.allocator.Adopt(op.Table, e.now)
	s.publish(e)
}

// probeRefused tells the allocator that no process listens at the address of a
// lost holder.
func (s *shares) probeRefused(e *Engine, address string, asked time.Time) {
	if !e.isAllocator() {
		return
	}
	for _, p := range e.allocator.Probes() {
		if p.Address == address {
			e.allocator.RecordProbeRefusal(share.ProbeRefusal{Slot: p.Slot, Instance: p.Instance, Started: asked})
		}
	}
}

// tableFromPeer inherits the slot of a predecessor at the same peer address
// while the platform is down.
func (s *shares) tableFromPeer(e *Engine, m FromPeerAnswer) {
	answer, ok := m.Answer.(TableMessage)
	if !ok || !answer.Vouched || e.mirror.complete {
		return
	}
	if e.holder.Inherit(answer.Table, answer.Age, m.Asked) {
		s.publish(e)
	}
}
