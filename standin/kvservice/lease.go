package kvservice

import (
	"embed"
	"strconv"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/store"
)

//go:embed charts/*.toml
var chartFiles embed.FS

const leaseChartPath = "charts/lease.toml"

// leaseEvents are the events of the lease chart.
type leaseEvents struct {
	renewed, revoked, timedOut chart.Event
}

// lease is a lease of the service. Its records are deleted when it ends.
type lease struct {
	owner *State
	id    store.LeaseID
	ttl   time.Duration
	state chart.State
	timer timerq.Item[*lease]
}

func compileLease() (*chart.Table[*lease], leaseEvents, error) {
	text, err := chartFiles.ReadFile(leaseChartPath)
	if err != nil {
		return nil, leaseEvents{}, err
	}
	definition, err := chart.Parse(leaseChartPath, text)
	if err != nil {
		return nil, leaseEvents{}, err
	}
	table, err := chart.Compile(definition, chart.Registry[*lease]{
		Actions: map[string]func(*lease){
			"extend":         (*lease).extend,
			"delete_records": (*lease).deleteRecords,
		},
		// The timeout is not used; each lease has its own duration.
		Timeouts: map[string]time.Duration{"time_to_live": 0},
	})
	if err != nil {
		return nil, leaseEvents{}, err
	}
	events := leaseEvents{
		renewed:  table.Event("renewed"),
		revoked:  table.Event("revoked"),
		timedOut: table.Event(chart.TimeoutEvent),
	}
	return table, events, nil
}

// extend restarts the time to live.
func (l *lease) extend() {
	l.owner.expiry.Arm(&l.timer, l.owner.now.Add(l.ttl))
}

func (l *lease) deleteRecords() {
	s := l.owner
	s.expiry.Disarm(&l.timer)
	delete(s.leases, l.id)
	for key, r := range s.records {
		if r.Lease == l.id && !r.Deleted {
			s.putRecord(store.Record{Key: key, Deleted: true})
		}
	}
}

// CreateLease creates a lease that ends ttl after now unless it is renewed.
func (s *State) CreateLease(ttl time.Duration, now time.Time) store.LeaseID {
	s.now = now
	s.nextLease++
	l := &lease{owner: s, id: store.LeaseID(strconv.FormatUint(s.nextLease, 10)), ttl: ttl}
	l.state = s.table.Initial()
	l.timer.Value = l
	s.leases[l.id] = l
	l.extend()
	return l.id
}

// RenewLease restarts the time to live of a lease. It returns a
// *store.NotFoundError for a lease that has ended.
func (s *State) RenewLease(id store.LeaseID, now time.Time) error {
	return s.fireLease(id, s.events.renewed, now)
}

// RevokeLease ends a lease. It returns a *store.NotFoundError for a lease that has
// ended.
func (s *State) RevokeLease(id store.LeaseID, now time.Time) error {
	return s.fireLease(id, s.events.revoked, now)
}

func (s *State) fireLease(id store.LeaseID, event chart.Event, now time.Time) error {
	s.now = now
	l, ok := s.leases[id]
	if !ok {
		return &store.NotFoundError{What: "lease " + string(id)}
	}
	s.table.Fire(l, &l.state, event)
	return nil
}

// Expire ends the leases whose time to live has passed.
func (s *State) Expire(now time.Time) {
	s.now = now
	for {
		item, ok := s.expiry.PopDue(now)
		if !ok {
			return
		}
		s.table.Fire(item.Value, &item.Value.state, s.events.timedOut)
	}
}

// NextExpiry returns the time at which the next lease expires. The result is false
// when there is no lease.
func (s *State) NextExpiry() (time.Time, bool) {
	return s.expiry.Next()
}
