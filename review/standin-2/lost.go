package main

import (
	"fmt"
	"time"
)

// drainingReplica: one of two replicas drains, as before a planned shutdown. The other
// receives nothing for a while, and the primary crashes meanwhile.
func drainingReplica(e *environment) (bool, error) {
	const (
		deafAfter  = time.Second
		crashAfter = 3 * time.Second
		deafFor    = 6500 * time.Millisecond
		watchFor   = 10 * time.Second
	)
	store, err := newStore()
	if err != nil {
		return false, err
	}
	g, err := newGroup(store, "db", []string{"za", "zb", "zc"})
	if err != nil {
		return false, err
	}
	g.syncReplicas = 1
	store.promote = g.promote
	primary, stays, leaving := g.members[0], g.members[1], g.members[2]
	g.arrived = func(m *Member, tenant, id, text string, first bool) {
		note("member", "%s runs %s for %s: %s", m.id, id, tenant, text)
	}
	promotions := watchPromotions(g)
	store.put("op/config", configuration(2, 1000, 1000, 1))
	f, err := newFleet(e.repository, e.dir, store.address, []string{"za", "zb", "zc"})
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.startAll(10 * time.Second); err != nil {
		return false, err
	}
	l := startLoad(f, "entry", "key-1", 12, 100*time.Millisecond, func(session, number int) string {
		return fmt.Sprintf("WRITE k%d v%d", session, number)
	})
	defer l.stop()
	time.Sleep(5 * time.Second)

	g.mu.Lock()
	leaving.state = "draining"
	g.mu.Unlock()
	at := leaving.beat()
	note("store", "the report of %s that it is draining is acknowledged", leaving.id)
	if e.trouble {
		time.Sleep(time.Until(at.Add(deafAfter)))
		note("network", "%s receives nothing from the primary", stays.id)
		g.mu.Lock()
		stays.deaf = true
		g.mu.Unlock()
		time.AfterFunc(deafFor, func() {
			g.mu.Lock()
			stays.deaf = false
			g.mu.Unlock()
			note("network", "%s receives again", stays.id)
		})
	}
	time.Sleep(time.Until(at.Add(crashAfter)))
	if e.trouble {
		note("member", "the primary %s crashes", primary.id)
		g.mu.Lock()
		g.primary = nil
		g.mu.Unlock()
		primary.crash()
	}
	// The draining member ends later than drainMs after its report.
	time.Sleep(time.Until(at.Add(watchFor)))
	l.stop()
	f.stop()

	broken := promotions.check(l)
	if e.trouble && promotions.count() == 0 {
		return false, fmt.Errorf("no member was promoted")
	}
	return broken, nil
}
