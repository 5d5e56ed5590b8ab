package session

import (
	"slices"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// At a planned stop the home of an account moves to another instance. The old home first
// stops admitting requests of the account: they wait as statements. Once the new home has
// taken over, the old one forwards them, and the requests that other instances still send
// to it. The account's tokens go along, so that it has them at one home only.

// homeMove is a step of the move of an account's home.
type homeMove interface {
	Input
	apply(*Engine)
}

// HoldAccount makes new requests of the account wait. AccountHeld answers it.
type HoldAccount struct {
	Account core.AccountName
}

// ReleaseAccount ends the wait of the account's requests. They run wherever the last
// HomesUpdate says.
type ReleaseAccount struct {
	Account core.AccountName
	// Tokens are given back to the account if the home has not moved.
	Tokens float64
	// Forward is set if the home has moved. Requests that other instances still send here
	// are then passed on to it.
	Forward bool
}

// TakeTokens gives the account, whose home has moved here, the tokens that it had at the
// old home.
type TakeTokens struct {
	Account core.AccountName
	Tokens  float64
}

func (HoldAccount) sessionInput()    {}
func (ReleaseAccount) sessionInput() {}
func (TakeTokens) sessionInput()     {}

// AccountHeld reports that no request of the account is admitted any more.
type AccountHeld struct {
	Account core.AccountName
	// Tokens are those that the account had left. They are gone here.
	Tokens float64
}

func (AccountHeld) controlReport() {}

// heldStatement is a statement that waits for the move of its account's home.
type heldStatement struct {
	statement *statement
	sequence  uint64
}

// apply implements homeMove. If control's ring is full the report is lost, and the fleet
// duty gives the move up.
func (in HoldAccount) apply(e *Engine) {
	held := AccountHeld{Account: in.Account}
	if a := e.accounts[in.Account]; a != nil {
		a.moving = true
		a.bucket.Refill(e.now, e.shareValidUntil)
		held.Tokens, a.bucket.Tokens = a.bucket.Tokens, 0
	}
	e.outbox.out.Control(held)
}

// apply implements homeMove.
func (in ReleaseAccount) apply(e *Engine) {
	a := e.accounts[in.Account]
	if a == nil || !a.moving {
		return
	}
	a.moving, a.forwards = false, in.Forward
	// What has accrued during the wait belongs to the time of the home that it moved to.
	a.bucket.Refill(e.now, e.shareValidUntil)
	a.bucket.Tokens = min(in.Tokens, a.bucket.Burst)
	e.armTokenTimer(a)
	held := a.held
	a.held = nil
	for _, h := range held {
		if h.statement.active && h.statement.sequence == h.sequence {
			h.statement.place()
		}
	}
}

// apply implements homeMove. The tokens are not added to those that a change of the home
// gives in advance.
func (in TakeTokens) apply(e *Engine) {
	a := e.accounts[in.Account]
	if a == nil || !e.homes[in.Account].Local {
		return
	}
	a.bucket.Refill(e.now, e.shareValidUntil)
	a.bucket.Tokens = max(a.bucket.Tokens, min(in.Tokens, a.bucket.Burst))
}

// hold makes the statement wait if its account's home is being moved, and reports whether
// it does. A transaction stays where it began.
func (s *statement) hold() bool {
	a := s.c.account
	if !a.moving || s.c.inTransaction() {
		return false
	}
	a.held = append(slices.DeleteFunc(a.held, func(h heldStatement) bool { return h.statement == s }),
		heldStatement{statement: s, sequence: s.sequence})
	return true
}

// isForwarded reports whether the requests of a remote caller are passed on to the home
// that has moved from here, or wait until it has.
func (c *caller) isForwarded() bool {
	home, known := c.e.homes[c.account.name]
	return c.account.moving || c.account.forwards && known && !home.Local
}
