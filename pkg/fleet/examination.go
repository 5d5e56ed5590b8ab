package fleet

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// MemberOpinion is what another instance has heard of a member.
type MemberOpinion struct {
	Member core.MemberID
	Node   string
	// Known is set if that instance has had anything to do with the member.
	Known bool
	// Silence is how long the member has owed it an answer, zero if it owes none,
	// and Ago how long ago it gave the last one.
	Silence time.Duration
	Ago     time.Duration
}

func (MemberOpinion) fleetInput() {}

const (
	// opinionWait is how long the other instances have to answer; the round trip
	// between failure domains is about 2 ms.
	opinionWait = 120 * time.Millisecond
	// opinionsAsked bounds the instances that are asked.
	opinionsAsked = 24
	// silentFor is how long a member must have owed an instance an answer to be
	// silent there.
	silentFor = 250 * time.Millisecond
	// heardWithin is how recent an answer must be to show that a member lives.
	heardWithin = 600 * time.Millisecond
)

// examination is the inquiry about a primary that gives no answer. A primary
// whose host refuses connections is dead. One that is silent may be cut off from
// this instance alone, so the others are asked: it is taken for dead when nobody
// hears it and more than half of the instances have answered.
type examination struct {
	e        *Engine
	member   core.MemberID
	timer    timerq.Item[func()]
	asked    int
	opinions map[string]MemberOpinion
}

// suspect examines a primary that a session could not reach.
func (e *Engine) suspect(id core.MemberID) {
	m := e.members[id]
	if m == nil || m.dead || m.examining || m.Role != core.RolePrimary {
		return
	}
	m.examining = e.out.Work(Job{Kind: JobExamine, Group: m.Group, Targets: []Target{m.target()}})
}

// examined goes on with the answer of the suspected primary itself.
func (e *Engine) examined(d *JobDone) {
	m := e.members[d.Job.Targets[0].Member]
	if m == nil {
		return
	}
	switch {
	case eris.Is(d.Err, ErrRefusedConnection):
		m.examining = false
		e.takeForDead(m, "its host refuses connections")
	case eris.Is(d.Err, ErrSilent):
		e.askOthers(m)
	default:
		m.examining = false
	}
}

func (e *Engine) askOthers(m *member) {
	x := &examination{e: e, member: m.Member, opinions: map[string]MemberOpinion{}}
	x.timer.Value = x.conclude
	for node, i := range e.instances {
		if node == e.config.Self.Node || x.asked == opinionsAsked {
			continue
		}
		x.asked++
		e.out.AskMember(node, session.PeerAddress(i.Peer), m.Member)
	}
	e.examinations[m.Member] = x
	e.timers.Arm(&x.timer, e.now.Add(opinionWait))
}

func (e *Engine) opinion(o MemberOpinion) {
	if x := e.examinations[o.Member]; x != nil {
		x.opinions[o.Node] = o
	}
}

// conclude decides with the opinions that have come.
func (x *examination) conclude() {
	e := x.e
	delete(e.examinations, x.member)
	m := e.members[x.member]
	if m == nil {
		return
	}
	m.examining = false
	heard, silent := 0, 0
	for _, o := range x.opinions {
		switch {
		case o.Known && o.Ago < heardWithin:
			heard++
		case o.Silence > silentFor:
			silent++
		}
	}
	e.out.Log(LogEvent{Warning: true, Event: "primary_silent", Message: "the primary does not answer this instance", Fields: map[string]any{
		"member": m.Member, "group": m.Group, "asked": x.asked, "answered": len(x.opinions), "heard": heard, "silent": silent,
	}})
	switch {
	case heard > 0:
		e.homes.giveWay("a primary answers other instances only")
	case silent > 0 && 2*(len(x.opinions)+1) > x.asked+1:
		e.takeForDead(m, "no instance hears it")
	}
}

func (e *Engine) takeForDead(m *member, reason string) {
	if m.dead || m.Role != core.RolePrimary {
		return
	}
	m.dead = true
	e.out.Log(LogEvent{Warning: true, Event: "primary_dead", Message: "the primary is taken for dead: " + reason,
		Fields: map[string]any{"member": m.Member, "group": m.Group}})
	e.publish()
}
