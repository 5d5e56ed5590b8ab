package fleet

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// shareValid is how long a published share may be spent; it is published anew
// long before.
const shareValid = 24 * time.Hour

// shares divides rates and connections among the registered instances.
type shares struct {
	e        *Engine
	demand   session.Demand
	revision uint64
}

func (s *shares) init(e *Engine) {
	s.e = e
}

// publish gives session its shares.
func (s *shares) publish() {
	e := s.e
	s.revision++
	share := session.ShareInForce{
		Revision:    s.revision,
		Grant:       1,
		Accounts:    map[core.AccountName]session.RateShare{},
		Connections: map[core.DatabaseName]int{},
		Until:       e.now.Add(shareValid),
	}
	instances := float64(max(len(e.instances), 1))
	for _, a := range e.configuration.Accounts {
		share.Accounts[a.Name] = session.RateShare{Rate: a.Rate / instances, Burst: max(a.Burst/instances, 1)}
	}
	for _, g := range e.configuration.Groups {
		share.Connections[g.Name] = max(minMemberConnections, int(float64(g.MemberConnections)*connectionOvercommit/instances))
	}
	e.out.Session(share)
}

const (
	// minMemberConnections lets an instance serve two accounts at a time.
	minMemberConnections = 2
	// connectionOvercommit lets instances take connections that others do not
	// use; the member refuses those beyond its bound.
	connectionOvercommit = 2
)
