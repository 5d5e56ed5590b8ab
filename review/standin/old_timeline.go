package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// acked is a write that was acknowledged to its client.
type acked struct {
	id string
	at time.Time
}

// oldTimeline lets a primary crash that had acknowledged writes which its replicas had
// not received, and come back while the next primary crashes. It checks STALE on the
// primary route.
func oldTimeline(r *record, trouble bool) (string, error) {
	// Several tenants have several homes, which together keep all slots of a replica busy.
	keys := []string{"u6wsjnbanfqasnmgkcuy", "j8pjbvk9m68k7b2ex5wa", "c3n0xq7d2pzk5vw1rt8h"}
	f, err := newFleet(r, 4, configuration(7, tenant("nypu920", 200, keys[0]), tenant("dade490", 200, keys[1]), tenant("bogo110", 200, keys[2])))
	defer f.stop()
	if err != nil {
		return "", err
	}
	g := f.group
	g.work = func(string) time.Duration { return 24 * time.Millisecond }
	t := &timelines{r: r, reads: map[string]time.Time{}}
	g.hook = t.observe
	stop := make(chan struct{})
	var clients sync.WaitGroup
	start := func(n int, route string, texts func(i, count int) string) {
		for i := range n {
			clients.Add(1)
			go func() {
				defer clients.Done()
				t.session(f, i, route, keys[i%len(keys)], stop, func(count int) string { return texts(i, count) })
			}()
		}
	}
	start(4, "entry", func(i, count int) string {
		if count%2 == 0 {
			return fmt.Sprintf("WRITE k%d v%d", i, count)
		}
		return fmt.Sprintf("READ k%d", i)
	})
	start(60, "search", func(i, _ int) string { return fmt.Sprintf("READ k%d", i%4) })
	time.Sleep(3 * time.Second)
	first := g.members[0]
	if trouble {
		// primary_cut (replicas), then srv_crash (primary).
		first.setDeaf(true)
		time.Sleep(time.Second)
		first.crash()
	}
	time.Sleep(5 * time.Second)
	if trouble {
		// replica_lag (deaf crash): the replica that comes back receives nothing, and the
		// primary crashes meanwhile.
		if err := first.restart(); err != nil {
			return "", err
		}
		time.Sleep(500 * time.Millisecond)
		g.mutex.Lock()
		second := g.primary()
		g.mutex.Unlock()
		if second == nil || second == first {
			return "", fmt.Errorf("the group has no second primary")
		}
		second.crash()
	}
	time.Sleep(4 * time.Second)
	close(stop)
	clients.Wait()
	return t.check(g), nil
}

// timelines holds what the members have run and what the clients of oldTimeline saw.
type timelines struct {
	r     *record
	mutex sync.Mutex
	runs  []run
	acks  []acked
	// reads holds when the reads on the primary route were sent, by id.
	reads map[string]time.Time
}

func (t *timelines) observe(x run) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.runs = append(t.runs, x)
	t.r.add("member %s tenant %s id %s: ran %q on a log of %d commits", x.member, x.tenant, x.id, x.text, len(x.log))
}

// session sends the statements of one client.
func (t *timelines) session(f *fleet, i int, route, key string, stop chan struct{}, text func(int) string) {
	for count := 0; ; i++ {
		if stopped(stop, 10*time.Millisecond) {
			return
		}
		n := f.instances[i%len(f.instances)]
		c, err := dial(n.front, route, key)
		if err != nil {
			continue
		}
		for !stopped(stop, 5*time.Millisecond) {
			count++
			statement, sent := text(count), time.Now()
			a, err := c.query(statement, 2*time.Second)
			t.answered(route, statement, sent, a, err)
			t.r.add("client at %s, route %s: id %s %q sent %.3f: code %q mac %q rows %v %v", n.name, route, a.id, statement, sent.Sub(t.r.start).Seconds(), a.code, a.mac, a.rows, err)
			if err != nil {
				break
			}
		}
		c.close()
	}
}

func (t *timelines) answered(route, statement string, sent time.Time, a answer, err error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	switch {
	case route != "entry":
	case strings.HasPrefix(statement, "READ"):
		t.reads[a.id] = sent
	case err == nil && a.code == "":
		t.acks = append(t.acks, acked{id: a.id, at: time.Now()})
	}
}

// check applies the rule STALE. A commit counts if no promote has rolled it back in the
// end: it is in the log of the last primary.
func (t *timelines) check(g *group) string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	last := g.primary()
	if last == nil {
		last = g.members[0]
	}
	var kept []string
	for _, e := range last.log {
		kept = append(kept, e.id)
	}
	lost := 0
	for _, a := range t.acks {
		if !slices.Contains(kept, a.id) {
			lost++
		}
	}
	stale, example := 0, ""
	for _, x := range t.runs {
		sent, primaryRead := t.reads[x.id]
		if !primaryRead {
			continue
		}
		for _, a := range t.acks {
			if a.at.Before(sent) && slices.Contains(kept, a.id) && !slices.Contains(x.log, a.id) {
				stale++
				example = fmt.Sprintf("read %s at %s lacked commit %s, acknowledged %.3f s before", x.id, x.member, a.id, sent.Sub(a.at).Seconds())
				break
			}
		}
	}
	t.r.add("the last primary is %s with %d commits; %d of %d acknowledged commits are lost", last.id, len(kept), lost, len(t.acks))
	fmt.Printf("%d of %d acknowledged commits are lost\n", lost, len(t.acks))
	if stale == 0 {
		return ""
	}
	return fmt.Sprintf("STALE: %d reads on the primary route ran on a log that lacks an acknowledged commit, such as: %s", stale, example)
}
