package member

import (
	"bytes"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sassafrasshunt/sassafrasshunt/standin/sqlsubset"
)

// handleNextMessage handles the next buffered message. It returns false when the
// message is incomplete or invalid; an invalid message closes the connection.
func (s *session) handleNextMessage() bool {
	kind, body, n := decodeMessageFrame(s.conn.Buffered())
	if n == 0 {
		return false
	}
	message := newMessage(kind)
	if n < 0 || message == nil {
		s.conn.Close()
		return false
	}
	// A decoded message may refer to parts of the body.
	err := message.Decode(bytes.Clone(body))
	s.conn.Discard(n)
	if err != nil {
		s.conn.Close()
		return false
	}
	s.handleMessage(message)
	return true
}

func (s *session) handleMessage(message pgproto3.FrontendMessage) {
	if sync, ok := message.(*pgproto3.Sync); ok {
		s.handleSync(sync)
		return
	}
	if s.skipping {
		return
	}
	switch m := message.(type) {
	case *pgproto3.Query:
		s.handleQuery(m)
	case *pgproto3.Parse:
		s.handleParse(m)
	case *pgproto3.Bind:
		s.handleBind(m)
	case *pgproto3.Describe:
		s.handleDescribe(m)
	case *pgproto3.Execute:
		s.handleExecute(m)
	case *pgproto3.Close:
		s.handleClose(m)
	case *pgproto3.Flush:
		s.flush()
	case *pgproto3.Terminate:
		s.conn.Close()
	case *pgproto3.PasswordMessage:
		s.m.record(Record{Kind: KindPassword, Connection: uint64(s.id), Account: s.account, Password: m.Password, Outcome: OutcomeOK})
	}
}

func (s *session) handleQuery(m *pgproto3.Query) {
	statements, err := s.m.parsed.parse(m.String)
	s.inSimpleQuery = true
	s.remaining = statements
	if err != nil {
		s.fail(syntaxError(err), &execution{text: m.String})
		return
	}
	if len(statements) == 0 {
		s.send(&pgproto3.EmptyQueryResponse{})
	}
}

// runNextStatement runs the next statement of a simple query or ends the query.
func (s *session) runNextStatement() {
	if len(s.remaining) == 0 {
		s.inSimpleQuery = false
		s.endImplicitTransaction()
		return
	}
	statement := s.remaining[0]
	s.remaining = s.remaining[1:]
	s.startExecution(&execution{statement: statement, text: statement.Text, describe: true})
}

// endImplicitTransaction commits the implicit transaction at the end of a simple
// query or at Sync.
func (s *session) endImplicitTransaction() {
	s.fireTx(s.m.transaction.boundary)
	if s.isClosed() {
		return
	}
	if s.pendingError != nil {
		s.sendError(s.pendingError)
		s.pendingError = nil
	}
	s.sendReady()
}

func (s *session) handleSync(*pgproto3.Sync) {
	s.skipping = false
	s.endImplicitTransaction()
	for name, p := range s.portals {
		if p.done {
			delete(s.portals, name)
		}
	}
}

// startExecution runs a statement at once or when a slot is free.
func (s *session) startExecution(e *execution) {
	s.current = e
	if !e.resuming {
		if err := s.admit(e.statement); err != nil {
			s.fail(err, e)
			return
		}
	}
	s.fire(s.m.connection.run)
}

// fail sends an error. The remaining statements of a simple query, or the
// messages up to Sync, are skipped.
func (s *session) fail(err *SQLError, e *execution) {
	s.recordStatement(e, "error "+err.Code)
	s.sendError(err)
	s.fireTx(s.m.transaction.failure)
	s.remaining = nil
	s.skipping = !s.inSimpleQuery
	if s.skipping {
		s.flush()
	}
}

func (s *session) sendError(err *SQLError) {
	s.send(&pgproto3.ErrorResponse{
		Severity:            "ERROR",
		SeverityUnlocalized: "ERROR",
		Code:                err.Code,
		Message:             err.Message,
	})
}

func (s *session) sendNotice(code, message string) {
	s.send(&pgproto3.NoticeResponse{Severity: "NOTICE", SeverityUnlocalized: "NOTICE", Code: code, Message: message})
}

// recordStatement records a statement with its parameters and its outcome.
func (s *session) recordStatement(e *execution, outcome string) {
	r := Record{
		Kind:        KindStatement,
		Connection:  uint64(s.id),
		Account:     s.account,
		Transaction: s.tx.id,
		SQL:         e.text,
		Outcome:     outcome,
	}
	for _, p := range e.params {
		r.Parameters = append(r.Parameters, p.textPointer())
	}
	if e.statement != nil && e.statement.Identity != "" && e.statement.Kind != sqlsubset.WriteStatus {
		r.Identities = []string{e.statement.Identity}
	}
	s.m.record(r)
}

// parseCache holds the parsed statements of recent query texts.
type parseCache struct {
	statements map[string][]*sqlsubset.Statement
}

// maxCachedTexts limits the texts in a parseCache; a full cache is emptied.
const maxCachedTexts = 4096

func newParseCache() parseCache {
	return parseCache{statements: map[string][]*sqlsubset.Statement{}}
}

func (c *parseCache) parse(text string) ([]*sqlsubset.Statement, error) {
	if statements, ok := c.statements[text]; ok {
		return statements, nil
	}
	statements, err := sqlsubset.Parse(text)
	if err != nil {
		return nil, err
	}
	if len(c.statements) >= maxCachedTexts {
		clear(c.statements)
	}
	c.statements[text] = statements
	return statements, nil
}
