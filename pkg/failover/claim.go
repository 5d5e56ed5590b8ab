package failover

import (
	"fmt"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// claim is this instance's newest claim of a term.
type claim struct {
	// open is set from the first compare-and-swap until the change is over.
	open     bool
	record   Record
	revision uint64

	previous   *member
	lastSign   time.Time
	sentAt     time.Time
	wonAt      time.Time
	majorityAt time.Time
	fencedAt   time.Time
	promotedAt time.Time
}

// RecordSeen takes a record from the watch.
func (g *Group) RecordSeen(now time.Time, in RecordSeen) {
	g.enter(now)
	g.adoptRecord(in)
	g.settle()
}

// ReadResult takes the result of a read.
func (g *Group) ReadResult(now time.Time, in ReadResult) {
	g.enter(now)
	if in.Call == g.readCall {
		g.readCall = 0
	}
	if !in.Failed {
		g.backoff = 0
		g.recordRead = true
		g.adoptRecord(in.Seen)
		if !g.isMine(g.record) {
			g.fire(g.rules.events.claimAbsent)
		}
	}
	g.settle()
}

// SwapResult takes the result of a compare-and-swap.
func (g *Group) SwapResult(now time.Time, in SwapResult) {
	g.enter(now)
	if in.Outcome == SwapConflict {
		g.adoptRecord(in.Current)
	}
	if in.Call == g.swap.Call {
		g.swapDone(in)
	}
	g.settle()
}

func (g *Group) swapDone(in SwapResult) {
	swap := g.swap
	g.swap.Call = 0
	e := g.rules.events
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

// adoptRecord takes a record that is newer than the one known.
func (g *Group) adoptRecord(seen RecordSeen) {
	known := g.recordKnown
	g.recordKnown = true
	if !seen.Exists {
		g.forgetRecord()
		return
	}
	if known && seen.Revision <= g.revision {
		return
	}
	g.record = seen.Record
	g.revision = seen.Revision
	if seen.Record.Term > g.known {
		g.known = seen.Record.Term
		g.loseTerm()
	}
	if seen.Record.Phase == PhaseServing {
		g.adoptServing(seen.Record)
		return
	}
	g.adoptFencing(seen.Record)
}

// forgetRecord follows a record that does not exist, or was deleted by an
// operator. An absence that is reported late is corrected by the conflict of
// the next compare-and-swap; the terms known stay.
func (g *Group) forgetRecord() {
	g.record = Record{}
	g.revision = 0
}

func (g *Group) adoptServing(r Record) {
	if g.isMine(r) {
		g.fire(g.rules.events.announced)
	}
	m := g.member(r.Primary)
	if r.Term <= g.term || m == nil {
		return
	}
	g.adoptPrimary(m, r.Term)
	if g.hasPrimary() {
		g.fire(g.rules.events.primaryFound)
	}
}

func (g *Group) adoptFencing(r Record) {
	if r.Term <= g.term {
		return
	}
	if g.isMine(r) {
		g.fire(g.rules.events.claimWon)
		return
	}
	g.fire(g.rules.events.deciderChanged)
}

func (g *Group) isMine(r Record) bool {
	return g.claim.open && r.Decider == g.self && r.Nonce == g.claim.record.Nonce
}

// recordBehind reports whether members know a newer term than the record read.
func (g *Group) recordBehind() bool {
	return g.known > g.record.Term && !g.recordRead
}

func (g *Group) readRecord() {
	g.readCall = g.nextCall()
	g.out.Read(RecordRead{Call: g.readCall, Database: g.database.Name})
}

func (g *Group) readUnknownRecord() {
	if !g.recordKnown {
		g.readRecord()
	}
}

// sendClaim claims the next term. A claim that was sent before on the same
// revision is sent again unchanged: if the first one took effect late, the
// nonce still tells that it is this instance's own.
func (g *Group) sendClaim() {
	term := max(g.known, g.record.Term, g.term) + 1
	repeated := g.claim.open && g.claim.revision == g.revision && g.claim.record.Term == term
	if !repeated {
		g.newClaim(term)
	}
	g.note(EventClaimSent, "", g.claim.record.Nonce)
	g.sendSwap(g.claim.record)
}

func (g *Group) newClaim(term core.Term) {
	c := claim{open: true, revision: g.revision, sentAt: g.now}
	c.previous = g.primary
	c.lastSign = g.lastSign()
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

// lastSign returns when the primary was last known to serve.
func (g *Group) lastSign() time.Time {
	if since := g.silentSince(); !since.IsZero() && !g.isPlanned() {
		return since
	}
	return g.now
}

func (g *Group) sendSwap(r Record) {
	g.swap = RecordSwap{Call: g.nextCall(), Database: g.database.Name, Revision: g.revision, Record: r}
	g.out.Swap(g.swap)
}

// announce writes the primary in force into the record of its term.
func (g *Group) announce() {
	r := g.record
	r.Phase = PhaseServing
	r.Primary = g.primary.id
	r.Start = g.start
	g.sendSwap(r)
}

// unannounced reports whether the decider stopped between promotion and
// announcement.
func (g *Group) unannounced() bool {
	return g.recordKnown && g.record.Phase == PhaseFencing && g.record.Term == g.term && g.startKnown
}

func (g *Group) isPlanned() bool {
	return g.reason == ReasonPlanned
}

// backOff replaces the state's timeout by a growing delay.
func (g *Group) backOff() {
	g.backoff = min(max(2*g.backoff, g.config.PlatformBackoff), g.config.PlatformBackoffMax)
	g.deadline = g.now.Add(g.backoff)
}

func (g *Group) waitForDecider() {
	g.recordRead = false
	g.orders = ordersJoin
	g.rearm()
	g.hurry()
	g.note(EventTermPassed, "", string(g.record.Decider))
}

func (g *Group) deciderStopped() {
	g.reason = ReasonDecider
	g.recordRead = true
	g.hurry()
}

func (g *Group) noteLost() {
	g.note(EventClaimLost, "", string(g.record.Decider))
}

func (g *Group) noteUnknown() {
	g.note(EventClaimUnknown, "", g.claim.record.Nonce)
}

func (g *Group) noteNoPlatform() {
	g.note(EventNoPlatform, "", g.backoff.String())
}
