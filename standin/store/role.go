package store

import (
	"embed"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

//go:embed charts/*.toml
var chartFiles embed.FS

const roleChartPath = "charts/role.toml"

// HeartbeatInterval is the longest time that a primary leaves the pull of a replica
// without a response. It is well below the detection bound of 600 ms.
const HeartbeatInterval = 50 * time.Millisecond

// idleTickInterval is the interval of Tick for a member that is not primary; such a
// tick has no effect.
const idleTickInterval = 100 * time.Millisecond

// roleEvents are the events of the role chart.
type roleEvents struct {
	fence, promote, follow, timedOut chart.Event
}

func compileRole() (*chart.Table[*Store], roleEvents, error) {
	text, err := chartFiles.ReadFile(roleChartPath)
	if err != nil {
		return nil, roleEvents{}, err
	}
	definition, err := chart.Parse(roleChartPath, text)
	if err != nil {
		return nil, roleEvents{}, err
	}
	table, err := chart.Compile(definition, roleRegistry())
	if err != nil {
		return nil, roleEvents{}, err
	}
	events := roleEvents{
		fence:    table.Event("fence"),
		promote:  table.Event("promote"),
		follow:   table.Event("follow"),
		timedOut: table.Event(chart.TimeoutEvent),
	}
	return table, events, nil
}

func roleRegistry() chart.Registry[*Store] {
	return chart.Registry[*Store]{
		Guards: map[string]func(*Store) bool{
			"is_newer_term":    func(s *Store) bool { return s.command.term > s.term },
			"is_accepted_term": func(s *Store) bool { return s.command.term == s.term },
			"is_same_primary":  func(s *Store) bool { return s.command.address == s.primary },
		},
		Actions: map[string]func(*Store){
			"accept_term":        (*Store).acceptTerm,
			"discard_incoming":   (*Store).discardIncoming,
			"begin_term":         (*Store).beginTerm,
			"follow_primary":     (*Store).followPrimary,
			"reject_command":     (*Store).rejectCommand,
			"mark_heartbeat_due": func(s *Store) { s.heartbeatDue = true },
		},
		Timeouts: map[string]time.Duration{
			"heartbeat": HeartbeatInterval,
			"idle_tick": idleTickInterval,
		},
	}
}

// acceptTerm accepts the term of the command and forgets the former primary.
func (s *Store) acceptTerm() {
	s.term = s.command.term
	s.logVerified = false
	s.primary = ""
}

// discardIncoming discards the entries that are not yet received and forgets the
// primary that sent them.
func (s *Store) discardIncoming() {
	s.incoming = nil
	s.logVerified = false
	s.primary = ""
}

// beginTerm makes the member the primary of its term. It applies the whole log,
// because a primary must serve the rows as of its last entry.
func (s *Store) beginTerm() {
	s.primary = ""
	s.applyThrough(s.log.End())
	s.unapplied = nil
	s.log.BeginTerm(s.term)
	s.appendTermStart()
}

// appendTermStart adds an entry without changes, like the record with which
// PostgreSQL begins a new timeline. It puts the new term into the log before the
// first write; without it, a replica of an idle primary could not be recognized
// as up to date.
func (s *Store) appendTermStart() {
	s.appendEntry(Entry{Term: s.term, LSN: s.log.End() + entryOverhead})
	s.applyThrough(s.log.End())
}

// followPrimary makes the member a replica of the commanded primary.
func (s *Store) followPrimary() {
	s.primary = s.command.address
	s.lastContact = s.command.now
	s.log.truncateOlderTerms(s.term, s.command.start)
	s.handleTruncation()
}

func (s *Store) rejectCommand() {
	s.command.err = &RoleError{Role: core.Role(s.table.StateName(s.state)), Command: s.command.name}
}
