package main

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// configGap is the time between two versions of the configuration. The site's
	// config_storm has 0.08 s.
	configGap = 80 * time.Millisecond
	// configApply is configApplyMs of the site, configAfter the time after it in which
	// LOST still counts.
	configApply = 3 * time.Second
	configAfter = time.Second
	// readWork is below the longest work of the site's inventory-search, 300 ms.
	readWork = 100 * time.Millisecond
	// timeUsed is seven tenths of the route's timeout; LOST does not count a request that
	// has used more.
	timeUsed = 1400 * time.Millisecond
)

// cut is a request whose connection ended without a complete answer.
type cut struct {
	id, instance string
	sent, ended  time.Time
}

// restoredKey takes a key away and gives it back in the next version, while its tenant's
// requests run. It checks LOST: around a configuration, no request that was passed on to
// a member may lose its answer.
func restoredKey(r *record, trouble bool) (string, error) {
	const name, restored, other = "nypu920", "u6wsjnbanfqasnmgkcuy", "j8pjbvk9m68k7b2ex5wa"
	f, err := newFleet(r, 3, configuration(7, tenant(name, 144, restored, other)))
	defer f.stop()
	if err != nil {
		return "", err
	}
	f.group.work = func(string) time.Duration { return readWork }
	var mutex sync.Mutex
	ran := map[string]bool{}
	f.group.hook = func(run run) {
		mutex.Lock()
		defer mutex.Unlock()
		ran[run.id] = true
		r.add("member %s tenant %s id %s: ran %q", run.member, run.tenant, run.id, run.text)
	}
	var cuts []cut
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for _, n := range f.instances {
		for _, key := range []string{restored, restored, other} {
			clients.Add(1)
			go func() {
				defer clients.Done()
				c := readUntil(r, n, key, stop)
				mutex.Lock()
				defer mutex.Unlock()
				cuts = append(cuts, c...)
			}()
		}
	}
	time.Sleep(4 * time.Second)
	changed := time.Now()
	keys := []string{other}
	if !trouble {
		keys = []string{restored, other}
	}
	f.store.put("op/config", configuration(9, tenant(name, 144, keys...)))
	r.add("operator: version 9 acknowledged, keys of %s: %v", name, keys)
	time.Sleep(configGap)
	f.store.put("op/config", configuration(12, tenant(name, 144, restored, other)))
	acknowledged := time.Now()
	r.add("operator: version 12 acknowledged, keys of %s: %v", name, []string{restored, other})
	time.Sleep(4 * time.Second)
	close(stop)
	clients.Wait()
	return lostAround(f, cuts, ran, changed, acknowledged), nil
}

// readUntil sends reads on a session after the other, and returns those that were cut.
func readUntil(r *record, n *instance, key string, stop chan struct{}) []cut {
	var cuts []cut
	for count := 0; ; count++ {
		c, err := dial(n.front, "search", key)
		if err != nil {
			r.add("client at %s, key %s: no session: %v", n.name, key, err)
			if stopped(stop, 100*time.Millisecond) {
				return cuts
			}
			continue
		}
		for !stopped(stop, 5*time.Millisecond) {
			sent := time.Now()
			a, err := c.query(fmt.Sprintf("READ k%d", count), 3*time.Second)
			if errors.Is(err, errCut) {
				cuts = append(cuts, cut{id: a.id, instance: n.name, sent: sent, ended: time.Now()})
				r.add("client at %s, key %s: id %s sent %.3f: %v", n.name, key, a.id, sent.Sub(r.start).Seconds(), err)
				break
			}
			r.add("client at %s, key %s: id %s answered: code %q mac %q", n.name, key, a.id, a.code, a.mac)
			if a.code != "" {
				break
			}
		}
		c.close()
		if stopped(stop, 20*time.Millisecond) {
			return cuts
		}
	}
}

// stopped waits, and reports whether stop is closed.
func stopped(stop chan struct{}, wait time.Duration) bool {
	select {
	case <-stop:
		return true
	case <-time.After(wait):
		return false
	}
}

// lostAround applies the rule LOST to the requests that were cut: those that a member
// had received count if they were sent while a configuration might be in force, and if
// nothing was cut at other times.
func lostAround(f *fleet, cuts []cut, ran map[string]bool, from, acknowledged time.Time) string {
	until := acknowledged.Add(configApply + configAfter)
	var lost, elsewhere []string
	for _, c := range cuts {
		passedOn := ran[c.id] && c.ended.Sub(c.sent) < timeUsed
		around := c.ended.After(from) && c.sent.Before(until)
		if passedOn && around {
			lost = append(lost, c.id+" at "+c.instance)
		}
		if !around {
			elsewhere = append(elsewhere, c.id)
		}
	}
	ended := slices.DeleteFunc(slices.Clone(f.instances), (*instance).running)
	if len(lost) == 0 {
		return ""
	}
	return fmt.Sprintf("LOST: %d requests that a member had received ended without an answer around the configuration, %d at other times; "+
		"%d of %d processes ended by themselves; the requests: %v", len(lost), len(elsewhere), len(ended), len(f.instances), lost)
}
