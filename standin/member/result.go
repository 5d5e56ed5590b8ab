package member

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"github.com/sassafrasshunt/sassafrasshunt/standin/sqlsubset"
)

// maxUnsentBytes limits the unsent bytes of a result. Further rows are produced
// when the caller has read.
const maxUnsentBytes = 256 << 10

// column describes a column of a result.
type column struct {
	name string
	oid  uint32
}

// result produces the rows of a statement one by one.
type result struct {
	columns []column
	// next returns nil after the last row.
	next func() []value
	// tag returns the command tag for a number of rows.
	tag func(rows int) string
	// totalRows counts the rows sent by all Executes.
	totalRows int
}

// describe returns the columns of a statement's result, or nil if it has none.
func describe(s *sqlsubset.Statement, key KeyType) []column {
	switch s.Kind {
	case sqlsubset.SelectCount:
		return []column{{"count", pgtype.Int8OID}}
	case sqlsubset.Sleep:
		return []column{{"pg_sleep", pgtype.TextOID}}
	case sqlsubset.Series:
		return []column{{"generate_series", pgtype.Int4OID}}
	case sqlsubset.Show:
		return []column{{s.Name, pgtype.TextOID}}
	case sqlsubset.WriteStatus:
		return []column{{"write_status", pgtype.TextOID}}
	}
	var columns []column
	for _, v := range s.Values {
		columns = append(columns, column{v.Name, typeOID(v.Type)})
	}
	for _, name := range s.Columns {
		oid := uint32(pgtype.TextOID)
		if name == sqlsubset.ColumnID {
			oid = key.oid()
		}
		columns = append(columns, column{name, oid})
	}
	return columns
}

func rowDescription(columns []column, formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for i, c := range columns {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{
			Name:         []byte(c.name),
			DataTypeOID:  c.oid,
			DataTypeSize: -1,
			TypeModifier: -1,
			Format:       formatCode(formats, i),
		})
	}
	return d
}

// fixedRows returns an iterator over the given rows.
func fixedRows(rows [][]value) func() []value {
	return func() []value {
		if len(rows) == 0 {
			return nil
		}
		row := rows[0]
		rows = rows[1:]
		return row
	}
}

// sendRows sends rows until the result ends, the portal is suspended, or too many
// bytes are unsent.
func (s *session) sendRows() {
	e := s.current
	for {
		if e.maxRows > 0 && e.sentRows == e.maxRows {
			s.send(&pgproto3.PortalSuspended{})
			s.fire(s.m.connection.finished)
			return
		}
		row := e.result.next()
		if row == nil {
			s.finishResult(e)
			return
		}
		s.sendRow(e, row)
		if len(s.out) >= maxUnsentBytes {
			s.flush()
		}
		if s.conn.Pending() >= maxUnsentBytes {
			// The event drained continues when the output has been sent.
			return
		}
	}
}

func (s *session) sendRow(e *execution, row []value) {
	message := &pgproto3.DataRow{}
	for i, v := range row {
		message.Values = append(message.Values, encodeValue(v, e.result.columns[i].oid, formatCode(e.formats, i)))
	}
	s.send(message)
	e.sentRows++
	e.result.totalRows++
}

func (s *session) finishResult(e *execution) {
	e.done = true
	s.send(&pgproto3.CommandComplete{CommandTag: []byte(e.result.tag(e.result.totalRows))})
	s.recordStatement(e, OutcomeOK)
	s.fire(s.m.connection.finished)
}
