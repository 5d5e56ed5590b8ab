package session

import "github.com/sassafrasshunt/sassafrasshunt/pkg/core"

// outbox holds the commands that found a full ring. The order within each ring
// is kept.
type outbox struct {
	out     Outputs
	callers []CallerCommand
	targets []TargetCommand
}

// toCaller sends the command to callerio, or holds it while the ring is full.
func (o *outbox) toCaller(c CallerCommand) {
	if len(o.callers) == 0 && o.out.Caller(c) {
		return
	}
	o.callers = append(o.callers, c)
}

// toTarget sends the command to targetio, or holds it while the ring is full.
func (o *outbox) toTarget(c TargetCommand) {
	if len(o.targets) == 0 && o.out.Target(c) {
		return
	}
	o.targets = append(o.targets, c)
}

// flush offers the held commands again and reports whether all were accepted.
func (o *outbox) flush() bool {
	taken := 0
	for taken < len(o.callers) && o.out.Caller(o.callers[taken]) {
		taken++
	}
	o.callers = dropTaken(o.callers, taken)
	taken = 0
	for taken < len(o.targets) && o.out.Target(o.targets[taken]) {
		taken++
	}
	o.targets = dropTaken(o.targets, taken)
	return len(o.callers) == 0 && len(o.targets) == 0
}

// dropTaken removes the first taken items of the list.
func dropTaken[C any](list []C, taken int) []C {
	if taken == 0 {
		return list
	}
	if taken == len(list) {
		clear(list)
		return list[:0]
	}
	return append([]C(nil), list[taken:]...)
}

// reports keeps the newest report of each kind until control has accepted it.
type reports struct {
	floor   *FloorRequest
	confirm *ConfirmRequest
	applied *AppliedRequest
}

func (r *reports) pending() bool {
	return r.floor != nil || r.confirm != nil || r.applied != nil
}

// flush offers the pending reports to control.
func (r *reports) flush(out Outputs) {
	if r.floor != nil && out.Control(*r.floor) {
		r.floor = nil
	}
	if r.confirm != nil && out.Control(*r.confirm) {
		r.confirm = nil
	}
	if r.applied != nil && out.Control(*r.applied) {
		r.applied = nil
	}
}

// requestConfirm requests the confirmation of the position, unless a newer one
// is pending.
func (r *reports) requestConfirm(db core.DatabaseName, p core.Position) {
	if r.confirm == nil || p.After(r.confirm.Position) {
		r.confirm = &ConfirmRequest{Database: db, Position: p}
	}
}

// requestApplied requests notice of the position, unless a newer one is
// pending.
func (r *reports) requestApplied(db core.DatabaseName, p core.Position) {
	if r.applied == nil || p.After(r.applied.Position) {
		r.applied = &AppliedRequest{Database: db, Position: p}
	}
}

// Flush offers the commands again that found a full ring, and reports whether
// none is left. The duty accepts no further input while it returns false.
func (e *Engine) Flush() bool {
	pending := e.pendingReports
	e.pendingReports = nil
	for _, db := range pending {
		db.reportsPending = false
		db.flushReports()
	}
	return e.outbox.flush()
}

// flushReports offers the database's reports to control and schedules another
// attempt if the ring is full.
func (db *database) flushReports() {
	db.reports.flush(db.e.outbox.out)
	if db.reports.pending() && !db.reportsPending {
		db.reportsPending = true
		db.e.pendingReports = append(db.e.pendingReports, db)
	}
}
