package e2e

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
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
	// keys has, for each instance, the keys of the accounts whose home it is. The
	// callers take them in turn.
	keys [][]string
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
	// SIGTERM: zero if it is not held, and never if it is held until the grace
	// period is over and all instances have ended.
	memberUntil time.Duration
	// mayBeClosed is set if the instance may have closed the connection before.
	mayBeClosed bool
}

// never is the memberUntil of a statement that is not finished during the stop.
const never = time.Duration(-1)

// stopScriptLead is the time between the start of the scripts and the SIGTERM.
const stopScriptLead = 500 * time.Millisecond

// Numbers of accounts in all, and at least at each home. A single statement waits for
// the connection of its account while a held one keeps it, so the single statements of a
// test belong to different accounts.
const (
	stopAccounts     = 12
	stopHomeAccounts = 4
)

// newStopRun starts two instances and sets the time limit of a statement.
func newStopRun(t *testing.T, timeout time.Duration) *stopRun {
	s := &stopRun{hostedFleet: startHostedFleet(t, 2)}
	t.Cleanup(s.group.gate.releaseAll)
	// No statement waits for a slot or a connection.
	s.group.slots = 64
	for _, m := range s.group.members {
		m.register()
	}
	config := s.configuration(2)
	config["routes"] = []any{map[string]any{"database": "ledger", "backend": "db", "type": "primary", "priority": 0, "timeoutMs": timeout.Milliseconds()}}
	var tenants []any
	for i := range stopAccounts {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("acct%d", i), "apiKeys": []string{fmt.Sprintf("key-%d", i)}, "ratePerS": hostedRate, "burst": hostedRate})
	}
	config["tenants"] = tenants
	config["backendPools"] = []any{map[string]any{"name": "db", "maxConns": 1000, "syncReplicas": 1}}
	// Transactions end because of the stop, not because they are idle.
	config["limits"] = map[string]any{"txIdleMs": 20000}
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
	s.keys = make([][]string, len(s.instances))
	for i := range s.instances {
		homes, err := s.homes(i)
		if err != nil {
			return err
		}
		for account, home := range homes {
			if i == home {
				s.keys[home] = append(s.keys[home], "key-"+strings.TrimPrefix(account, "acct"))
			}
		}
		if len(homes) != stopAccounts || len(s.keys[i]) < stopHomeAccounts {
			return fmt.Errorf("instance %d knows the homes of %d accounts and is the home of %d", i, len(homes), len(s.keys[i]))
		}
	}
	return nil
}

// homes returns the number of the instance that is the home of each account, according
// to the status page of instance i.
func (s *stopRun) homes(i int) (map[string]int, error) {
	response, err := http.Get("http://" + s.instances[i].metricsAddress + "/status")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var status struct {
		Homes []struct {
			Account string `json:"account"`
			Home    string `json:"home"`
		} `json:"homes"`
	}
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		return nil, err
	}
	homes := map[string]int{}
	for _, h := range status.Homes {
		for home := range s.instances {
			if h.Home == fmt.Sprintf("n%d", home) {
				homes[h.Account] = home
			}
		}
	}
	return homes, nil
}

// plan sets the time of the SIGTERM. Callers that are added afterwards follow their
// scripts from now on.
func (s *stopRun) plan() { s.stopAt = time.Now().Add(stopScriptLead) }

// at waits until a time after the SIGTERM.
func (s *stopRun) at(after time.Duration) { time.Sleep(time.Until(s.stopAt.Add(after))) }

// connect connects a caller of an account whose home is the given instance, and sends
// requests that must succeed before the stop.
func (s *stopRun) connect(instance, home int, name string, before ...string) *stopCaller {
	key := s.keys[home][len(s.callers)%len(s.keys[home])]
	c, err := connectStopCaller(s.instances[instance].callerAddress, key, name, s.group.gate)
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
			x.mayBeClosed = step.mayBeClosed
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
	s.at(hostedGracePeriod)
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
// those that were sent to a connection that was closed already. Only requests that allow
// it may find the connection closed, and not before open transactions may be ended.
func (s *stopRun) checkAllAnswered() error {
	var violations []error
	for _, c := range s.callers {
		for _, x := range c.exchanges {
			allowed := x.mayBeClosed && !x.closedAt.Before(s.stopAt.Add(transactionStopBound))
			if !x.answered && !allowed {
				violations = append(violations, errors.New("no whole answer: "+x.describe(s.group.gate.run(x.id), s.stopAt)))
			}
		}
	}
	return errors.Join(violations...)
}

// checkAllRun returns an error for each request that no member has run, except BEGIN.
func (s *stopRun) checkAllRun() error {
	var violations []error
	for _, c := range s.callers {
		for _, x := range c.exchanges {
			if run := s.group.gate.run(x.id); run.count == 0 && x.text != "BEGIN" {
				violations = append(violations, errors.New("not run: "+x.describe(run, s.stopAt)))
			}
		}
	}
	return errors.Join(violations...)
}
