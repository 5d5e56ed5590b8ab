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
	// roleClaimSpread is the range over which the instances spread their attempts
	// to claim the allocator role.
	roleClaimSpread = 200 * time.Millisecond
	// emptyShareRevision is the revision of an empty share. No table has this
	// revision, so the confirmation of an empty share cannot be mistaken for that
	// of a table.
	emptyShareRevision = 0
)

// shares connects the holder and the allocator with the platform, the peers and
// the session duty.
type shares struct {
	// demand is the last demand that the session duty reported.
	demand session.Demand
	// swapPending and roleClaimPending are set while a table write or a claim of
	// the allocator role has no response.
	swapPending      bool
	roleClaimPending bool
	// withdrawing is set when the planned stop withdraws the share.
	withdrawing bool
}

func (s *shares) start(e *Engine) {
	e.every(reportPeriod, func() {
		s.sendReport(e)
		s.allocate(e)
		s.publish(e)
	})
	e.every(reportPeriod+e.roleClaimDelay(), func() { s.claimRole(e) })
}

// roleClaimDelay returns this instance's part of roleClaimSpread, which depends
// on its ID.
func (e *Engine) roleClaimDelay() time.Duration {
	return time.Duration(hashInstance(string(e.config.Self.Instance), int(roleClaimSpread/time.Millisecond))) * time.Millisecond
}

// recordsChanged adopts the table and the claims that the platform returned to a
// request sent at sent.
func (s *shares) recordsChanged(e *Engine, sent time.Time) {
	if e.cache.table != nil {
		e.holder.UpdateTable(e.cache.table, sent)
	}
	e.allocator.Adopt(e.cache.table, e.now)
	e.allocator.SetClaims(e.cache.liveClaims(), e.now)
	s.publish(e)
}

// publish passes the current allowance to the session duty. It is repeated every
// period, because each lease renewal extends the allowance.
func (s *shares) publish(e *Engine) {
	allowance := e.holder.Allowance(e.now)
	in := session.ShareUpdate{
		Revision:    allowance.Revision,
		Grant:       allowance.Grant,
		Accounts:    map[core.AccountName]session.RateShare{},
		Connections: allowance.Connections,
		ValidUntil:  allowance.Until,
	}
	for name, rate := range allowance.Accounts {
		in.Accounts[name] = session.RateShare{Rate: rate.Rate.Float(), Burst: rate.Burst.Float()}
	}
	if allowance.Slot < 0 {
		in.Revision = emptyShareRevision
	}
	e.out.SendSession(in)
	if _, ok := e.configuration.current(); ok && allowance.Slot >= 0 {
		e.lifecycle.fire("configured")
	}
}

// withdraw passes an empty share to the session duty, for the planned stop.
func (s *shares) withdraw(e *Engine) {
	s.withdrawing = true
	e.holder.Release()
	s.publish(e)
}

// shareApplied records that the session duty enforces the table of the given
// revision, and sends an acknowledgement if it is new.
func (s *shares) shareApplied(e *Engine, m session.ShareApplied) {
	if s.withdrawing && m.Revision == emptyShareRevision && openConnections(m) == 0 {
		e.lifecycle.fire("withdrawn")
	}
	before, _ := e.holder.Report()
	e.holder.RecordApplied(m.Revision, m.Open)
	after, ok := e.holder.Report()
	if ok && (before.RatesApplied != after.RatesApplied || before.ConnectionsApplied != after.ConnectionsApplied) {
		s.deliverReport(e, after)
	}
}

// openConnections returns the number of open connections to all databases.
func openConnections(m session.ShareApplied) int {
	total := 0
	for _, n := range m.Open {
		total += n
	}
	return total
}

// sendReport sends the demand and the acknowledgement to the allocator.
func (s *shares) sendReport(e *Engine) {
	report, ok := e.holder.Report()
	if !ok {
		return
	}
	report.Accounts = s.demand.Accounts
	report.Databases = s.demand.Connections
	s.deliverReport(e, report)
}

