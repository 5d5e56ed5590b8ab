package control

import (
	"slices"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/failover"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// group is a database group with the catalogue data from which it was built, its
// failover state and the view that it published last.
type group struct {
	state    *failover.Group
	database failover.Database
	view     session.GroupView
	timer    timer
}

// updateGroup applies an update to a group, if the group exists, and arms the
// timer of its next deadline. Each group has a timer of its own, so that an input
// costs the same with 1 database and with 1,000.
func (e *Engine) updateGroup(database core.DatabaseName, update func(*failover.Group)) {
	if g := e.groups[database]; g != nil {
		update(g.state)
		e.armGroup(g)
	}
}

// armGroup arms the group's timer for its next deadline, if there is one.
func (e *Engine) armGroup(g *group) {
	if at := g.state.Next(); !at.IsZero() {
		e.timers.arm(&g.timer, at)
		return
	}
	e.timers.disarm(&g.timer)
}

// adoptGroups starts the groups of a catalogue that are new or whose members
// changed, and drops the groups that it no longer contains.
func (e *Engine) adoptGroups(c *catalogue.Catalogue) {
	for i := range c.Databases {
		d := failoverDatabase(&c.Databases[i])
		known := e.groups[d.Name]
		if known != nil && slices.Equal(known.database.Members, d.Members) {
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

// failoverDatabase converts a database of the catalogue for the failover package.
func failoverDatabase(d *catalogue.Database) failover.Database {
	result := failover.Database{Name: d.Name}
	for _, m := range d.Members {
		result.Members = append(result.Members, failover.Member{
			ID: m.ID, StatusAddress: m.StatusAddress, Domain: m.Domain, Slots: m.Slots,
		})
	}
	return result
}

// dropGroup removes a group, if it exists, and disarms its timer.
func (e *Engine) dropGroup(name core.DatabaseName) {
	if g := e.groups[name]; g != nil {
		e.timers.disarm(&g.timer)
		delete(e.groups, name)
	}
}

// startGroup starts a group, in place of a group with the same name.
func (e *Engine) startGroup(d failover.Database) {
	e.dropGroup(d.Name)
	g := &group{database: d}
	g.timer.Value = func() {
		e.updateGroup(d.Name, func(state *failover.Group) { state.Tick(e.now) })
	}
	g.state = failover.New(e.rules, d, e.config.Self.Instance, &groupOutputs{engine: e, group: g})
	e.groups[d.Name] = g
	g.state.Start(e.now)
	if seen, ok := e.cache.groups[d.Name]; ok {
		g.state.RecordSeen(e.now, seen)
	}
	e.armGroup(g)
}

// groupOutputs implements failover.Outputs with the outputs of control.
type groupOutputs struct {
	engine *Engine
	group  *group
}

func (o *groupOutputs) CallMember(c failover.MemberCall) { o.engine.out.CallMember(c) }

func (o *groupOutputs) SwapRecord(s failover.RecordSwap) { o.engine.callPlatform(SwapGroup{s}) }

func (o *groupOutputs) ReadRecord(r failover.RecordRead) { o.engine.callPlatform(ReadGroup{r}) }

func (o *groupOutputs) View(v session.GroupView) bool {
	o.group.view = v
	return o.engine.out.SendSession(v)
}

func (o *groupOutputs) Floor(f session.FloorResult) bool { return o.engine.out.SendSession(f) }

func (o *groupOutputs) Confirmed(c session.ConfirmedUpTo) bool { return o.engine.out.SendSession(c) }

func (o *groupOutputs) ChangeFinished(r failover.Report) { o.engine.recordFailover(r) }

func (o *groupOutputs) Log(l failover.LogEvent) {
	o.engine.out.Log(LogEvent{
		Event:   string(l.Name),
		Message: "database group event",
		Fields: map[string]any{
			"database": l.Database, "term": l.Term, "member": l.Member, "detail": l.Detail,
		},
	})
}

// terms returns the newest known term of each group, for the messages to peers.
func (e *Engine) terms() map[core.DatabaseName]core.Term {
	terms := make(map[core.DatabaseName]core.Term, len(e.groups))
	for name, g := range e.groups {
		terms[name] = g.view.Term
	}
	return terms
}
