package control

import (
	"maps"
	"slices"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/failover"
)

// keptFailovers bounds the changes of primary that the status lists.
const keptFailovers = 64

func (e *Engine) operatorRequest(m FromOperator) {
	switch r := m.Request.(type) {
	case GetCatalogue:
		m.Reply <- OperatorAnswer{Catalogue: e.settings.keeper.InForce()}
	case GetHistory:
		m.Reply <- OperatorAnswer{History: e.settings.history}
	case GetStatus:
		m.Reply <- OperatorAnswer{Status: e.status()}
	case ApplyEdits:
		e.settings.submit(r, m.Reply)
	case Switchover:
		m.Reply <- OperatorAnswer{Err: e.switchover(r)}
	}
}

// UnknownDatabaseError reports a database that the catalogue does not have.
type UnknownDatabaseError struct {
	Name core.DatabaseName
}

func (e *UnknownDatabaseError) Error() string {
	return "database " + string(e.Name) + " does not exist"
}

func (e *Engine) switchover(r Switchover) error {
	var err error = &UnknownDatabaseError{Name: r.Database}
	e.decide(r.Database, func(g *failover.Group) { err = g.Switchover(e.now, r.To) })
	return err
}

func (e *Engine) noteFailover(r failover.Report) {
	e.failovers = append(e.failovers, r)
	if len(e.failovers) > keptFailovers {
		e.failovers = e.failovers[1:]
	}
	e.out.Finished(r)
}

func (e *Engine) status() *Status {
	spendable := e.holder.Allowance(e.now)
	s := &Status{
		Instance:  e.config.Self.Instance,
		Domain:    e.config.Self.Domain,
		State:     e.life.stateName(),
		Lease:     e.lease.stateName(),
		Slot:      spendable.Slot,
		Allocator: e.mirror.allocator.Allocator.Instance,
		Peers:     e.peers.status(),
		Failovers: append([]failover.Report(nil), e.failovers...),
		Shares: ShareStatus{
			Until:       spendable.Until,
			Rates:       map[core.AccountName]float64{},
			Connections: spendable.Connections,
		},
	}
	for name, rate := range spendable.Accounts {
		s.Shares.Rates[name] = rate.Rate.Float()
	}
	s.CatalogueVersion = e.settings.keeper.InForce().Version
	if t := e.holder.Table(); t != nil {
		s.TableRevision = t.Revision
	}
	s.Groups = e.groupStatus()
	return s
}

// groupStatus lists the groups in order of their names.
func (e *Engine) groupStatus() []GroupStatus {
	list := make([]GroupStatus, 0, len(e.groups))
	for _, name := range slices.Sorted(maps.Keys(e.groups)) {
		g := e.groups[name]
		list = append(list, GroupStatus{
			Database: name, State: g.core.State(), Term: g.last.Term, Primary: g.last.Primary,
		})
	}
	return list
}
