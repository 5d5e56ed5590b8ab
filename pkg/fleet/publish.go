package fleet

import (
	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// publish sends the session duty the current configuration, members, homes and
// shares. It also fires the events that depend on them and reviews groups and
// homes. It does nothing before the first configuration.
func (e *Engine) publish() {
	if e.configuration == nil {
		return
	}
	e.publishedVersion++
	c := e.catalogue()
	e.out.Session(session.CatalogueUpdate{Catalogue: c, PublishedAt: e.now})
	e.out.Session(session.LimitsUpdate{TransactionIdle: e.configuration.TransactionIdle})
	for i := range c.Databases {
		e.out.Session(e.view(&c.Databases[i]))
	}
	if len(e.members) > 0 {
		e.fireLifecycle(e.events.configured)
	}
	e.publishHomes()
	e.reviewGroups()
	e.homes.claimVacant()
}

// publishHomes sends the session duty the homes and the shares that depend on them.
func (e *Engine) publishHomes() {
	e.homes.publish()
	e.shares.publish()
}

// catalogue combines the configuration and the announced members. Its version
// counts the catalogues published by this run.
func (e *Engine) catalogue() *catalogue.Catalogue {
	c := &catalogue.Catalogue{
		Version: e.publishedVersion,

		OperatorVersion: e.configuration.Version,
		Accounts:        e.configuration.Accounts,
		Entries:         e.configuration.Entries,
	}
	for _, g := range e.configuration.Groups {
		db := catalogue.Database{Name: g.Name, Connections: g.MemberConnections, WarmupPerSecond: g.WarmupPerSecond, State: catalogue.DatabaseActive}
		for _, m := range e.groups[g.Name] {
			db.Members = append(db.Members, catalogue.Member{ID: m.Member, Address: m.Address, Domain: m.Domain, Slots: m.Slots})
		}
		c.Databases = append(c.Databases, db)
	}
	return c
}

// view returns the state of the members of one group.
func (e *Engine) view(db *catalogue.Database) session.GroupView {
	view := session.GroupView{Database: db.Name, PrimaryWithheld: e.primaryWithheld(db.Name)}
	for i := range db.Members {
		m := e.members[db.Members[i].ID]
		view.Members = append(view.Members, session.MemberView{
			Status:      core.MemberStatus{Member: m.Member, Role: e.effectiveRole(m)},
			Reachable:   e.usable(m),
			Withdrawn:   e.withdrawn(m),
			SendUntil:   e.sendUntil(m),
			Started:     m.Started,
			JustStarted: e.hasJustStarted(m),
			ColdUntil:   m.coldUntil,
			Announced:   uint64(m.Revision),
			RespondedAt: e.now,
		})
	}
	return view
}
