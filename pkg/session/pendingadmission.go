package session

import (
	"slices"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// pendingAdmissions holds callers that connected after the start of the
// instance but before the configuration or the home of their account is known,
// as when a whole fleet restarts. If they were admitted at once, they would be
// refused as unknown, or for exceeding the rate: while the home is not known, an
// instance may use almost nothing of it.
type pendingAdmissions struct {
	waiting []CallerOpened
	timer   timer
	// over is set when the wait that starts with the first configuration has
	// ended.
	over bool
}

// deferAdmission makes a caller wait if it should, and reports whether it does.
func (e *Engine) deferAdmission(in CallerOpened) bool {
	a := &e.pendingAdmissions
	if e.cfg.Bounds.HomeWait == 0 || e.stopping || e.admittingRemote != nil || !e.shouldDeferAdmission(in) {
		return false
	}
	if len(a.waiting) == 0 && e.catalogue == nil {
		e.timers.Arm(&a.timer.item, e.now.Add(e.cfg.Bounds.HomeWait))
	}
	a.waiting = append(a.waiting, in)
	return true
}

// shouldDeferAdmission reports whether the entry or home of the caller may soon
// be known.
func (e *Engine) shouldDeferAdmission(in CallerOpened) bool {
	if e.catalogue == nil {
		return true
	}
	if e.pendingAdmissions.over {
		return false
	}
	account := e.accountOf(in)
	if account == nil {
		return false
	}
	_, known := e.homes[account.name]
	return !known
}

// accountOf returns the account of a caller that has not been admitted yet; nil
// if it is not known.
func (e *Engine) accountOf(in CallerOpened) *account {
	entry := e.entries[in.Entry]
	if entry == nil {
		return nil
	}
	if entry.account != nil {
		return entry.account
	}
	return e.accountWith(in.Key)
}

// dropPendingAdmission removes a waiting caller that has disconnected.
func (e *Engine) dropPendingAdmission(id CallerID) {
	a := &e.pendingAdmissions
	a.waiting = slices.DeleteFunc(a.waiting, func(in CallerOpened) bool { return in.Caller == id })
}

// startAdmissionWait starts the time limit of the wait at the first
// configuration.
func (e *Engine) startAdmissionWait() {
	if e.cfg.Bounds.HomeWait > 0 {
		e.timers.Arm(&e.pendingAdmissions.timer.item, e.now.Add(e.cfg.Bounds.HomeWait))
	}
}

// retryPendingAdmissions admits the callers that need not wait any more.
func (e *Engine) retryPendingAdmissions() {
	waiting := e.pendingAdmissions.waiting
	e.pendingAdmissions.waiting = nil
	for _, in := range waiting {
		e.callerOpened(in)
	}
}

// endAdmissionWait admits the callers that still wait, or refuses them if there
// is no configuration.
func (e *Engine) endAdmissionWait() {
	a := &e.pendingAdmissions
	a.over = a.over || e.catalogue != nil
	e.timers.Disarm(&a.timer.item)
	waiting := a.waiting
	a.waiting = nil
	for _, in := range waiting {
		e.admitCaller(in)
	}
}

// notConfigured returns the refusal of callers before the first configuration,
// when nothing is known of their entry or key.
func notConfigured() *core.Refusal {
	return core.NotRun(core.ReasonStopping, "this instance has no configuration yet, please reconnect")
}
