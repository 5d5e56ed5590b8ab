package failover

import (
	"fmt"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// claim is the newest claim of a term by this instance, with the times at which
// each step of the change of primary ended.
type claim struct {
	// open is set from the first compare-and-swap until the change of primary
	// has ended.
	open   bool
	record Record
	// revision is the record's revision that the claim replaces.
	revision uint64

	// previous is the primary before the claim, nil if there was none.
	previous    *member
	lastContact time.Time
	sentAt      time.Time
	wonAt       time.Time
	// majorityAt is when a majority had been fenced, fencedAt when a member was
	// chosen for promotion.
	majorityAt time.Time
	fencedAt   time.Time
	promotedAt time.Time
}

// RecordSeen handles a group record reported by the platform's watch.
func (g *Group) RecordSeen(now time.Time, in RecordSeen) {
	g.beginInput(now)
	g.adoptRecord(in)
	g.endInput()
}

// ReadResult handles the result of a RecordRead.
func (g *Group) ReadResult(now time.Time, in ReadResult) {
	g.beginInput(now)
	if in.Call == g.pendingRead {
		g.pendingRead = 0
	}
	if !in.Failed {
		g.backoff = 0
		g.recordUpToDate = true
		g.adoptRecord(in.Seen)
		if !g.isOwnClaim(g.record) {
			g.fire(g.rules.groupEvents.claimAbsent)
		}
	}
	g.endInput()
}

// SwapResult handles the result of a RecordSwap.
func (g *Group) SwapResult(now time.Time, in SwapResult) {
	g.beginInput(now)
	if in.Outcome == SwapConflict {
		g.adoptRecord(in.Current)
	}
	if in.Call == g.pendingSwap.Call {
		g.handleSwapResult(in)
	}
	g.endInput()
}

// handleSwapResult fires the chart's event for the result of the pending swap.
func (g *Group) handleSwapResult(in SwapResult) {
	swap := g.pendingSwap
	g.pendingSwap.Call = 0
	e := g.rules.groupEvents
	switch in.Outcome {
	case SwapWon:
		g.backoff = 0
		g.adoptRecord(RecordSeen{Exists: true, Record: swap.Record, Revision: in.Revision})
	case SwapConflict:
		g.backoff = 0
		g.fire(e.swapLost)
	case SwapUnknown:
		g.fire(e.swapUnknown)
	case SwapUnavailable:
		g.fire(e.platformFailed)
	}
}

// adoptRecord replaces the known record with a newer one and adopts its term.
func (g *Group) adoptRecord(seen RecordSeen) {
	known := g.recordKnown
	g.recordKnown = true
	if !seen.Exists {
		g.clearRecord()
		return
	}
	if known && seen.Revision <= g.revision {
		return
	}
	g.record = seen.Record
	g.revision = seen.Revision
	if seen.Record.Term > g.newestTerm {
		g.newestTerm = seen.Record.Term
		g.markPrimaryUnknown()
	}
	if seen.Record.Phase == PhaseServing {
		g.adoptServingRecord(seen.Record)
		return
	}
	g.adoptFencingRecord(seen.Record)
}

// clearRecord handles a record that was never written or that an operator has
// deleted. The newest known term is kept. If the report was outdated, the next
// compare-and-swap conflicts and returns the current record.
func (g *Group) clearRecord() {
	g.record = Record{}
	g.revision = 0
}

// adoptServingRecord adopts the primary of a record in PhaseServing.
func (g *Group) adoptServingRecord(r Record) {
	if g.isOwnClaim(r) {
		g.fire(g.rules.groupEvents.announced)
	}
	m := g.member(r.Primary)
	if r.Term <= g.term || m == nil {
		return
	}
	g.adoptPrimary(m, r.Term)
	if g.hasPrimary() {
		g.fire(g.rules.groupEvents.primaryFound)
	}
}

// adoptFencingRecord handles the claim in a record in PhaseFencing, which is
// either this instance's own or that of another decider.
func (g *Group) adoptFencingRecord(r Record) {
	if r.Term <= g.term {
		return
	}
	if g.isOwnClaim(r) {
		g.fire(g.rules.groupEvents.claimWon)
		return
	}
	g.fire(g.rules.groupEvents.deciderChanged)
}

// isOwnClaim reports whether r results from this instance's open claim.
func (g *Group) isOwnClaim(r Record) bool {
	return g.claim.open && r.Decider == g.self && r.Nonce == g.claim.record.Nonce
}

// recordIsStale reports whether a newer term than the record's is known and the
// record has not been read since.
func (g *Group) recordIsStale() bool {
	return g.newestTerm > g.record.Term && !g.recordUpToDate
}

// readRecord requests the record from the platform.
func (g *Group) readRecord() {
	g.pendingRead = g.newCallID()
	g.out.ReadRecord(RecordRead{Call: g.pendingRead, Database: g.database.Name})
}

// readRecordIfUnknown reads the record unless its state is known from the watch or
// an earlier read.
func (g *Group) readRecordIfUnknown() {
	if !g.recordKnown {
		g.readRecord()
	}
}

// sendClaim claims the next term. If a claim of the same term was already sent
// for this revision, it is sent again unchanged: should the first request take
// effect late, its nonce still identifies the claim as this instance's own.
func (g *Group) sendClaim() {
	term := max(g.newestTerm, g.record.Term, g.term) + 1
	repeated := g.claim.open && g.claim.revision == g.revision && g.claim.record.Term == term
	if !repeated {
		g.newClaim(term)
	}
	g.log(EventClaimSent, "", g.claim.record.Nonce)
	g.sendSwap(g.claim.record)
}

// newClaim replaces the claim with one of the given term and a new nonce.
func (g *Group) newClaim(term core.Term) {
	c := claim{open: true, revision: g.revision, sentAt: g.now}
	c.previous = g.primary
	c.lastContact = g.lastContact()
	c.record = Record{
		Term:    term,
		Phase:   PhaseFencing,
		Decider: g.self,
		Nonce:   fmt.Sprintf("%s-%d-%d", g.self, term, g.now.UnixNano()),
	}
	if g.primary != nil {
		c.record.Primary = g.primary.id
	}
	g.claim = c
}

// lastContact returns when the primary was last known to serve, which is now
// for a planned change.
func (g *Group) lastContact() time.Time {
	if since := g.unresponsiveSince(); !since.IsZero() && !g.isPlanned() {
		return since
	}
	return g.now
}

// sendSwap requests the replacement of the known record with r.
func (g *Group) sendSwap(r Record) {
	g.pendingSwap = RecordSwap{Call: g.newCallID(), Database: g.database.Name, Revision: g.revision, Record: r}
	g.out.SwapRecord(g.pendingSwap)
}

// announce writes the current primary into the record of its term.
func (g *Group) announce() {
	r := g.record
	r.Phase = PhaseServing
	r.Primary = g.primary.id
	r.Start = g.termStart
	g.sendSwap(r)
}

// primaryUnannounced reports whether the record still has the claim of the current
// term, because its decider stopped between promotion and announcement.
func (g *Group) primaryUnannounced() bool {
	return g.recordKnown && g.record.Phase == PhaseFencing && g.record.Term == g.term && g.termStartKnown
}

func (g *Group) isPlanned() bool {
	return g.reason == ReasonPlanned
}

// backOff replaces the state's timeout by an exponentially growing delay.
func (g *Group) backOff() {
	g.backoff = min(max(2*g.backoff, g.config.PlatformBackoff), g.config.PlatformBackoffMax)
	g.deadline = g.now.Add(g.backoff)
}

// waitForDecider gives the claim of another instance DeciderTimeout to complete.
func (g *Group) waitForDecider() {
	g.recordUpToDate = false
	g.command = commandFollow
	g.restartTimeout()
	g.useFastHeartbeat()
	g.log(EventTermPassed, "", string(g.record.Decider))
}

// handleDeciderStopped prepares the claim of the next term after another
// instance did not complete its claim in time. The chart has checked before that
// the record is not stale.
func (g *Group) handleDeciderStopped() {
	g.reason = ReasonDeciderStopped
	g.recordUpToDate = true
	g.useFastHeartbeat()
}

func (g *Group) logClaimLost() {
	g.log(EventClaimLost, "", string(g.record.Decider))
}

func (g *Group) logClaimAnswerLost() {
	g.log(EventClaimAnswerLost, "", g.claim.record.Nonce)
}

func (g *Group) logPlatformUnavailable() {
	g.log(EventPlatformUnavailable, "", g.backoff.String())
}
