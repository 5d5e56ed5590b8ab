package main

import (
	"bytes"
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
	configApply  = 3 * time.Second
	contact      = 4 * time.Second
)

// configuration returns the operator's configuration: one route for each kind of request.
func configuration(version int, tenantRate, tenantBurst float64, syncReplicas int) map[string]any {
	route := func(name, database, kind string, staleness int) map[string]any {
		r := map[string]any{"name": name, "database": database, "prefix": "/", "type": kind, "timeoutMs": 1000, "targetLatencyMs": 200,
			"priority": 1, "backend": "db", "attempts": 2, "public": false}
		if staleness > 0 {
			r["maxStalenessMs"] = staleness
		}
		return r
	}
	pool := func(name string) map[string]any {
		return map[string]any{"name": name, "healthPath": "/health", "maxConns": maxConns, "protocol": "h1", "tls": false, "syncReplicas": syncReplicas}
	}
	return map[string]any{
		"configVersion": version,
		"routes": []any{route("r-p", "entry", "primary", 0), route("r-b", "search", "bounded_staleness", 1500),
			route("r-o", "status", "read_your_writes", 2500)},
		"backendPools": []any{pool("db"), pool("dc")},
		"limits":       map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "txIdleMs": 3000},
		"tenants":      []any{map[string]any{"name": "acct", "apiKeys": []string{"key-1"}, "priority": 1, "ratePerS": tenantRate, "burst": tenantBurst}},
	}
}

// lateRegistration: the store leaves one write of each starting machine without an answer and
// carries it out seconds later; meanwhile all processes are killed and start again.
func lateRegistration(e *environment) (bool, error) {
	const (
		rate, lowRate = 100, 20
		lateBy        = 5900 * time.Millisecond
		killAfter     = 3200 * time.Millisecond
		// lostFor and lostShare are the length and the share of the lost answers.
		lostFor   = 4500 * time.Millisecond
		lostShare = 0.35
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
	type run struct {
		id string
		at time.Time
	}
	var mu sync.Mutex
	var runs []run
	g.arrived = func(m *Member, tenant, id, text string, first bool) {
		mu.Lock()
		runs = append(runs, run{id, time.Now()})
		mu.Unlock()
		note("member", "%s runs %s for %s: %s", m.id, id, tenant, text)
	}
	store.put("op/config", configuration(2, rate, rate, 0))
	f, err := newFleet(e.repository, e.dir, store.address, []string{"za", "zb", "zc", "za"})
	if err != nil {
		return false, err
	}
	defer f.stop()
	if e.trouble {
		// platform_lost, late: the first unconditional write of each machine in lostFor has
		// no answer and is carried out later.
		lostUntil := time.Now().Add(lostFor)
		time.AfterFunc(lostFor, func() {
			store.mu.Lock()
			defer store.mu.Unlock()
			share := float64(store.lost) / float64(store.writes)
			result("of %d writes in %v, %d got no answer (%.2f, at most %.2f)", store.writes, lostFor, store.lost, share, lostShare)
		})
		seen := map[string]bool{}
		store.lateTxn = func(t *Txn) time.Duration {
			if time.Now().After(lostUntil) || len(t.Expected) > 0 || len(t.Writes) != 1 || seen[t.Writes[0].Key] {
				return 0
			}
			seen[t.Writes[0].Key] = true
			note("store", "a write of %s gets no answer and is carried out %v later", t.Writes[0].Key, lateBy)
			return lateBy
		}
	}
	if err := f.startAll(10 * time.Second); err != nil {
		return false, err
	}
	started := time.Now()
	l := startLoad(f, "status", "key-1", 24, 150*time.Millisecond, func(session, number int) string {
		if number%8 == 0 {
			return fmt.Sprintf("WRITE k%d v%d", session, number)
		}
		return fmt.Sprintf("READ k%d", session)
	})
	defer l.stop()
	if e.trouble {
		time.Sleep(time.Until(started.Add(killAfter)))
		for _, n := range f.nodes {
			n.signal(9)
		}
	}
	time.Sleep(time.Until(started.Add(12 * time.Second)))
	if err := f.awaitReady(2 * time.Second); err != nil {
		return false, err
	}
	acked := store.put("op/config", configuration(5, lowRate, lowRate, 0))
	note("operator", "version 5 is acknowledged: %d a second, burst %d", lowRate, lowRate)
	binding := acked.Add(configApply + quotaWindow)
	time.Sleep(time.Until(binding.Add(12 * time.Second)))
	l.stop()
	f.stop()

	allowed := int((lowRate*quotaWindow.Seconds()+lowRate)*(1+quotaOverage) + quotaSlack)
	mu.Lock()
	defer mu.Unlock()
	var counted []run
	for _, r := range runs {
		sent, known := l.sent(r.id)
		if known && !sent.Before(binding) {
			counted = append(counted, r)
		}
	}
	slices.SortFunc(counted, func(a, b run) int { return a.at.Compare(b.at) })
	most := 0
	for i, first := range counted {
		n := 0
		for _, r := range counted[i:] {
			sent, _ := l.sent(r.id)
			if r.at.Sub(first.at) <= quotaWindow && sent.Sub(first.at) <= quotaWindow {
				n++
			}
		}
		most = max(most, n)
	}
	store.mu.Lock()
	for key, item := range store.items {
		if bytes.HasPrefix([]byte(key), []byte("sassafrasshunt/")) {
			note("store", "at the end: %s = %s", key, item.Value)
		}
	}
	store.mu.Unlock()
	result("answers: %v", l.counts())
	result("QUOTA: at most %d requests of the tenant were sent and run in 5 s, allowed %d", most, allowed)
	return most > allowed, nil
}
