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

// pollTimeout is the timeout of a status call to a member that may be suspended.
const pollTimeout = 300 * time.Millisecond

// maxFailoverTime is the longest time without acknowledged writes that the
// specification allows during a failover.
const maxFailoverTime = 10 * time.Second

// cmdExpect waits up to maxFailoverTime for a state:
//
//	expect term N           a running member is the primary of a term of at least N
//	expect writes           a write that starts from now on is acknowledged
//	expect reads            a read succeeds from now on
//	expect seen WHAT CODE   a client got a result such as "read 25006"
func (s *scenario) cmdExpect(args []string) error {
	s.checkUsage(len(args) >= 1, "expect term N, expect writes, expect reads, expect seen WHAT CODE")
	switch args[0] {
	case "term":
		n, err := strconv.Atoi(args[1])
		if err != nil {
			return err
		}
		return eventually(maxFailoverTime, func() error { return s.fleet.checkPrimaryTerm(core.Term(n)) })
	case "writes":
		start := time.Now()
		return eventually(maxFailoverTime, func() error { return s.checkWritesSince(start) })
	case "reads":
		before := s.load.resultCount("read")
		return eventually(maxFailoverTime, func() error {
			if n := s.load.resultCount("read"); n <= before {
				return fmt.Errorf("no read succeeded: %s", s.load.summary())
			}
			return nil
		})
	case "seen":
		result := args[1] + " " + args[2]
		return eventually(maxFailoverTime, func() error {
			if s.load.resultCount(result) == 0 {
				return fmt.Errorf("no client got the result %q: %s", result, s.load.summary())
			}
			return nil
		})
	}
	return errors.New("unknown expectation " + args[0])
}

// checkWritesSince returns nil if a write that started after t was acknowledged.
func (s *scenario) checkWritesSince(t time.Time) error {
	if s.load.acknowledgedSince(t) == 0 {
		return fmt.Errorf("no write was acknowledged in %s: %s", time.Since(t), s.load.summary())
	}
	return nil
}

// checkPrimaryTerm returns nil if a running member is the primary of a term of at
// least minTerm.
func (f *fleet) checkPrimaryTerm(minTerm core.Term) error {
	var statuses []string
	for _, m := range f.members {
		if !m.isRunning() {
			continue
		}
		var status member.Status
		if err := callWithTimeout(pollTimeout, m.statusAddress, "status", struct{}{}, &status); err != nil {
			statuses = append(statuses, fmt.Sprintf("%s: %v", m.id, err))
			continue
		}
		statuses = append(statuses, fmt.Sprintf("%+v", status))
		if status.Role == core.RolePrimary && status.Term >= minTerm {
			return nil
		}
	}
	return fmt.Errorf("no primary of term %d or later: %s", minTerm, statuses)
}

// cmdCheck runs a check after the load has stopped:
//
//	check history   the history agrees with the log of the current primary
//	check gap D     all gaps between acknowledged writes were shorter than D
//	check term N    the current term is exactly N
//	check clean     no client got an error
func (s *scenario) cmdCheck(args []string) error {
	s.checkUsage(len(args) >= 1, "check history|gap D|term N|clean")
	switch args[0] {
	case "history":
		return s.load.check()
	case "gap":
		limit, err := time.ParseDuration(args[1])
		if err != nil {
			return err
		}
		if gap := s.load.longestWriteGap(); gap >= limit {
			return fmt.Errorf("the longest gap between acknowledged writes was %s", gap)
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
	state, err := s.fleet.awaitAgreement()
	if err != nil {
		return err
	}
	if state.primaryStatus.Term != core.Term(n) {
		return fmt.Errorf("the term is %d, expected %d", state.primaryStatus.Term, n)
	}
	return nil
}

// checkClean returns an error if any operation of a client failed.
func (h *history) checkClean() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	for result, n := range h.counts {
		if result != "write" && result != "read" && result != "constant" {
			return fmt.Errorf("%d operations had the result %q", n, result)
		}
	}
	return nil
}

// groupRecord is the part of the platform's group record that the scripts need.
type groupRecord struct {
	Term    uint64 `json:"term"`
	Phase   string `json:"phase"`
	Decider string `json:"decider"`
}

// readGroupRecord reads the record of the database's group from the platform.
func (f *fleet) readGroupRecord() (g groupRecord, err error) {
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

// cmdClaimant waits until an instance has claimed a term, and kills or freezes that
// instance before its claim is completed: claimant TERM kill|freeze. It returns an
// error if the claim was already completed when it was read.
func (s *scenario) cmdClaimant(args []string) error {
	s.checkUsage(len(args) == 2, "claimant term kill|freeze")
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
	var record groupRecord
	err = eventually(maxFailoverTime, func() (err error) {
		if record, err = s.fleet.readGroupRecord(); err == nil && record.Term < uint64(term) {
			err = fmt.Errorf("the newest claim is %+v", record)
		}
		return err
	})
	if err != nil {
		return err
	}
	if record.Phase == "serving" {
		return fmt.Errorf("the claim %+v was completed before its holder could be stopped", record)
	}
	name := names[record.Decider]
	s.ts.Logf("%s holds the claim %+v", name, record)
	if args[1] == "kill" {
		return s.cmdKill([]string{name})
	}
	return s.cmdFreeze([]string{name})
}
