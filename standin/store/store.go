// Package store holds the state of a stand-in database member: its log, its
// rows, its term and its role. It performs no I/O and takes the time as an
// argument.
package store

import (
	"fmt"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Config describes a member at its start.
type Config struct {
	Member core.MemberID
	// Primary makes the member the primary of Term.
	Primary bool
	Term    core.Term
	// Follow is the status address of the primary that a replica follows.
	Follow string
	// ReceiveDelay passes before a replica counts an entry as received.
	ReceiveDelay time.Duration
	// ApplyLag passes between receiving and applying an entry.
	ApplyLag time.Duration
	// Journal is told of each durable change before it is answered; nil for none.
	Journal func(JournalRecord)
}

// TermError refuses a command of a lower term than the accepted one.
type TermError struct {
	Accepted core.Term
}

func (e *TermError) Error() string {
	return fmt.Sprintf("term is too low; accepted term is %d", e.Accepted)
}

// RoleError refuses a command that the member's role does not allow.
type RoleError struct {
	Role    core.Role
	Command string
}

func (e *RoleError) Error() string {
	return fmt.Sprintf("%s is not possible for a %s member", e.Command, e.Role)
}

// command carries the arguments of the event that is being fired.
type command struct {
	name    string
	term    core.Term
	address string
	start   core.LSN
	now     time.Time
	err     error
}

// Store is the state of one member. It belongs to one thread.
type Store struct {
	config    Config
	table     *chart.Table[*Store]
	events    roleEvents
	state     chart.State
	term      core.Term
	primary   string
	log       Log
	rows      Rows
	applied   core.LSN
	applyLag  time.Duration
	incoming  []timedEntry
	unapplied []timedEntry
	// verified is set when the primary of the term has compared the logs.
	logVerified bool
	lastContact time.Time
	// heartbeatDue is set by the role chart.
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

// Interval returns how long the role may last before Tick is due.
func (s *Store) TickInterval() time.Duration {
	return s.table.Timeout(s.state)
}

// Tick is called at the end of each interval. It reports whether a primary
// answers its waiting replicas now.
func (s *Store) Tick() bool {
	s.heartbeatDue = false
	s.table.Fire(s, &s.state, s.events.timedOut)
	return s.heartbeatDue
}

// Fence accepts term and stops writes and replication of lower terms. It
// returns a *TermError for a lower term. A fence of the accepted term has no
// effect, so that a repeated message cannot stop the new primary.
func (s *Store) Fence(term core.Term, now time.Time) error {
	return s.fire(s.events.fence, command{name: "fence", term: term, now: now})
}

// Promote makes a fenced member the primary of term. It returns a *TermError
// for a lower term and a *RoleError for a member that is not fenced at term.
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

// Status describes the member.
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
		status.PrimarySilence = max(now.Sub(s.lastContact), 0)
	}
	return status
}

// Confirmed reports whether the member holds the log of term up to received
// and has applied it up to applied. It returns a *TermError when the member
// accepted a later term. A member that has not compared its log with the
// primary of term confirms nothing, because its tail may be another one.
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

// Applied returns the end of the log that reads see.
func (s *Store) Applied() core.LSN {
	return s.applied
}
