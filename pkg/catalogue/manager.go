package catalogue

import (
	"slices"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
)

// Source is the origin of a catalogue.
type Source string

// Sources of a catalogue.
const (
	// SourceWatch and SourceRead are the platform's record.
	SourceWatch Source = "watch"
	SourceRead  Source = "read"
	// SourcePeer is another instance.
	SourcePeer Source = "peer"
	// SourceEdit is an edit written by this instance.
	SourceEdit Source = "edit"
)

// Record is the catalogue at the platform with the record's revision. Catalogue
// is nil and Revision zero if no catalogue has been written yet.
type Record struct {
	Catalogue *Catalogue
	Revision  uint64
}

// Outcome is the result of an edit.
type Outcome string

// Outcomes of an edit. Every edit has exactly one.
const (
	OutcomeAccepted Outcome = "accepted"
	// OutcomeConflict means that another edit was written first, so that this one
	// had no effect.
	OutcomeConflict Outcome = "conflict"
	// OutcomeRejected means that the edit breaks a rule.
	OutcomeRejected Outcome = "rejected"
	// OutcomeNotWritten means that the edit did not reach the record at the
	// platform and had no effect.
	OutcomeNotWritten Outcome = "not written"
	// OutcomeUncertain means that the edit may have been accepted.
	OutcomeUncertain Outcome = "uncertain"
)

// Command is an output of a Manager that its caller has to carry out: Write, Read,
// Adopted or Finished.
type Command interface {
	catalogueCommand()
}

// Write requests a compare-and-swap of the catalogue record at Revision. The
// caller reports the result with Written, Conflict, OutcomeUnknown or NotWritten.
type Write struct {
	EditID    string
	Catalogue *Catalogue
	Revision  uint64
}

// Read requests a read of the catalogue record. The caller reports the result
// with UpdateRecord or ReadFailed.
type Read struct{}

// Adopted publishes the new current catalogue.
type Adopted struct {
	Catalogue *Catalogue
	Source    Source
}

// Finished reports the result of an edit to the operator.
type Finished struct {
	EditID  string
	Outcome Outcome
	// Version is the version that the edit produced, or the current version if the
	// edit was not accepted.
	Version uint64
	// Changes are the lines of Diff for an accepted edit.
	Changes []string
	// Violations are the rules that a rejected edit breaks.
	Violations []Violation
}

func (Write) catalogueCommand()    {}
func (Read) catalogueCommand()     {}
func (Adopted) catalogueCommand()  {}
func (Finished) catalogueCommand() {}

// ManagerSettings are the settings of a Manager.
type ManagerSettings struct {
	// EditTimeout bounds the time of an edit in each state of its chart.
	EditTimeout time.Duration
	// ReadRetry is the delay after a failed read.
	ReadRetry time.Duration
}

// maxPendingEdits bounds the edits that are pending on one instance.
const maxPendingEdits = 16

// Manager determines the current catalogue and carries out the edits submitted to
// this instance, one after the other. It does no I/O and is not safe for
// concurrent use.
type Manager struct {
	settings     ManagerSettings
	chart        *chart.Table[*pendingEdit]
	events       editEvents
	current      *Catalogue
	record       Record
	recordKnown  bool
	pendingEdits []*pendingEdit
	commands     []Command
	now          time.Time
	readPending  bool
	// readDue is when a failed read is retried; zero if none has failed.
	readDue time.Time
}

// NewManager returns a Manager that interprets the chart "configuration". It returns
// a *chart.InvalidError if the chart names an unknown guard, action or timeout.
func NewManager(d *chart.Definition, s ManagerSettings) (*Manager, error) {
	table, err := chart.Compile(d, editRegistry(s))
	if err != nil {
		return nil, err
	}
	return &Manager{settings: s, chart: table, events: resolveEditEvents(table), current: &Catalogue{}}, nil
}

// Current returns the current catalogue, which has version 0 before the first one
// is adopted.
func (m *Manager) Current() *Catalogue {
	return m.current
}

// TakeCommands returns the commands since the previous call, in order.
func (m *Manager) TakeCommands() []Command {
	commands := m.commands
	m.commands = nil
	return commands
}

// Next returns when Tick is due, or false if it is not.
func (m *Manager) Next() (time.Time, bool) {
	var next time.Time
	if len(m.pendingEdits) > 0 {
		next = m.pendingEdits[0].deadline
	}
	if !m.readDue.IsZero() && (next.IsZero() || m.readDue.Before(next)) {
		next = m.readDue
	}
	return next, !next.IsZero()
}

// Tick applies the timeouts that have passed.
func (m *Manager) Tick(now time.Time) {
	m.now = now
	if !m.readDue.IsZero() && !now.Before(m.readDue) {
		m.readDue = time.Time{}
		m.requestRead()
	}
	for len(m.pendingEdits) > 0 && !now.Before(m.pendingEdits[0].deadline) {
		m.fire(m.pendingEdits[0], m.events.timedOut)
	}
}

