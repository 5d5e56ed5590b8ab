// Package store implements the state of a stand-in database member: its log, its
// rows, its term and its role. It performs no I/O and takes the time as an
// argument.
package store

import (
	"fmt"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Config is the initial configuration of a member.
type Config struct {
	Member core.MemberID
	// Primary makes the member the primary of Term.
	Primary bool
	Term    core.Term
	// Follow is the status address of the primary that a replica follows.
	Follow string
	// ReceiveDelay is the time until a replica counts an entry as received.
	ReceiveDelay time.Duration
	// ApplyLag is the time between receiving and applying an entry.
	ApplyLag time.Duration
	// Journal is called with each durable change before the change is
	// confirmed; nil for none.
	Journal func(JournalRecord)
}

// TermError rejects a command whose term is lower than the accepted one.
type TermError struct {
	Accepted core.Term
}

func (e *TermError) Error() string {
	return fmt.Sprintf("term is too low; accepted term is %d", e.Accepted)
}

// RoleError rejects a command that the member's role does not allow.
type RoleError struct {
	Role    core.Role
	Command string
}

func (e *RoleError) Error() string {
	return fmt.Sprintf("%s is not possible for a %s member", e.Command, e.Role)
}

// command holds the arguments and the error of the event that is being fired.
type command struct {
	name    string
	term    core.Term
	address string
	start   core.LSN
	now     time.Time
	err     error
}

// Store is the state of one member. It is not safe for concurrent use.
type Store struct {
	config   Config
	table    *chart.Table[*Store]
	events   roleEvents
	state    chart.State
	term     core.Term
	primary  string
	log      Log
	rows     Rows
	applied  core.LSN
	applyLag time.Duration
	// incoming holds the entries that are not yet received, unapplied those that
	// are received and not yet applied.
	incoming  []timedEntry
	unapplied []timedEntry
	// logVerified is set when the primary of the term has found this log to be a
	// prefix of its own.
	logVerified bool
	lastContact time.Time
	// heartbeatDue is set by the role chart when a primary must respond to
	// waiting replicas.
	heartbeatDue bool
	command      command
}

// New returns the state of a member that starts with an empty log. It returns
// the error of the role chart when that is not valid.
func New(config Config, now time.Time) (*Store, error) {
	s := &Store{config: config, term: config.Term, primary: config.Follow, lastContact: now}
	s.applyLag = config.ApplyLag
	s.rows = NewRows()
	table, events, err := compileRole()
	if err != nil {
		return nil, err
	}
	s.table, s.events = table, events
	s.state = table.Initial()
	if config.Primary {
		s.state = table.StateID(string(core.RolePrimary))
		s.primary = ""
		s.log.BeginTerm(config.Term)
		s.appendTermStart()
	}
	return s, nil
}

// Role returns the current role.
func (s *Store) Role() core.Role {
	return core.Role(s.table.StateName(s.state))
}

// Term returns the newest accepted term.
func (s *Store) Term() core.Term {
	return s.term
}

// Member returns the member's identity.
func (s *Store) Member() core.MemberID {
	return s.config.Member
}

// Writable reports whether the member accepts writes.
func (s *Store) Writable() bool {
	return s.Role() == core.RolePrimary
}

// Primary returns the status address of the primary that the member follows,
// empty when it follows none.
func (s *Store) Primary() string {
	return s.primary
}

// TickInterval returns the time until Tick must be called in the current role.
func (s *Store) TickInterval() time.Duration {
	return s.table.Timeout(s.state)
}

// Tick must be called every TickInterval. It reports whether a primary has to
// respond to its waiting replicas now.
func (s *Store) Tick() bool {
	s.heartbeatDue = false
	s.table.Fire(s, &s.state, s.events.timedOut)
	return s.heartbeatDue
}

// Fence accepts term and stops writes and replication of lower terms. It
// returns a *TermError for a lower term. Fencing at the accepted term has no
// effect, so a duplicate message cannot stop the new primary.
func (s *Store) Fence(term core.Term, now time.Time) error {
	return s.fire(s.events.fence, command{name: "fence", term: term, now: now})
}

// Promote makes a fenced member the primary of term. It returns a *TermError
// for a lower term and a *RoleError when the member is not fenced at term.
func (s *Store) Promote(term core.Term, now time.Time) error {
	return s.fire(s.events.promote, command{name: "promote", term: term, now: now})
}

// Follow makes the member a replica of the primary of term at the status
// address; entries of older terms beyond start are dropped. It returns a
// *TermError for a lower term and a *RoleError when the member is the primary
// of this term.
func (s *Store) Follow(term core.Term, address string, start core.LSN, now time.Time) error {
	return s.fire(s.events.follow, command{name: "follow", term: term, address: address, start: start, now: now})
}

// fire runs a command through the role chart and journals the new state.
func (s *Store) fire(event chart.Event, c command) error {
	if c.term < s.term {
		return &TermError{Accepted: s.term}
	}
	s.command = c
	s.table.Fire(s, &s.state, event)
	if s.command.err == nil {
		s.journalState()
	}
	return s.command.err
}

// Status returns the role, the term and the log positions of the member.
func (s *Store) Status(now time.Time) core.MemberStatus {
	status := core.MemberStatus{
		Member:   s.config.Member,
		Role:     s.Role(),
		Term:     s.term,
		LogTerm:  s.log.LastTerm(),
		Received: s.log.End(),
		Applied:  s.applied,
		Terms:    s.log.Terms(),
	}
	if !s.Writable() {
		status.PrimaryUnresponsiveFor = max(now.Sub(s.lastContact), 0)
	}
	return status
}

// Confirmed reports whether the member holds the log of term up to received
// and has applied it up to applied. It returns a *TermError when the member
// accepted a later term. A member whose log the primary of term has not verified
// confirms nothing, because the end of its log may differ from the primary's.
func (s *Store) Confirmed(term core.Term, received, applied core.LSN) (bool, error) {
	if term < s.term {
		return false, &TermError{Accepted: s.term}
	}
	if term != s.term || !(s.Writable() || s.logVerified) {
		return false, nil
	}
	return s.log.End() >= received && s.applied >= applied, nil
}

// Position returns the end of the log in the accepted term.
func (s *Store) Position() core.Position {
	return core.Position{Term: s.term, LSN: s.log.End()}
}

// Applied returns the log position up to which reads see the changes.
func (s *Store) Applied() core.LSN {
	return s.applied
}
