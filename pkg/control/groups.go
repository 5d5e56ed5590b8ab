package control

import (
	"slices"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/failover"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// group is a database group with the description it was built from.
type group struct {
	core        *failover.Group
	description failover.Database
	last        session.GroupView
	timer       timer
}

// decide runs a decision of a group, if there is one, and arms its next
// deadline. With a timer for each group an input costs the same before one
// database and before 1,000.
func (e *Engine) decide(database core.DatabaseName, decision func(*failover.Group)) {
	if g := e.groups[database]; g != nil {
		decision(g.core)
		e.armGroup(g)
	}
}

func (e *Engine) armGroup(g *group) {
	if at := g.core.Next(); !at.IsZero() {
		e.timers.arm(&g.timer, at)
		return
	}
	e.timers.disarm(&g.timer)
}

// adoptGroups starts the groups of a catalogue that are new or whose members
// changed, and drops the ones that are gone.
func (e *Engine) adoptGroups(c *catalogue.Catalogue) {
	for i := range c.Databases {
		d := describe(&c.Databases[i])
		known := e.groups[d.Name]
		if known != nil && slices.Equal(known.description.Members, d.Members) {
			continue
		}
		e.startGroup(d)
	}
	for name := range e.groups {
		if c.Database(name) == nil {
			e.dropGroup(name)
		}
	}
}

func describe(d *catalogue.Database) failover.Database {
	description := failover.Database{Name: d.Name}
	for _, m := range d.Members {
		description.Members = append(description.Members, failover.Member{
			ID: m.ID, StatusAddress: m.StatusAddress, Domain: m.Domain, Slots: m.Slots,
		})
	}
	return description
}

func (e *Engine) dropGroup(name core.DatabaseName) {
	if g := e.groups[name]; g != nil {
		e.timers.disarm(&g.timer)
		delete(e.groups, name)
	}
}

func (e *Engine) startGroup(d failover.Database) {
	e.dropGroup(d.Name)
	g := &group{description: d}
	g.timer.Value = func() {
		e.decide(d.Name, func(core *failover.Group) { core.Tick(e.now) })
	}
	g.core = failover.New(e.rules, d, e.config.Self.Instance, &groupOutputs{engine: e, group: g})
	e.groups[d.Name] = g
	g.core.Start(e.now)
	if seen, ok := e.mirror.groups[d.Name]; ok {
		g.core.RecordSeen(e.now, seen)
	}
	e.armGroup(g)
}

// groupOutputs turns the decisions of one group into outputs of control.
type groupOutputs struct {
	engine *Engine
	group  *group
}

func (o *groupOutputs) Call(c failover.MemberCall) { o.engine.out.Member(c) }

func (o *groupOutputs) Swap(s failover.RecordSwap) { o.engine.store(SwapGroup{s}) }

func (o *groupOutputs) Read(r failover.RecordRead) { o.engine.store(ReadGroup{r}) }

func (o *groupOutputs) View(v session.GroupView) bool {
	o.group.last = v
	return o.engine.out.Session(v)
}

func (o *groupOutputs) Floor(f session.FloorAnswer) bool { return o.engine.out.Session(f) }

func (o *groupOutputs) Confirmed(c session.ConfirmedUpTo) bool { return o.engine.out.Session(c) }

func (o *groupOutputs) Finished(r failover.Report) { o.engine.noteFailover(r) }

func (o *groupOutputs) Log(l failover.LogEvent) {
	o.engine.out.Log(LogEvent{
		Event:   string(l.Name),
		Message: "database group event",
		Fields: map[string]any{
			"database": l.Database, "term": l.Term, "member": l.Member, "detail": l.Detail,
		},
	})
}

// terms returns the newest terms known, for peers.
func (e *Engine) terms() map[core.DatabaseName]core.Term {
	terms := make(map[core.DatabaseName]core.Term, len(e.groups))
	for name, g := range e.groups {
		terms[name] = g.last.Term
	}
	return terms
}
