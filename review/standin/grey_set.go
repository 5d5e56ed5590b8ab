package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// greyShare is the part of its requests that a grey member answers with BUSY; the sites
// go up to 0.45.
const greyShare = 0.4

// greySet lets a primary answer a part of its queries with BUSY. It checks PINNED:
// a statement must run with the values that were acknowledged to its client.
func greySet(r *record, trouble bool) (string, error) {
	const name, key = "nypu920", "u6wsjnbanfqasnmgkcuy"
	f, err := newFleet(r, 2, configuration(7, tenant(name, 144, key)))
	defer f.stop()
	if err != nil {
		return "", err
	}
	grey := f.group.members[0]
	var mutex sync.Mutex
	expected := map[string]string{}
	var broken []string
	f.group.hook = func(run run) {
		mutex.Lock()
		defer mutex.Unlock()
		want, known := expected[run.id]
		r.add("member %s tenant %s id %s: ran %q with values %s", run.member, run.tenant, run.id, run.text, run.values)
		if known && run.values != want {
			broken = append(broken, fmt.Sprintf("%s ran with %s instead of %s", run.id, run.values, want))
		}
	}
	if trouble {
		f.group.fail = func(m *member, _, text string) string {
			if m == grey && !strings.HasPrefix(text, "STATUS") && rand.Float64() < greyShare {
				return "BUSY"
			}
			return ""
		}
	}
	var clients sync.WaitGroup
	for i := range 8 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for count := range 40 {
				n := f.instances[i%len(f.instances)]
				c, err := dial(n.front, "entry", key)
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				value := fmt.Sprintf("v%d-%d", i, count)
				a, err := c.query("SET region "+value, 2*time.Second)
				if err == nil && a.code == "" {
					r.add("client at %s: SET region %s acknowledged", n.name, value)
					id := fmt.Sprintf("r%d-%d", i, count)
					mutex.Lock()
					expected[id] = fmt.Sprint(map[string]string{"region": value})
					mutex.Unlock()
					a, err = c.exchange("QUERY "+id+" WRITE k1 "+value, 2*time.Second)
					r.add("client at %s: id %s answered: code %q mac %q %v", n.name, id, a.code, a.mac, err)
				}
				c.close()
				time.Sleep(30 * time.Millisecond)
			}
		}()
	}
	clients.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	if len(broken) > 0 {
		return fmt.Sprintf("PINNED: %d statements ran with other values: %v", len(broken), broken), nil
	}
	return "", nil
}
