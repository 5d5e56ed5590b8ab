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
			delete(e.groups, name)
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

func (e *Engine) startGroup(d failover.Database) {
	g := &group{description: d}
	g.core = failover.New(e.rules, d, e.config.Self.Instance, &groupOutputs{engine: e, group: g})
	e.groups[d.Name] = g
	g.core.Start(e.now)
	if seen, ok := e.mirror.groups[d.Name]; ok {
		g.core.RecordSeen(e.now, seen)
	}
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