// deliverReport passes a report to the allocator, which may be this instance.
// Acknowledgements are sent without waiting for the next period, so that capacity
// is moved quickly.
func (s *shares) deliverReport(e *Engine, report share.Report) {
	role := e.cache.allocator.Allocator
	if e.isAllocator() {
		e.allocator.RecordReport(report, e.now)
		return
	}
	if role.PeerAddress != "" && !e.cache.allocator.Deleted {
		e.out.CallPeer(PeerCall{Address: role.PeerAddress, Message: ShareReport{Report: report}})
	}
}

// isAllocator reports whether the record of the allocator role names this
// instance.
func (e *Engine) isAllocator() bool {
	return !e.cache.allocator.Deleted && e.cache.allocator.Allocator.Instance == e.config.Self.Instance
}

// claimRole claims the allocator role if it is vacant. The role only avoids
// needless conflicts: the compare-and-swap keeps the table consistent even with
// two allocators.
func (s *shares) claimRole(e *Engine) {
	if s.roleClaimPending || s.withdrawing || !e.cache.complete || !e.cache.allocatorVacant() || e.lease.id == "" {
		return
	}
	s.roleClaimPending = true
	e.callPlatform(PutAllocator{
		Allocator: Allocator{Instance: e.config.Self.Instance, PeerAddress: e.config.Self.PeerAddress},
		Lease:     e.lease.id,
		Revision:  e.cache.allocatorRevision(),
	})
}

// roleClaimCompleted handles the response to a claim of the role. The outcome
// does not matter: the record decides, and while it is missing, the claim is
// repeated.
func (s *shares) roleClaimCompleted(e *Engine, response StoreResponse) {
	s.roleClaimPending = false
	e.cache.apply(response.Records)
}

// allocate writes the next table if there is something to change.
func (s *shares) allocate(e *Engine) {
	if !e.isAllocator() || !e.cache.complete || s.swapPending {
		return
	}
	if c, ok := e.configuration.current(); ok {
		e.allocator.SetCatalogue(c)
	}
	e.allocator.Adopt(e.cache.table, e.now)
	for _, p := range e.allocator.Probes() {
		e.peers.probe(p)
	}
	next, changed := e.allocator.Next(e.now)
	if !changed {
		return
	}
	s.swapPending = true
	e.callPlatform(SwapTable{Table: next, Revision: e.cache.tableRevision})
}

// tableSwapCompleted adopts a table that was written. After a lost response or a
// conflict, the table is adopted from the watch instead. The record returned by a
// conflict may be newer than the claims in the cache; a slot that it grants would
// look like one whose lease has ended.
func (s *shares) tableSwapCompleted(e *Engine, op SwapTable, response StoreResponse) {
	s.swapPending = false
	if response.Outcome != Done {
		return
	}
	e.cache.applyRecord(TableRecord{Table: op.Table, Revision: response.Revision})
	e.holder.UpdateTable(op.Table, response.SentAt)
	e.allocator.Adopt(op.Table, e.now)
	s.publish(e)
}

// probeRefused reports to the allocator that no process listens at the address of
// a lost holder.
func (s *shares) probeRefused(e *Engine, address string, attemptedAt time.Time) {
	if !e.isAllocator() {
		return
	}
	for _, p := range e.allocator.Probes() {
		if p.Address == address {
			e.allocator.RecordProbeRefusal(share.ProbeRefusal{Slot: p.Slot, Instance: p.Instance, Started: attemptedAt})
		}
	}
}

// inheritFromPeer inherits the slot of a predecessor at the same peer address
// while the platform is unavailable.
func (s *shares) inheritFromPeer(e *Engine, m FromPeerResponse) {
	response, ok := m.Response.(TableMessage)
	if !ok || !response.Authoritative || e.cache.complete {
		return
	}
	if e.holder.Inherit(response.Table, response.Age, m.SentAt) {
		s.publish(e)
	}
}
