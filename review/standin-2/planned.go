package main

import (
	"fmt"
	"sync"
	"time"
)

// unansweredStatus: the primary drains, as before a planned shutdown, so that the system
// replaces it. One replica receives nothing for a while; the other one's answer to one STATUS
// is lost.
func unansweredStatus(e *environment) (bool, error) {
	const (
		deafBefore = 2 * time.Second
		deafFor    = 6500 * time.Millisecond
		watchFor   = 9 * time.Second
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
	primary, deaf, healthy := g.members[0], g.members[1], g.members[2]
	runs := map[string]int{}
	g.arrived = func(m *Member, tenant, id, text string, first bool) {
		runs[m.id]++
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

	if e.trouble {
		note("network", "%s receives nothing from the primary", deaf.id)
		g.mu.Lock()
		deaf.deaf = true
		healthy.loseStatusAnswers = 1
		g.mu.Unlock()
		time.AfterFunc(deafFor, func() {
			g.mu.Lock()
			deaf.deaf = false
			g.mu.Unlock()
			note("network", "%s receives again", deaf.id)
		})
	}
	time.Sleep(deafBefore)
	g.mu.Lock()
	primary.state = "draining"
	g.mu.Unlock()
	at := primary.beat()
	note("store", "the report of %s that it is draining is acknowledged", primary.id)
	time.Sleep(time.Until(at.Add(watchFor)))
	l.stop()
	f.stop()
	broken := promotions.check(l)
	if promotions.count() == 0 {
		return false, fmt.Errorf("no member was promoted")
	}
	return broken, nil
}

// promotionLog records what each promoted member had in its log.
type promotionLog struct {
	mu   sync.Mutex
	list []promotion
}

type promotion struct {
	member string
	held   map[string]bool
	at     time.Time
}

func watchPromotions(g *Group) *promotionLog {
	p := &promotionLog{}
	g.promoted = func(m *Member) {
		held := map[string]bool{}
		for _, entry := range m.log {
			for _, w := range entry.writes {
				held[w.id] = true
			}
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.list = append(p.list, promotion{member: m.id, held: held, at: time.Now()})
	}
	return p
}

func (p *promotionLog) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.list)
}

// check reports whether a commit that was acknowledged before a promotion is not in the log
// of the promoted member.
func (p *promotionLog) check(l *Load) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	result("promotions: %d", len(p.list))
	broken := false
	for _, promoted := range p.list {
		acked, missing := 0, 0
		for id, outcome := range l.outcomes {
			if outcome != "success" || l.answeredAt[id].After(promoted.at) {
				continue
			}
			acked++
			if !promoted.held[id] {
				missing++
				note("result", "%s was acknowledged and is not in the log of %s, which was promoted", id, promoted.member)
			}
		}
		result("LOST: of %d commits acknowledged before the promotion of %s, %d are not in its log", acked, promoted.member, missing)
		broken = broken || missing > 0
	}
	return broken
}
