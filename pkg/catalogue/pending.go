package catalogue

import (
	"errors"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
)

// pendingEdit is one edit on its way, the subject of the chart "configuration".
type pendingEdit struct {
	k        *Keeper
	id       string
	edits    []Edit
	state    chart.State
	deadline time.Time
	// base is the record from which next was computed.
	base   Record
	next   *Catalogue
	faults []Fault
	// mayHaveWritten is set once a response to a write was lost.
	mayHaveWritten bool
}

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

func editRegistry(s KeeperSettings) chart.Registry[*pendingEdit] {
	return chart.Registry[*pendingEdit]{
		Guards: map[string]func(*pendingEdit) bool{
			"repeated":          (*pendingEdit).accepted,
			"valid":             (*pendingEdit).valid,
			"contains_edit":     (*pendingEdit).accepted,
			"unchanged":         (*pendingEdit).unchanged,
			"history_too_short": (*pendingEdit).historyTooShort,
			"may_have_written":  func(e *pendingEdit) bool { return e.mayHaveWritten },
		},
		Actions: map[string]func(*pendingEdit){
			"write":              (*pendingEdit).write,
			"read":               func(e *pendingEdit) { e.k.read() },
			"report_accepted":    (*pendingEdit).reportAccepted,
			"report_conflict":    func(e *pendingEdit) { e.report(OutcomeConflict) },
			"report_rejected":    func(e *pendingEdit) { e.report(OutcomeRejected) },
			"report_not_written": func(e *pendingEdit) { e.report(OutcomeNotWritten) },
			"report_uncertain":   func(e *pendingEdit) { e.report(OutcomeUncertain) },
		},
		Timeouts: map[string]time.Duration{"edit": s.EditTimeout},
	}
}

func (e *pendingEdit) arm() {
	e.deadline = e.k.now.Add(e.k.chart.Timeout(e.state))
}

// valid computes the next catalogue and tells whether it obeys the rules.
func (e *pendingEdit) valid() bool {
	e.base = e.k.record
	next, err := Apply(e.base.Catalogue, e.id, e.edits...)
	var invalid *CheckError
	if errors.As(err, &invalid) {
		e.faults = invalid.Faults
		return false
	}
	e.next = next
	return true
}

// accepted tells whether the newest record contains this edit.
func (e *pendingEdit) accepted() bool {
	_, ok := e.k.record.Catalogue.EditVersion(e.id)
	return ok
}

func (e *pendingEdit) unchanged() bool {
	return e.k.record.Revision == e.base.Revision
}

// historyTooShort tells whether so many edits followed that this one might have
// left the list of recent ones.
func (e *pendingEdit) historyTooShort() bool {
	c := e.k.record.Catalogue
	return c.Version-e.base.Catalogue.Version > uint64(len(c.RecentEdits))
}

func (e *pendingEdit) write() {
	e.k.commands = append(e.k.commands, Write{EditID: e.id, Catalogue: e.next, Revision: e.base.Revision})
}

func (e *pendingEdit) reportAccepted() {
	version, _ := e.k.record.Catalogue.EditVersion(e.id)
	var changes []string
	if e.next != nil {
		changes = Diff(e.base.Catalogue, e.next)
	}
	e.k.commands = append(e.k.commands, Finished{
		EditID:  e.id,
		Outcome: OutcomeAccepted,
		Version: version,
		Changes: changes,
	})
}

func (e *pendingEdit) report(o Outcome) {
	e.k.commands = append(e.k.commands, Finished{
		EditID:  e.id,
		Outcome: o,
		Version: e.k.inForce.Version,
		Faults:  e.faults,
	})
}