// Submit starts an edit of an operator, whose result is the command Finished. It
// returns a *BusyError if too many edits are pending. An edit whose ID has been
// accepted before is accepted again without effect, so that an operator can retry
// it.
func (m *Manager) Submit(editID string, edits []Edit, now time.Time) error {
	m.now = now
	if len(m.pendingEdits) >= maxPendingEdits {
		return &BusyError{}
	}
	e := &pendingEdit{manager: m, id: editID, edits: edits, state: m.chart.Initial()}
	e.restartTimeout()
	m.pendingEdits = append(m.pendingEdits, e)
	m.startNextEdit()
	return nil
}

// UpdateRecord handles the platform's record from a read or the watch.
func (m *Manager) UpdateRecord(r Record, source Source, now time.Time) {
	m.now = now
	m.updateRecord(r, source)
	if source == SourceRead {
		m.readPending = false
		m.fireFirst(m.events.recordRead)
	}
	m.startNextEdit()
}

// AdoptFromPeer handles a catalogue from a peer and reports whether it has become
// the current one.
func (m *Manager) AdoptFromPeer(c *Catalogue, now time.Time) bool {
	m.now = now
	return m.adopt(c, SourcePeer)
}

// ReadFailed reports that a Read failed.
func (m *Manager) ReadFailed(now time.Time) {
	m.now = now
	m.readPending = false
	m.readDue = now.Add(m.settings.ReadRetry)
	m.fireFirst(m.events.readFailed)
}

// Written reports that the platform has written the catalogue at the revision.
func (m *Manager) Written(editID string, revision uint64, now time.Time) {
	m.now = now
	e := m.writingEdit(editID)
	if e == nil {
		return
	}
	m.updateRecord(Record{Catalogue: e.next, Revision: revision}, SourceEdit)
	m.fire(e, m.events.written)
}

// Conflict reports that a Write failed because the platform has another record.
func (m *Manager) Conflict(editID string, current Record, now time.Time) {
	m.now = now
	m.updateRecord(current, SourceRead)
	if e := m.writingEdit(editID); e != nil {
		m.fire(e, m.events.conflict)
	}
}

// OutcomeUnknown reports that the response to a Write was lost.
func (m *Manager) OutcomeUnknown(editID string, now time.Time) {
	m.now = now
	if e := m.writingEdit(editID); e != nil {
		e.mayHaveWritten = true
		m.fire(e, m.events.outcomeUnknown)
	}
}

// NotWritten reports that a Write certainly had no effect.
func (m *Manager) NotWritten(editID string, now time.Time) {
	m.now = now
	if e := m.writingEdit(editID); e != nil {
		m.fire(e, m.events.notWritten)
	}
}

// updateRecord keeps the newest record, because a watch may be behind a read, and
// adopts its catalogue.
func (m *Manager) updateRecord(r Record, source Source) {
	if r.Catalogue == nil {
		r.Catalogue = &Catalogue{}
	}
	if m.recordKnown && r.Revision < m.record.Revision {
		return
	}
	m.recordKnown = true
	m.record = r
	m.adopt(r.Catalogue, source)
}

// adopt makes a catalogue of a greater version the current one. An equal or
// smaller version is ignored, whatever its source.
func (m *Manager) adopt(c *Catalogue, source Source) bool {
	if c.Version <= m.current.Version {
		return false
	}
	m.current = c
	m.commands = append(m.commands, Adopted{Catalogue: c, Source: source})
	return true
}

// requestRead requests a read of the record unless one is pending.
func (m *Manager) requestRead() {
	if m.readPending {
		return
	}
	m.readPending = true
	m.commands = append(m.commands, Read{})
}

// writingEdit returns the edit that is being carried out if it has the ID, or nil.
func (m *Manager) writingEdit(editID string) *pendingEdit {
	if len(m.pendingEdits) == 0 || m.pendingEdits[0].id != editID {
		return nil
	}
	return m.pendingEdits[0]
}

// fireFirst applies an event to the edit that is being carried out.
func (m *Manager) fireFirst(event chart.Event) {
	if len(m.pendingEdits) > 0 {
		m.fire(m.pendingEdits[0], event)
	}
}

// startNextEdit starts the first pending edit once the record is known and its
// catalogue is at least as new as the current one.
func (m *Manager) startNextEdit() {
	if len(m.pendingEdits) == 0 {
		return
	}
	if !m.recordKnown || m.record.Catalogue.Version < m.current.Version {
		m.requestRead()
		return
	}
	m.fire(m.pendingEdits[0], m.events.started)
}

// fire applies an event to the edit. It restarts the timeout if the state has
// changed, and starts the next edit if this one has ended.
func (m *Manager) fire(e *pendingEdit, event chart.Event) {
	before := e.state
	m.chart.Fire(e, &e.state, event)
	if m.chart.Final(e.state) {
		m.pendingEdits = slices.DeleteFunc(m.pendingEdits, func(other *pendingEdit) bool { return other == e })
		m.startNextEdit()
		return
	}
	if e.state != before {
		e.restartTimeout()
	}
}
