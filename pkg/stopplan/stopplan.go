// Package stopplan divides the time that a planned stop may take. The plan is the only
// source of the times at which the life cycle of an instance ends sessions, transactions
// and statements, so that no part of the instance ends before the work that counts on it.
//
// All times are offsets from the start of the plan:
//
//	0                        the instance is not ready any more
//	Sessions                 sessions end outside a transaction; no transaction begins
//	Transactions             open transactions end between two statements
//	Statements               the deadline of every statement that still runs
//	Answers                  what has no answer yet is answered
//	Sockets                  the last answers are sent, and the sockets closed
//	End                      the duties have ended, the log is written, the process exits
//	Grace                    the process is killed
//
// The PostgreSQL front counts from the request to its callers to reconnect, and releases
// its share of the limits after that.
package stopplan

import (
	"time"

	"github.com/rotisserie/eris"
)

// ErrGrace reports a grace period that is not positive.
var ErrGrace = eris.New("the grace period of a planned stop must be positive")

const (
	// maxReserve limits the time between the deadline of the last statement and the end
	// of the grace period. Answers are sent, duties end and the log is written in it.
	maxReserve = 900 * time.Millisecond
	// reserveNumerator and reserveDenominator are the fraction of a short grace period
	// that is reserved. It is less than a sixth: members may run until five sixths of the
	// grace period, and their answers have to be passed on.
	reserveNumerator   = 3
	reserveDenominator = 20
	// answerDivisor is the fraction of the reserve in which statements end at their own
	// deadline, before the remaining ones are ended.
	answerDivisor = 9
	// socketsNumerator and socketsDenominator are the fraction of the reserve after which
	// the sockets are closed; what follows is for the other duties and the log.
	socketsNumerator   = 5
	socketsDenominator = 9
	// endMarginDivisor is the fraction of the reserve that is left when the process exits,
	// because timers fire late on a busy machine.
	endMarginDivisor = 9
	// noticeNumerator and noticeDenominator limit the notice to the balancer, so that
	// sessions end before transactions also in a short grace period.
	noticeNumerator   = 2
	noticeDenominator = 5
	// transactionDivisor is the fraction of the grace period that open transactions have.
	transactionDivisor = 2
)

// Plan holds the steps of a planned stop, in the order in which they happen.
type Plan struct {
	Sessions     time.Duration
	Transactions time.Duration
	Statements   time.Duration
	Answers      time.Duration
	Sockets      time.Duration
	End          time.Duration
	Grace        time.Duration
}

// New returns the plan of a stop that may take grace. Callers may keep arriving for
// notice after the instance has become not ready. It returns ErrGrace for a grace period
// that is not positive.
func New(grace, notice time.Duration) (Plan, error) {
	if grace <= 0 {
		return Plan{}, eris.Wrap(ErrGrace, grace.String())
	}
	reserve := min(maxReserve, grace*reserveNumerator/reserveDenominator)
	return Plan{
		Sessions:     min(max(notice, 0), grace*noticeNumerator/noticeDenominator),
		Transactions: grace / transactionDivisor,
		Statements:   grace - reserve,
		Answers:      grace - reserve + reserve/answerDivisor,
		Sockets:      grace - reserve + reserve*socketsNumerator/socketsDenominator,
		End:          grace - reserve/endMarginDivisor,
		Grace:        grace,
	}, nil
}

// LongestTimeLimit returns the time limit up to which a statement that is sent in an open
// transaction at any time of the stop has its whole time limit. Statements with a longer
// one may be answered before it passes.
func (p Plan) LongestTimeLimit() time.Duration {
	return p.Statements - p.Transactions
}
