package e2e

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Bounds of a planned stop, as fractions of the grace period that the rules of the
// hosting platform name.
const (
	// transactionStopBound is how long an open transaction may go on.
	transactionStopBound = hostedGracePeriod / 2
	// resultStopBound is the time until which a result that the members have finished
	// must be delivered.
	resultStopBound = hostedGracePeriod * 5 / 6
)

// stopRun is one planned stop of instances, with callers that follow scripts.
type stopRun struct {
	*hostedFleet
	// keys has, for each instance, the key of an account whose home it is.
	keys []string
	// stopAt is the time of the first SIGTERM. Times of scripts count from it.
	stopAt  time.Time
	callers []*stopCaller
	// scripts, releases and ended wait for the callers, for the members' statements
	// that are held until a time, and for the instances that stop.
	scripts, releases, ended sync.WaitGroup
	mutex                    sync.Mutex
	// lateEnds are the instances that did not end within the grace period.
	lateEnds []error
}

// stopStep is a request that a script sends.
type stopStep struct {
	// at is when it is sent, counted from the SIGTERM.
	at   time.Duration
	text string
	// memberUntil is when the member goes on with the statement, counted from the
	// SIGTERM; it is not held if this is zero.
	memberUntil time.Duration
}

// stopScriptLead is the time between the start of the scripts and the SIGTERM.
const stopScriptLead = 500 * time.Millisecond

// stopAccounts is the number of accounts. With two to an instance, each instance is the
// home of at least one.
const stopAccounts = 4

// newStopRun starts two instances and sets the time limit of a statement.
func newStopRun(t *testing.T, timeout time.Duration) *stopRun {
	s := &stopRun{hostedFleet: startHostedFleet(t, 2)}
	t.Cleanup(s.group.gate.releaseAll)
	config := s.configuration(2)
	config["routes"] = []any{map[string]any{"database": "ledger", "backend": "db", "type": "primary", "priority": 0, "timeoutMs": timeout.Milliseconds()}}
	var tenants []any
	for i := range stopAccounts {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("acct%d", i), "apiKeys": []string{fmt.Sprintf("key-%d", i)}, "ratePerS": hostedRate, "burst": hostedRate})
	}
	config["tenants"] = tenants
	s.store.put("op/config", config)
	require.NoError(t, eventually(startTimeout, func() error {
		if err := s.checkVersion(2, []int{0, 1}); err != nil {
			return err
		}
		return s.findHomes()
	}))
	return s
}

// findHomes sets keys once both instances know the homes of all accounts.
func (s *stopRun) findHomes() error {
	s.keys = make([]string, len(s.instances))
	for _, n := range s.instances {
		var status struct {
			Homes []struct {
				Account string `json:"account"`
				Home    string `json:"home"`
			} `json:"homes"`
		}
		response, err := http.Get("http://" + n.metricsAddress + "/status")
		if err != nil {
			return err
		}
		err = json.NewDecoder(response.Body).Decode(&status)
		response.Body.Close()
		if err != nil {
			return err
		}
		found := 0
		for _, h := range status.Homes {
			for i := range s.instances {
				if h.Home == fmt.Sprintf("n%d", i) {
					s.keys[i] = "key-" + h.Account[len("acct"):]
					found++
				}
			}
		}
		if found != stopAccounts {
			return fmt.Errorf("%d of %d accounts have a home", found, stopAccounts)
		}
	}
	for i, key := range s.keys {
		if key == "" {
			return fmt.Errorf("instance %d is the home of no account", i)
		}
	}
	return nil
}

// plan sets the time of the SIGTERM. Callers that are added afterwards follow their
// scripts from now on.
func (s *stopRun) plan() { s.stopAt = time.Now().Add(stopScriptLead) }

// at waits until a time after the SIGTERM.
func (s *stopRun) at(after time.Duration) { time.Sleep(time.Until(s.stopAt.Add(after))) }

