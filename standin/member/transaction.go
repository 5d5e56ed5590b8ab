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
	// wrote is set by a write statement, also by one that changed no row.
	wrote       bool
	aborted     bool
	changes     []store.Change
	changedRows map[string]store.Change
	inserted    []string
	identities  []string
}

func (s *session) fireTx(event chart.Event) {
	s.m.transaction.table.Fire(s, &s.txState, event)
}

// admit checks that the transaction and the role allow a statement, and starts
// an implicit transaction when there is none.
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

// admitFree refuses statements other than the end of a failed transaction.
func (s *session) admitWithoutSlot(statement *sqlsubset.Statement) *SQLError {
	ends := statement.Kind == sqlsubset.Commit || statement.Kind == sqlsubset.Rollback
	if s.txState == s.m.transaction.failed && !ends {
		s.refuseFailed()
	}
	return s.popPendingError()
}

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

// commitTransaction sets failure when the commit is not possible.
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

// commitChanges logs the transaction. One that changed nothing gets the end of
// the log as its position.
func (s *session) commitChanges(tx transaction) (core.Position, error) {
	if len(tx.changes) == 0 && len(tx.identities) == 0 {
		return s.m.store.Position(), nil
	}
	return s.m.store.Commit(tx.changes, tx.identities)
}

// confirmCommit records the commit; the fault lose_answer closes the
// connection instead of answering.
func (s *session) confirmCommit(tx transaction, position core.Position) {
	outcome := OutcomeOK
	lost := s.m.faults.consumeDroppedResponse()
	if lost {
		outcome = OutcomeLostAnswer
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

// abortTransactions drops the open transactions of a fenced primary.
func (m *Member) abortTransactions() {
	for _, s := range m.sessions {
		s.fireTx(m.transaction.abort)
	}
}

// set changes a row inside the transaction.
func (s *session) setRow(c store.Change) {
	s.tx.changes = append(s.tx.changes, c)
	s.tx.changedRows[c.ID] = c
}

// get reads a row as the transaction sees it.
func (s *session) getRow(id string) (string, bool) {
	if c, ok := s.tx.changedRows[id]; ok {
		return c.Value, !c.Delete
	}
	return s.m.store.Get(id)
}

func duplicateKey(id string) *SQLError {
	return &SQLError{Code: codeDuplicateKey, Message: "duplicate key " + id + " violates unique constraint"}
}
