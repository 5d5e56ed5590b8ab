package control

import (
	"maps"
	"slices"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/failover"
)

// maxFailovers bounds the changes of primary that the status lists.
const maxFailovers = 64

// handleOperatorRequest executes a request of the administration API. The
// response to edits is sent when their outcome is known.
func (e *Engine) handleOperatorRequest(m FromOperator) {
	switch r := m.Request.(type) {
	case GetCatalogue:
		m.Reply <- OperatorResponse{Catalogue: e.configuration.manager.Current()}
	case GetHistory:
		m.Reply <- OperatorResponse{History: e.configuration.history}
	case GetStatus:
		m.Reply <- OperatorResponse{Status: e.status()}
	case ApplyEdits:
		e.configuration.submitEdits(r, m.Reply)
	case Switchover:
		m.Reply <- OperatorResponse{Err: e.switchover(r)}
	}
}

// UnknownDatabaseError reports a database that the catalogue does not contain.
type UnknownDatabaseError struct {
	Name core.DatabaseName
}

func (e *UnknownDatabaseError) Error() string {
	return "database " + string(e.Name) + " does not exist"
}

// switchover starts a planned change of primary. It returns an
// *UnknownDatabaseError if there is no such group.
func (e *Engine) switchover(r Switchover) error {
	var err error = &UnknownDatabaseError{Name: r.Database}
	e.updateGroup(r.Database, func(g *failover.Group) { err = g.Switchover(e.now, r.To) })
	return err
}

// recordFailover stores a finished change of primary for the status and reports
// it.
func (e *Engine) recordFailover(r failover.Report) {
	e.failovers = append(e.failovers, r)
	if len(e.failovers) > maxFailovers {
		e.failovers = e.failovers[1:]
	}
	e.out.ChangeFinished(r)
}

// status returns the state of the fleet as this instance sees it.
func (e *Engine) status() *Status {
	allowance := e.holder.Allowance(e.now)
	s := &Status{
		Instance:  e.config.Self.Instance,
		Domain:    e.config.Self.Domain,
		State:     e.lifecycle.stateName(),
		Lease:     e.lease.stateName(),
		Slot:      allowance.Slot,
		Allocator: e.cache.allocator.Allocator.Instance,
		Peers:     e.peers.status(),
		Failovers: append([]failover.Report(nil), e.failovers...),
		Shares: ShareStatus{
			Until:       allowance.Until,
			Rates:       map[core.AccountName]float64{},
			Connections: allowance.Connections,
		},
	}
	for name, rate := range allowance.Accounts {
		s.Shares.Rates[name] = rate.Rate.Float()
	}
	s.CatalogueVersion = e.configuration.manager.Current().Version
	if t := e.holder.Table(); t != nil {
		s.TableRevision = t.Revision
	}
	s.Groups = e.groupStatus()
	return s
}

// groupStatus returns the states of the groups, ordered by name.
func (e *Engine) groupStatus() []GroupStatus {
	list := make([]GroupStatus, 0, len(e.groups))
	for _, name := range slices.Sorted(maps.Keys(e.groups)) {
		g := e.groups[name]
		list = append(list, GroupStatus{
			Database: name, State: g.state.State(), Term: g.view.Term, Primary: g.view.Primary,
		})
	}
	return list
}
