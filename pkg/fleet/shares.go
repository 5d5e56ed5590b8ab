package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"

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
	rank := s.rank()
	for _, a := range e.configuration.Accounts {
		share.Accounts[a.Name] = session.RateShare{Rate: a.Rate / instances, Burst: max(a.Burst/instances, 1)}
	}
	for _, g := range e.configuration.Groups {
		share.Connections[g.Name] = divide(g.MemberConnections, max(len(e.instances), 1), rank, offsetOf(g.Name))
	}
	e.out.Session(share)
}

// rank returns the place of this instance among the registered ones.
func (s *shares) rank() int {
	rank := 0
	for id := range s.e.instances {
		if id < s.e.config.Self.ID {
			rank++
		}
	}
	return rank
}

// divide returns the part of a whole number of units that the instance of the
// given rank holds. The parts differ by one at most and sum up to the whole;
// offset chooses who holds the larger ones.
func divide(units, instances, rank, offset int) int {
	place := (rank + offset) % instances
	part := units*(place+1)/instances - units*place/instances
	return max(part, 1)
}

// offsetOf spreads the larger parts of different groups over the instances.
func offsetOf(group core.DatabaseName) int {
	return int(xxhash.Sum64String(string(group)) % offsets)
}

// offsets is above the number of instances of any fleet.
const offsets = 1 << 16