// connect connects a caller of the account whose home is the given instance, and sends
// requests that must succeed before the stop.
func (s *stopRun) connect(instance, home int, name string, before ...string) *stopCaller {
	c, err := connectStopCaller(s.instances[instance].callerAddress, s.keys[home], name, s.group.gate)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { c.conn.Close() })
	s.callers = append(s.callers, c)
	for _, text := range before {
		x := c.prepare(text)
		c.send(x, startTimeout)
		require.True(s.t, x.succeeded(), "%s %s: %s", name, text, x.fate())
	}
	return c
}

// run follows the steps of a caller in a goroutine. It ends with the connection.
func (s *stopRun) run(c *stopCaller, steps ...stopStep) {
	s.scripts.Go(func() {
		for _, step := range steps {
			x := c.prepare(step.text)
			if step.memberUntil != 0 {
				s.group.gate.hold(x.id)
			}
			s.at(step.at)
			if step.memberUntil > 0 {
				s.releases.Go(func() {
					s.at(step.memberUntil)
					s.group.gate.release(x.id)
				})
			}
			c.send(x, 2*hostedGracePeriod)
			if !x.answered {
				return
			}
		}
	})
}

// stop sends SIGTERM to an instance at a time after the first SIGTERM and records
// whether it ends within the grace period.
func (s *stopRun) stop(instance int, after time.Duration) {
	n := s.instances[instance]
	s.ended.Go(func() {
		s.at(after)
		err := n.signal(syscall.SIGTERM)
		if err == nil {
			select {
			case <-n.done:
			case <-time.After(hostedGracePeriod):
				err = fmt.Errorf("%s did not end within the grace period, after which the platform kills it", n.name)
			}
		}
		s.t.Logf("%s: SIGTERM at %.2f, end at %.2f", n.name, after.Seconds(), time.Since(s.stopAt).Seconds())
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.lateEnds = append(s.lateEnds, err)
	})
}

// finish waits until the stop and the scripts have ended, lets the members finish what
// they still hold, logs every request and returns all violations in one error.
func (s *stopRun) finish() error {
	s.ended.Wait()
	s.scripts.Wait()
	s.releases.Wait()
	s.group.gate.releaseAll()
	violations := s.lateEnds
	for _, c := range s.callers {
		for _, x := range c.exchanges {
			violations = append(violations, eventually(startTimeout, func() error { return s.checkRunEnded(x.id) }))
			run := s.group.gate.run(x.id)
			line := x.describe(run, s.stopAt)
			s.t.Log(line)
			violations = append(violations, s.checkExchange(x, run, line))
		}
		violations = append(violations, c.checkKept(s.group))
	}
	return errors.Join(violations...)
}

// checkRunEnded returns nil unless a member is still running the statement.
func (s *stopRun) checkRunEnded(id string) error {
	if run := s.group.gate.run(id); run.count > 0 && run.ended.IsZero() {
		return fmt.Errorf("a member is still running %s", id)
	}
	return nil
}

// checkExchange returns an error if a request was cut, or if its result is missing.
func (s *stopRun) checkExchange(x *stopExchange, run memberRun, line string) error {
	switch {
	case x.wasCut(run):
		return errors.New("no whole answer: " + line)
	case x.answered && !x.succeeded() && s.isOwed(x, run):
		return errors.New("the result is missing: " + line)
	}
	return nil
}

// isOwed reports whether a request that was sent in the first half of the grace period
// must get its result: a member finished it before the last sixth, or no member was sent
// it although its transaction was open.
func (s *stopRun) isOwed(x *stopExchange, run memberRun) bool {
	if !x.sent.Before(s.stopAt.Add(transactionStopBound)) {
		return false
	}
	if run.count == 0 {
		return x.inTransaction
	}
	return run.ended.Before(s.stopAt.Add(resultStopBound))
}

// checkAllAnswered returns an error for each request without a whole answer, also for
// those that were sent to a connection that was closed already.
func (s *stopRun) checkAllAnswered() error {
	var violations []error
	for _, c := range s.callers {
		for _, x := range c.exchanges {
			if !x.answered {
				violations = append(violations, errors.New("no whole answer: "+x.describe(s.group.gate.run(x.id), s.stopAt)))
			}
		}
	}
	return errors.Join(violations...)
}
