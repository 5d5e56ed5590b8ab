package catalogue

import (
	"errors"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
)

// pendingEdit is one submitted edit. It is driven by the chart "configuration".
type pendingEdit struct {
	manager  *Manager
	id       string
	edits    []Edit
	state    chart.State
	deadline time.Time
	// base is the record from which next was computed.
	base       Record
	next       *Catalogue
	violations []Violation
	// mayHaveWritten is set once a response to a write was lost.
	mayHaveWritten bool
}

// editEvents are the events of the chart "configuration".
type editEvents struct {
	started, written, conflict, outcomeUnknown   chart.Event
	notWritten, recordRead, readFailed, timedOut chart.Event
}

func resolveEditEvents(t *chart.Table[*pendingEdit]) editEvents {
	return editEvents{
		started:        t.Event("started"),
		written:        t.Event("written"),
		conflict:       t.Event("conflict"),
		outcomeUnknown: t.Event("outcome_unknown"),
		notWritten:     t.Event("not_written"),
		recordRead:     t.Event("record_read"),
		readFailed:     t.Event("read_failed"),
		timedOut:       t.Event(chart.TimeoutEvent),
	}
}

// editRegistry returns the guards, actions and timeouts of the chart
// "configuration".
func editRegistry(s ManagerSettings) chart.Registry[*pendingEdit] {
	return chart.Registry[*pendingEdit]{
		Guards: map[string]func(*pendingEdit) bool{
			"already_accepted":  (*pendingEdit).inRecord,
			"valid":             (*pendingEdit).computeNext,
			"contains_edit":     (*pendingEdit).inRecord,
			"record_unchanged":  (*pendingEdit).recordUnchanged,
			"history_too_short": (*pendingEdit).historyTooShort,
			"may_have_written":  func(e *pendingEdit) bool { return e.mayHaveWritten },
		},
		Actions: map[string]func(*pendingEdit){
			"write":              (*pendingEdit).write,
			"read":               func(e *pendingEdit) { e.manager.requestRead() },
			"report_accepted":    (*pendingEdit).reportAccepted,
			"report_conflict":    func(e *pendingEdit) { e.report(OutcomeConflict) },
			"report_rejected":    func(e *pendingEdit) { e.report(OutcomeRejected) },
			"report_not_written": func(e *pendingEdit) { e.report(OutcomeNotWritten) },
			"report_uncertain":   func(e *pendingEdit) { e.report(OutcomeUncertain) },
		},
		Timeouts: map[string]time.Duration{"edit": s.EditTimeout},
	}
}

func (e *pendingEdit) restartTimeout() {
	e.deadline = e.manager.now.Add(e.manager.chart.Timeout(e.state))
}

// computeNext computes the next catalogue and reports whether it obeys the rules.
func (e *pendingEdit) computeNext() bool {
	e.base = e.manager.record
	next, err := Apply(e.base.Catalogue, e.id, e.edits...)
	var invalid *CheckError
	if errors.As(err, &invalid) {
		e.violations = invalid.Violations
		return false
	}
	e.next = next
	return true
}

// inRecord reports whether the newest record contains this edit.
func (e *pendingEdit) inRecord() bool {
	_, ok := e.manager.record.Catalogue.EditVersion(e.id)
	return ok
}

// recordUnchanged reports whether the record is still the one that next was
// computed from, so that an earlier write has had no effect yet.
func (e *pendingEdit) recordUnchanged() bool {
	return e.manager.record.Revision == e.base.Revision
}

// historyTooShort reports whether so many edits have followed that this one may
// have been dropped from RecentEdits.
func (e *pendingEdit) historyTooShort() bool {
	c := e.manager.record.Catalogue
	return c.Version-e.base.Catalogue.Version > uint64(len(c.RecentEdits))
}

func (e *pendingEdit) write() {
	e.manager.commands = append(e.manager.commands, Write{EditID: e.id, Catalogue: e.next, Revision: e.base.Revision})
}

// reportAccepted reports the version that the edit produced. There are no changes
// to list if the edit had already been accepted when it was submitted.
func (e *pendingEdit) reportAccepted() {
	version, _ := e.manager.record.Catalogue.EditVersion(e.id)
	var changes []string
	if e.next != nil {
		changes = Diff(e.base.Catalogue, e.next)
	}
	e.manager.commands = append(e.manager.commands, Finished{
		EditID:  e.id,
		Outcome: OutcomeAccepted,
		Version: version,
		Changes: changes,
	})
}

func (e *pendingEdit) report(outcome Outcome) {
	e.manager.commands = append(e.manager.commands, Finished{
		EditID:     e.id,
		Outcome:    outcome,
		Version:    e.manager.current.Version,
		Violations: e.violations,
	})
}
