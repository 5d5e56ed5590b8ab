package member

import (
	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/standin/sqlsubset"
	"github.com/sassafrasshunt/sassafrasshunt/standin/store"
)

// transaction is the current transaction of a session.
type transaction struct {
	// id is 0 outside a transaction.
	id       uint64
	readOnly bool
	// wrote is set by every write statement, also by one that changed no row.
	wrote bool
	// aborted is set when the member was fenced during the transaction.
	aborted bool
	changes []store.Change
	// changedRows holds the last change of each row, inserted the keys that must
	// not exist at the commit.
	changedRows map[string]store.Change
	inserted    []string
	identities  []string
}

func (s *session) fireTx(event chart.Event) {
	s.m.transaction.table.Fire(s, &s.txState, event)
}

// admit checks that the state of the transaction and the role of the member allow
// a statement. It starts an implicit transaction when there is none.
func (s *session) admit(statement *sqlsubset.Statement) *SQLError {
	if !statement.NeedsSlot() {
		return s.admitWithoutSlot(statement)
	}
	s.fireTx(s.m.transaction.statement)
	if err := s.popPendingError(); err != nil {
		return err
	}
	return s.checkWrite(statement)
}

// admitWithoutSlot checks a statement that needs no slot. In a failed transaction
// only its end is allowed.
func (s *session) admitWithoutSlot(statement *sqlsubset.Statement) *SQLError {
	ends := statement.Kind == sqlsubset.Commit || statement.Kind == sqlsubset.Rollback
	if s.txState == s.m.transaction.failed && !ends {
		s.refuseFailed()
	}
	return s.popPendingError()
}

// checkWrite rejects a write on a replica or in a read-only transaction.
func (s *session) checkWrite(statement *sqlsubset.Statement) *SQLError {
	if !statement.Writes() {
		return nil
	}
	if !s.m.store.Writable() {
		return readOnlyError(s.m.store.Role())
	}
	if s.tx.readOnly {
		return &SQLError{Code: codeReadOnly, Message: "cannot execute a write in a read-only transaction"}
	}
	return nil
}

// popPendingError returns the pending error and clears it.
func (s *session) popPendingError() *SQLError {
	err := s.pendingError
	s.pendingError = nil
	return err
}

func (s *session) startTransaction() {
	s.m.nextTx++
	s.tx = transaction{id: s.m.nextTx, changedRows: map[string]store.Change{}}
}

func (s *session) rollBackTransaction() {
	if s.tx.wrote {
		s.m.record(Record{Kind: KindRollback, Connection: uint64(s.id), Account: s.account, Transaction: s.tx.id, Outcome: OutcomeOK})
	}
	s.tx = transaction{}
}

func (s *session) refuseFailed() {
	s.pendingError = &SQLError{
		Code:    codeFailedTransaction,
		Message: "current transaction is aborted, commands ignored until end of transaction block",
	}
}

func (s *session) refuseAborted() {
	s.pendingError = readOnlyError(s.m.store.Role())
}

func (s *session) noticeNoTransaction() {
	s.sendNotice(codeNoTransaction, "there is no transaction in progress")
}

func (s *session) noticeInTransaction() {
	s.sendNotice(codeInTransaction, "there is already a transaction in progress")
}

// commitTransaction commits the changes. It sets pendingError when the commit is
// not possible.
func (s *session) commitTransaction() {
	tx := s.tx
	if !tx.wrote {
		s.tx = transaction{}
		return
	}
	if err := s.checkCommit(tx); err != nil {
		s.pendingError = err
		s.rollBackTransaction()
		return
	}
	position, err := s.commitChanges(tx)
	s.tx = transaction{}
	if err != nil {
		s.pendingError = readOnlyError(s.m.store.Role())
		return
	}
	s.commitPosition = position
	s.m.pendingCalls.answerReady()
	s.confirmCommit(tx, position)
}

// checkCommit checks that the member can still write and that no inserted key has
// been committed by another transaction.
func (s *session) checkCommit(tx transaction) *SQLError {
	if tx.aborted || !s.m.store.Writable() {
		return readOnlyError(s.m.store.Role())
	}
	for _, id := range tx.inserted {
		if _, exists := s.m.store.Get(id); exists {
			return duplicateKey(id)
		}
	}
	return nil
}

// commitChanges appends the transaction to the log and returns its position. The
// position of a transaction without changes is the end of the log.
func (s *session) commitChanges(tx transaction) (core.Position, error) {
	if len(tx.changes) == 0 && len(tx.identities) == 0 {
		return s.m.store.Position(), nil
	}
	return s.m.store.Commit(tx.changes, tx.identities)
}

// confirmCommit records the commit. While the fault lose_answer is set, it closes
// the connection without a response.
func (s *session) confirmCommit(tx transaction, position core.Position) {
	outcome := OutcomeOK
	lost := s.m.faults.consumeDroppedResponse()
	if lost {
		outcome = OutcomeLostResponse
	}
	s.m.record(Record{
		Kind:        KindCommit,
		Connection:  uint64(s.id),
		Account:     s.account,
		Transaction: tx.id,
		LSN:         position.LSN,
		Identities:  tx.identities,
		Outcome:     outcome,
	})
	if lost {
		s.out = nil
		s.conn.Close()
	}
}

// abortTransactions aborts the open transactions when the member is no longer
// primary.
func (m *Member) abortTransactions() {
	for _, s := range m.sessions {
		s.fireTx(m.transaction.abort)
	}
}

// setRow changes a row within the transaction.
func (s *session) setRow(c store.Change) {
	s.tx.changes = append(s.tx.changes, c)
	s.tx.changedRows[c.ID] = c
}

// getRow returns the value of a row as the transaction sees it.
func (s *session) getRow(id string) (string, bool) {
	if c, ok := s.tx.changedRows[id]; ok {
		return c.Value, !c.Delete
	}
	return s.m.store.Get(id)
}

func duplicateKey(id string) *SQLError {
	return &SQLError{Code: codeDuplicateKey, Message: "duplicate key " + id + " violates unique constraint"}
}
