package e2e

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/standin/member"
)

// pollBound bounds a question to a member that may be stopped.
const pollBound = 300 * time.Millisecond

// failoverBound is the bound of the write gap in the specification.
const failoverBound = 10 * time.Second

// cmdExpect waits for a state:
//
//	expect term N      a living member is the primary of a term of at least N
//	expect writes      a write that begins now is acknowledged within 10 s
//	expect reads       a read is answered from now on
//	expect seen CODE   the clients were answered with "read 25006" or the like
func (s *scenario) cmdExpect(args []string) error {
	s.usage(len(args) >= 1, "expect term N, expect writes, expect seen WHAT CODE")
	switch args[0] {
	case "term":
		n, err := strconv.Atoi(args[1])
		if err != nil {
			return err
		}
		return eventually(failoverBound, func() error { return s.fleet.hasTerm(core.Term(n)) })
	case "writes":
		now := time.Now()
		return eventually(failoverBound, func() error { return s.writesSince(now) })
	case "reads":
		before := s.load.total("read")
		return eventually(failoverBound, func() error {
			if n := s.load.total("read"); n <= before {
				return fmt.Errorf("no read was answered: %s", s.load.summary())
			}
			return nil
		})
	case "seen":
		what := args[1] + " " + args[2]
		return eventually(failoverBound, func() error {
			if s.load.total(what) == 0 {
				return fmt.Errorf("no client has seen %q: %s", what, s.load.summary())
			}
			return nil
		})
	}
	return errors.New("unknown expectation " + args[0])
}

func (s *scenario) writesSince(t time.Time) error {
	if s.load.acknowledgedSince(t) == 0 {
		return fmt.Errorf("no write was acknowledged in %s: %s", time.Since(t), s.load.summary())
	}
	return nil
}

func (f *fleet) hasTerm(n core.Term) error {
	var seen []string
	for _, m := range f.members {
		if !m.alive() {
			continue
		}
		var status member.Status
		if err := callWithin(pollBound, m.status, "status", struct{}{}, &status); err != nil {
			seen = append(seen, fmt.Sprintf("%s: %v", m.id, err))
			continue
		}
		seen = append(seen, fmt.Sprintf("%+v", status))
		if status.Role == core.RolePrimary && status.Term >= n {
			return nil
		}
	}
	return fmt.Errorf("no primary of term %d: %s", n, seen)
}

// cmdCheck checks after the load has stopped:
//
//	check history   the history agrees with the surviving log
//	check gap D     no gap between acknowledged writes was longer
//	check term N    the term is exactly N
//	check clean     no client saw an error
func (s *scenario) cmdCheck(args []string) error {
	s.usage(len(args) >= 1, "check history|gap D|term N|clean")
	switch args[0] {
	case "history":
		return s.load.check()
	case "gap":
		bound, err := time.ParseDuration(args[1])
		if err != nil {
			return err
		}
		if gap := s.load.gap(); gap >= bound {
			return fmt.Errorf("no write was acknowledged for %s", gap)
		}
		return nil
	case "term":
		return s.checkTerm(args[1])
	case "clean":
		return s.load.checkClean()
	}
	return errors.New("unknown check " + args[0])
}

func (s *scenario) checkTerm(text string) error {
	n, err := strconv.Atoi(text)
	if err != nil {
		return err
	}
	survivors, err := s.fleet.settle()
	if err != nil {
		return err
	}
	if survivors.status.Term != core.Term(n) {
		return fmt.Errorf("the term is %d, expected %d", survivors.status.Term, n)
	}
	return nil
}

// checkClean reports answers other than a result.
func (h *history) checkClean() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	for what, n := range h.counts {
		if what != "write" && what != "read" && what != "constant" {
			return fmt.Errorf("%d times %q", n, what)
		}
	}
	return nil
}

// groupRecord is the part of the platform's group record that the scenarios need.
type groupRecord struct {
	Term    uint64 `json:"term"`
	Phase   string `json:"phase"`
	Decider string `json:"decider"`
}

func (f *fleet) group() (g groupRecord, err error) {
	response, err := http.Get("http://" + f.platformAddress + "/kv/group/" + database)
	if err != nil {
		return g, err
	}
	defer response.Body.Close()
	var record struct {
		Value json.RawMessage `json:"value"`
	}
	if err := json.NewDecoder(response.Body).Decode(&record); err != nil {
		return g, err
	}
	return g, json.Unmarshal(record.Value, &g)
}

// cmdClaimant waits for a claim of a term and kills or freezes the instance
// that has made it, before the claim is completed: claimant TERM kill|freeze.
func (s *scenario) cmdClaimant(args []string) error {
	s.usage(len(args) == 2, "claimant term kill|freeze")
	term, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	names := map[string]string{}
	for i, n := range s.fleet.instances {
		status, err := s.fleet.status(i)
		if err != nil {
			return err
		}
		names[string(status.Instance)] = n.name
	}
	var group groupRecord
	err = eventually(failoverBound, func() (err error) {
		if group, err = s.fleet.group(); err == nil && group.Term < uint64(term) {
			err = fmt.Errorf("the claim is %+v", group)
		}
		return err
	})
	if err != nil {
		return err
	}
	if group.Phase == "serving" {
		return fmt.Errorf("the claim %+v was completed too early for this scenario", group)
	}
	name := names[group.Decider]
	s.ts.Logf("%s holds the claim %+v", name, group)
	if args[1] == "kill" {
		return s.cmdKill([]string{name})
	}
	return s.cmdFreeze([]string{name})
}
