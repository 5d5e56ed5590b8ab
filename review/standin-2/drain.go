package main

import (
	"fmt"
	"sync"
	"time"
)

const drainBound = 7 * time.Second

// drainClock: a replica drains. Its messages do not reach the store for a while, so that its
// entry lapses and returns.
func drainClock(e *environment) (bool, error) {
	const (
		// cutAfter is later than the first heartbeat after the report.
		cutAfter = 1300 * time.Millisecond
		cutFor   = 5 * time.Second
		// servesFor is how long the member serves after the store has accepted its report:
		// drainMs and a little longer.
		servesFor = 11 * time.Second
	)
	store, err := newStore()
	if err != nil {
		return false, err
	}
	g, err := newGroup(store, "db", []string{"za", "zb", "zc"})
	if err != nil {
		return false, err
	}
	store.promote = g.promote
	leaving := g.members[2]
	var mu sync.Mutex
	var acked time.Time
	before, allowed, late := 0, 0, 0
	var last time.Duration
	g.arrived = func(m *Member, tenant, id, text string, first bool) {
		note("member", "%s runs %s for %s: %s", m.id, id, tenant, text)
		mu.Lock()
		defer mu.Unlock()
		if m != leaving || !first {
			return
		}
		switch since := time.Since(acked); {
		case acked.IsZero():
			before++
		case since <= drainBound:
			allowed++
		default:
			late++
			last = since
			note("result", "%s reaches %s %.3f s after the ack of its report", id, m.id, since.Seconds())
		}
	}
	// A second service, so that one of six members is cut off, at most the share of a srv_cut.
	if _, err := newGroup(store, "dc", []string{"za", "zb", "zc"}); err != nil {
		return false, err
	}
	store.put("op/config", configuration(2, 1000, 1000, 0))
	f, err := newFleet(e.repository, e.dir, store.address, []string{"za", "zb", "zc"})
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.startAll(10 * time.Second); err != nil {
		return false, err
	}
	l := startLoad(f, "search", "key-1", 24, 100*time.Millisecond, func(session, number int) string {
		return fmt.Sprintf("READ k%d", session)
	})
	defer l.stop()
	// All machines are in touch for longer than contactMs.
	time.Sleep(6 * time.Second)

	g.mu.Lock()
	leaving.state = "draining"
	g.mu.Unlock()
	at := leaving.beat()
	mu.Lock()
	acked = at
	mu.Unlock()
	note("store", "the report of %s that it is draining is acknowledged", leaving.id)
	if e.trouble {
		time.Sleep(time.Until(at.Add(cutAfter)))
		note("network", "the messages of %s no longer reach the store", leaving.id)
		g.mu.Lock()
		leaving.cutFromStore = true
		g.mu.Unlock()
		time.Sleep(time.Until(at.Add(cutAfter + cutFor)))
		note("network", "the messages of %s reach the store again", leaving.id)
		g.mu.Lock()
		leaving.cutFromStore = false
		g.mu.Unlock()
	}
	time.Sleep(time.Until(at.Add(servesFor)))
	note("member", "%s ends", leaving.id)
	leaving.leave()
	time.Sleep(500 * time.Millisecond)
	l.stop()
	f.stop()
	result("answers: %v", l.counts())
	mu.Lock()
	defer mu.Unlock()
	result("requests that reached %s: %d before the ack, %d within drainMs after it, %d later, the last %.3f s after it", leaving.id, before, allowed, late, last.Seconds())
	if before == 0 {
		return false, fmt.Errorf("the replica got no requests before it drained")
	}
	return late > 0, nil
}
