package member

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sassafrasshunt/sassafrasshunt/standin/sqlsubset"
)

// prepared is a prepared statement. The field statement is nil for an empty text.
type prepared struct {
	text      string
	statement *sqlsubset.Statement
	oids      []uint32
}

// execution is one run of a statement; in the extended protocol, a portal.
type execution struct {
	statement *sqlsubset.Statement
	text      string
	params    []value
	formats   []int16
	// describe requests a row description before the rows.
	describe bool
	// maxRows limits the rows of one Execute; 0 means no limit.
	maxRows int
	// sleep is added to the service time in the slot.
	sleep time.Duration
	// result is nil until the statement has been evaluated.
	result *result
	// sentRows counts the rows sent by the current Execute.
	sentRows int
	// resuming is set while a suspended portal is executed again.
	resuming bool
	done     bool
}

// protocolFailure sends an error that belongs to no statement.
func (s *session) protocolFailure(code, message string) {
	s.fail(&SQLError{Code: code, Message: message}, &execution{})
}

func (s *session) handleParse(m *pgproto3.Parse) {
	statements, err := s.m.parsed.parse(m.Query)
	if err == nil && len(statements) > 1 {
		err = &sqlsubset.SyntaxError{Reason: "several statements in a prepared statement"}
	}
	if err != nil {
		s.fail(syntaxError(err), &execution{text: m.Query})
		return
	}
	p := &prepared{text: m.Query}
	if len(statements) == 1 {
		p.statement = statements[0]
		p.oids = parameterOIDs(statements[0], m.ParameterOIDs, s.m.options.KeyType)
	}
	s.statements[m.Name] = p
	s.send(&pgproto3.ParseComplete{})
}

func (s *session) handleBind(m *pgproto3.Bind) {
	p, ok := s.statements[m.PreparedStatement]
	if !ok {
		s.protocolFailure(codeUnknownStatement, "prepared statement does not exist")
		return
	}
	if len(m.Parameters) != len(p.oids) {
		s.protocolFailure(codeProtocol, "wrong number of bind parameters")
		return
	}
	e := &execution{statement: p.statement, text: p.text, formats: m.ResultFormatCodes}
	for i, raw := range m.Parameters {
		v, err := decodeParameter(raw, formatCode(m.ParameterFormatCodes, i), p.oids[i])
		if err != nil {
			s.fail(err, e)
			return
		}
		e.params = append(e.params, v)
	}
	s.portals[m.DestinationPortal] = e
	s.send(&pgproto3.BindComplete{})
}

func (s *session) handleDescribe(m *pgproto3.Describe) {
	if m.ObjectType == 'S' {
		s.describeStatement(m.Name)
		return
	}
	e, ok := s.portals[m.Name]
	if !ok {
		s.protocolFailure(codeUnknownPortal, "portal does not exist")
		return
	}
	s.sendDescription(e.statement, e.formats)
}

func (s *session) describeStatement(name string) {
	p, ok := s.statements[name]
	if !ok {
		s.protocolFailure(codeUnknownStatement, "prepared statement does not exist")
		return
	}
	s.send(&pgproto3.ParameterDescription{ParameterOIDs: p.oids})
	s.sendDescription(p.statement, nil)
}

func (s *session) sendDescription(statement *sqlsubset.Statement, formats []int16) {
	var columns []column
	if statement != nil {
		columns = describe(statement, s.m.options.KeyType)
	}
	if columns == nil {
		s.send(&pgproto3.NoData{})
		return
	}
	s.send(rowDescription(columns, formats))
}

func (s *session) handleExecute(m *pgproto3.Execute) {
	e, ok := s.portals[m.Portal]
	if !ok || e.done {
		s.protocolFailure(codeUnknownPortal, "portal does not exist or has ended")
		return
	}
	if e.statement == nil {
		e.done = true
		s.send(&pgproto3.EmptyQueryResponse{})
		return
	}
	e.maxRows = int(m.MaxRows)
	e.sentRows = 0
	e.resuming = e.result != nil
	s.startExecution(e)
}

func (s *session) handleClose(m *pgproto3.Close) {
	if m.ObjectType == 'S' {
		delete(s.statements, m.Name)
	} else {
		delete(s.portals, m.Name)
	}
	s.send(&pgproto3.CloseComplete{})
}
