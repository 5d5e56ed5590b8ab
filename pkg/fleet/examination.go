package fleet

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// Opinion is what another instance has heard of a member or a home, as in
// session.Heard.
type Opinion struct {
	Subject session.Subject
	Node    string
	Known   bool
	Silence time.Duration
	Ago     time.Duration
}

func (Opinion) fleetInput() {}

const (
	// opinionWait is how long the other instances have to answer; the round trip
	// between failure domains is about 2 ms.
	opinionWait = 120 * time.Millisecond
	// opinionsAsked bounds the instances that are asked.
	opinionsAsked = 24
	// silentFor is how long the subject must have owed an instance an answer to be
	// silent there.
	silentFor = 250 * time.Millisecond
	// homeDoubt is the time between the silence of a home and the questions about
	// it: with the silence that this instance has noticed it exceeds heardWithin.
	homeDoubt = 200 * time.Millisecond
	// heardWithin is how recent an answer must be to show that the subject lives.
	heardWithin = 600 * time.Millisecond
)

// examination asks the other instances about a subject that gives this one no
// answer, since it may be cut off from this instance alone.
type examination struct {
	e       *Engine
	subject session.Subject
	event   string
	// without is the failure domain whose instances are not asked, if any.
	without  core.Domain
	timer    timerq.Item[func()]
	asked    int
	opinions map[string]Opinion
	// conclude takes the verdict once the opinions are in.
	conclude func(verdict)
}

// verdict is the result of an examination.
type verdict struct {
	// Heard and silent count the instances that lately had an answer from the
	// subject, and those that it owes one.
	heard, silent int
	// quorate is set when more than half of the instances have answered.
	quorate bool
}

// unheard reports a subject that is silent everywhere.
func (v verdict) unheard() bool {
	return v.heard == 0 && v.silent > 0 && v.quorate
}

// begin starts the examination unless one of the subject is under way. The
// questions are put after the given time, so that the others notice the silence
// too.
func (x *examination) begin(after time.Duration) {
	e := x.e
	if e.examinations[x.subject] != nil {
		return
	}
	x.opinions = map[string]Opinion{}
	x.timer.Value = x.ask
	e.examinations[x.subject] = x
	if after == 0 {
		x.ask()
		return
	}
	e.timers.Arm(&x.timer, e.now.Add(after))
}

func (x *examination) ask() {
	e := x.e
	for node, i := range e.instances {
		if node == e.config.Self.Node || x.spares(i.Domain) || x.asked == opinionsAsked {
			continue
		}
		x.asked++
		e.out.AskOpinion(node, session.PeerAddress(i.Peer), x.subject)
	}
	x.timer.Value = x.end
	e.timers.Arm(&x.timer, e.now.Add(opinionWait))
}

// spares reports a failure domain whose instances are not asked.
func (x *examination) spares(domain core.Domain) bool {
	return x.without != "" && domain == x.without
}

func (e *Engine) opinion(o Opinion) {
	if x := e.examinations[o.Subject]; x != nil {
		x.opinions[o.Node] = o
	}
}

// end concludes with the opinions that have come.
func (x *examination) end() {
	delete(x.e.examinations, x.subject)
	v := verdict{quorate: 2*(len(x.opinions)+1) > x.asked+1}
	for _, o := range x.opinions {
		switch {
		case o.Known && o.Ago < heardWithin:
			v.heard++
		case o.Silence > silentFor:
			v.silent++
		}
	}
	x.e.out.Log(LogEvent{Warning: true, Event: x.event, Message: "the others were asked about a process that is silent here", Fields: map[string]any{
		"member": x.subject.Member, "home": x.subject.Home, "asked": x.asked, "answered": len(x.opinions),
		"heard": v.heard, "silent": v.silent,
	}})
	x.conclude(v)
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
		x := &examination{e: e, subject: session.Subject{Member: m.Member}, event: "primary_silent"}
		x.conclude = func(v verdict) { e.primarySilent(m.Member, v) }
		x.begin(0)
	default:
		m.examining = false
	}
}

// primarySilent decides about a primary that is silent to this instance.
func (e *Engine) primarySilent(id core.MemberID, v verdict) {
	m := e.members[id]
	if m == nil {
		return
	}
	m.examining = false
	switch {
	case v.heard > 0:
		e.homes.giveWay("a primary answers other instances only")
	case v.unheard():
		e.takeForDead(m, "no instance hears it")
	}
}

// examineHome lets another instance become the home of accounts whose home no
// instance of another failure domain hears. The home, which hears none of them,
// limits itself to what its own side used.
func (e *Engine) examineHome(address session.PeerAddress) {
	if e.storeLost {
		return
	}
	x := &examination{e: e, subject: session.Subject{Home: address}, event: "home_silent", without: e.cutDomain(address)}
	x.conclude = func(v verdict) {
		if v.unheard() {
			// More than half of the instances asked are reached from here.
			e.homes.barredUntil = time.Time{}
			e.homes.holderGone(address, "no instance hears the home", unheardFor)
		}
	}
	x.begin(homeDoubt)
}

// cutDomain returns the failure domain of the instance at the address, which may
// be cut off with it; empty if there is no other domain to ask.
func (e *Engine) cutDomain(address session.PeerAddress) core.Domain {
	var cut core.Domain
	others := false
	for _, i := range e.instances {
		if i.Peer == string(address) {
			cut = i.Domain
		}
	}
	for _, i := range e.instances {
		others = others || i.Domain != cut
	}
	if !others {
		return ""
	}
	return cut
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
