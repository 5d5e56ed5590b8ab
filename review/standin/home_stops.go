package main

import (
	"errors"
	"fmt"
	"sort"
	"sync"
	"syscall"
	"time"
)

const (
	quotaWindow = 5 * time.Second
	tenantRate  = 144.0
	// quotaLimit is (ratePerS x window + burst) x (1 + quotaOverage) + quotaSlack.
	quotaLimit = (tenantRate*5+tenantRate)*1.1 + 20
	// hotSessions and hotPause give about 7.5 times the tenant's usual 90 operations a
	// second.
	hotSessions = 40
	hotPause    = 50 * time.Millisecond
	// stopGap is the time between two planned stops, restartDelay the time from the end of
	// a process until the platform starts it again.
	stopGap      = 1300 * time.Millisecond
	restartDelay = 500 * time.Millisecond
	stops        = 2
)

// homeStops stops and starts two instances in turn while a tenant sends many times its
// usual: its home, and then the instance that took its place. It checks QUOTA.
func homeStops(r *record, trouble bool) (string, error) {
	const name, key = "nypu920", "u6wsjnbanfqasnmgkcuy"
	f, err := newFleet(r, 6, configuration(7, tenant(name, tenantRate, key)))
	defer f.stop()
	if err != nil {
		return "", err
	}
	f.group.work = func(string) time.Duration { return 8 * time.Millisecond }
	var mutex sync.Mutex
	sentAt, ranAt := map[string]time.Time{}, map[string]time.Time{}
	f.group.hook = func(run run) {
		mutex.Lock()
		defer mutex.Unlock()
		ranAt[run.id] = run.at
		r.add("member %s tenant %s id %s: ran %q", run.member, run.tenant, run.id, run.text)
	}
	if err := eventually(10*time.Second, func() error {
		if f.home(name) == nil {
			return errors.New("the tenant has no home")
		}
		return nil
	}); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range hotSessions {
		clients.Add(1)
		go func() {
			defer clients.Done()
			hotSession(r, f, i, key, stop, func(id string, at time.Time) {
				mutex.Lock()
				defer mutex.Unlock()
				sentAt[id] = at
			})
		}()
	}
	time.Sleep(1500 * time.Millisecond)
	var restarts sync.WaitGroup
	for range stops {
		if n := f.home(name); trouble && n != nil && n.running() {
			r.add("%s, the home of %s, gets SIGTERM", n.name, name)
			n.signal(syscall.SIGTERM)
			restarts.Add(1)
			go func() {
				defer restarts.Done()
				<-n.ended
				time.Sleep(restartDelay)
				if err := n.start(f); err != nil {
					r.add("%s: %v", n.name, err)
				}
			}()
		}
		time.Sleep(stopGap)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	restarts.Wait()
	most, at := fullestWindow(sentAt, ranAt)
	r.add("the fullest window of 5 s has %d requests, from %.3f; the limit is %.1f", most, at.Sub(r.start).Seconds(), quotaLimit)
	fmt.Printf("fullest window: %d, limit %.1f\n", most, quotaLimit)
	if float64(most) > quotaLimit {
		return fmt.Sprintf("QUOTA: %d requests were sent and run within 5 s, the limit is %.1f", most, quotaLimit), nil
	}
	return "", nil
}

// hotSession sends reads at the instances in turn, going on at the next one after a cut.
func hotSession(r *record, f *fleet, i int, key string, stop chan struct{}, sent func(string, time.Time)) {
	for ; ; i++ {
		if stopped(stop, 10*time.Millisecond) {
			return
		}
		n := f.instances[i%len(f.instances)]
		c, err := dial(n.front, "search", key)
		if err != nil {
			continue
		}
		for !stopped(stop, hotPause) {
			at := time.Now()
			a, err := c.query("READ k1", 2*time.Second)
			sent(a.id, at)
			r.add("client at %s: id %s sent %.3f: code %q mac %q %v", n.name, a.id, at.Sub(r.start).Seconds(), a.code, a.mac, err)
			if err != nil {
				break
			}
		}
		c.close()
	}
}

// fullestWindow returns the largest number of requests that were both sent and run
// within one window, and its start.
func fullestWindow(sentAt, ranAt map[string]time.Time) (int, time.Time) {
	type request struct{ sent, ran time.Time }
	var requests []request
	for id, ran := range ranAt {
		if sent, known := sentAt[id]; known {
			requests = append(requests, request{sent, ran})
		}
	}
	sort.Slice(requests, func(i, j int) bool { return requests[i].sent.Before(requests[j].sent) })
	most, at := 0, time.Time{}
	for i := range requests {
		start := requests[i].sent
		count := 0
		for j := i; j < len(requests) && requests[j].sent.Sub(start) <= quotaWindow; j++ {
			if requests[j].ran.Sub(start) <= quotaWindow {
				count++
			}
		}
		if count > most {
			most, at = count, start
		}
	}
	return most, at
}
