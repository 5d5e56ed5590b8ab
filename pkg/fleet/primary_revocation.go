package fleet

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// Before a member is promoted, the old primary must take no more writes that are
// acknowledged. Where the platform does not ensure that, the old primary steps down
// first. If it does not respond, every instance stops using it.

// revocationRetryInterval is the time between two requests to an instance that has not
// confirmed; a round trip between failure domains takes a few milliseconds.
const revocationRetryInterval = 100 * time.Millisecond

// RevocationConfirmed reports that the instance Node no longer uses the member as a
// primary.
type RevocationConfirmed struct {
	Node   string
	Member core.MemberID
}

func (RevocationConfirmed) fleetInput() {}

// replaced returns the member that the change replaces, the zero value if it is not
// known: the one that the last succession promoted, which may not have been seen to
// announce itself, or else the one that announced itself last.
func (p *primaryChange) replaced() Target {
	promoted := p.e.successions[p.group].Promoted
	last := p.e.lastPrimaries[p.group]
	if promoted == "" || promoted == last.Member {
		return last
	}
	if m := p.e.members[promoted]; m != nil {
		return m.target()
	}
	return Target{Group: p.group, Member: promoted}
}

// knowsTooLittle reports whether the instance has been cut off and has not read the store
// since: what it knows of the group may be outdated.
func (p *primaryChange) knowsTooLittle() bool {
	return !p.stoppedByPlatform() && (p.e.storeLost || !p.e.primaryLease.endedAt.IsZero())
}

// stoppedByPlatform reports whether the platform stops the old primary at a promotion.
func (p *primaryChange) stoppedByPlatform() bool { return p.e.config.Bounds.PrimaryLease == 0 }

// oldIsUnresponsive reports whether the member that is replaced was found to be
// unresponsive, so that it need not be waited for.
func (p *primaryChange) oldIsUnresponsive() bool {
	m := p.e.members[p.replaced().Member]
	return m != nil && m.dead
}

// oldIsUnknown reports whether this instance has not known a primary of the group since it
// started. The group may have one whose record has ended.
func (p *primaryChange) oldIsUnknown() bool { return p.replaced().Member == "" }

// requestDemotion makes the old primary step down.
func (p *primaryChange) requestDemotion() {
	p.submit(Job{Kind: JobStepDown, Group: p.group, Targets: []Target{p.replaced()}})
}

// demotionDone handles the old primary's response. Only its confirmation counts: a refused
// connection does not prove that its process has ended, because a partition can refuse
// connections as well.
func (p *primaryChange) demotionDone(d *JobDone) {
	if d.Err == nil && len(d.States) > 0 && d.States[0].Role == core.RoleReplica {
		p.fire(p.e.primaryChangeEvents.demoted)
		return
	}
	p.fire(p.e.primaryChangeEvents.demoteFailed)
}

// recordRevocation records in the store that the old primary must not be used, so that
// instances learn of it whenever they read the store again.
func (p *primaryChange) recordRevocation() {
	p.submit(Job{Kind: JobRevoke, Group: p.group, Claim: p.claim, Succession: Succession{Group: p.group, Revoked: p.replaced().Member}})
}

// revocationRecorded handles the store's response.
func (p *primaryChange) revocationRecorded(d *JobDone) {
	if d.Err != nil {
		p.fire(p.e.primaryChangeEvents.recordFailed)
		return
	}
	p.fire(p.e.primaryChangeEvents.recorded)
}

// applySuccession records a change of primary, unless a newer one is known, stops the use
// of the old primary and allows that of its successor.
func (e *Engine) applySuccession(s *Succession) {
	if s.Revision < e.successions[s.Group].Revision {
		return
	}
	e.successions[s.Group] = *s
	if s.Revoked != "" {
		e.out.Session(session.PrimaryRevoked{Database: s.Group, Member: s.Revoked})
	}
	if s.Promoted != "" {
		e.out.Session(session.PrimaryPromoted{Database: s.Group, Member: s.Promoted})
	}
}

// requestRevocation stops the use of the old primary here and asks all other instances
// to do the same. If it is not known, each stops using the one that it uses.
func (p *primaryChange) requestRevocation() {
	e := p.e
	old := p.replaced()
	p.unconfirmed = map[string]bool{}
	e.out.Session(session.PrimaryRevoked{Database: p.group, Member: old.Member})
	for node := range e.instances {
		if node != e.config.Self.Node {
			p.unconfirmed[node] = true
		}
	}
	e.out.Log(LogEvent{Warning: true, Event: "primary_revoked", Message: "the old primary does not respond; all instances are asked to stop using it",
		Fields: map[string]any{"group": p.group, "member": old.Member, "asked": len(p.unconfirmed)}})
	p.sendRevocations()
	p.checkConfirmations()
}

// sendRevocations asks the instances that have not confirmed yet, again until the state
// ends: a partition that ends before the lease of an instance has kept the first request
// from it.
func (p *primaryChange) sendRevocations() {
	e := p.e
	if p.state != e.revokingState {
		return
	}
	for node := range p.unconfirmed {
		if i := e.instances[node]; i != nil {
			e.out.RevokePrimary(node, session.PeerAddress(i.Peer), p.group, p.replaced().Member)
		}
	}
	e.timers.Arm(&p.retryTimer, e.now.Add(revocationRetryInterval))
}

// revocationConfirmed records the confirmation of one instance.
func (e *Engine) revocationConfirmed(in RevocationConfirmed) {
	for _, p := range e.primaryChanges {
		if p.unconfirmed[in.Node] && p.replaced().Member == in.Member {
			delete(p.unconfirmed, in.Node)
			p.checkConfirmations()
		}
	}
}

// checkConfirmations continues the change once every instance has confirmed.
func (p *primaryChange) checkConfirmations() {
	if len(p.unconfirmed) == 0 {
		p.fire(p.e.primaryChangeEvents.revoked)
	}
}
