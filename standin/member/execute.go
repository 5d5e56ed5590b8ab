package member

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/standin/sqlsubset"
	"github.com/sassafrasshunt/sassafrasshunt/standin/store"
)

// statementFunc evaluates a statement of one kind.
type statementFunc func(s *session, e *execution) (*result, *SQLError)

var statementFuncs = map[sqlsubset.Kind]statementFunc{
	sqlsubset.Insert:       runInsert,
	sqlsubset.Update:       runUpdate,
	sqlsubset.Delete:       runDelete,
	sqlsubset.SelectRows:   runSelectRows,
	sqlsubset.SelectCount:  runSelectCount,
	sqlsubset.SelectValues: runSelectValues,
	sqlsubset.Sleep:        runSleep,
	sqlsubset.Series:       runSeries,
	sqlsubset.Begin:        runBegin,
	sqlsubset.Commit:       runCommit,
	sqlsubset.Rollback:     runRollback,
	sqlsubset.Set:          runSet,
	sqlsubset.Reset:        runReset,
	sqlsubset.Show:         runShow,
	sqlsubset.DiscardAll:   runDiscardAll,
	sqlsubset.WriteStatus:  runWriteStatus,
}

// execute runs the current statement, or resumes a suspended portal, and sends
// rows.
func (s *session) execute() {
	e := s.current
	if e.resuming {
		s.sendRows()
		return
	}
	res, err := s.evaluate(e)
	if s.isClosed() {
		return
	}
	if err != nil {
		s.fail(err, e)
		s.fire(s.m.connection.finished)
		return
	}
	e.result = res
	res.columns = describe(e.statement, s.m.options.KeyType)
	if e.describe && res.columns != nil {
		s.send(rowDescription(res.columns, e.formats))
	}
	s.sendRows()
}

// evaluate checks again that a write is allowed and runs the statement.
func (s *session) evaluate(e *execution) (*result, *SQLError) {
	// The member can have been fenced while the statement waited.
	if s.tx.aborted && e.statement.NeedsSlot() {
		return nil, readOnlyError(s.m.store.Role())
	}
	if err := s.checkWrite(e.statement); err != nil {
		return nil, err
	}
	res, err := statementFuncs[e.statement.Kind](s, e)
	if err == nil && e.statement.Changes() {
		s.recordWrite(e.statement)
	}
	return res, err
}

// recordWrite adds a write and its identity to the transaction.
func (s *session) recordWrite(statement *sqlsubset.Statement) {
	s.tx.wrote = true
	if statement.Identity != "" {
		s.tx.identities = append(s.tx.identities, statement.Identity)
	}
}

// operand returns the value of a constant or of a bound parameter.
func (e *execution) operand(o sqlsubset.Operand) (value, *SQLError) {
	if o.Param == 0 {
		return value{text: o.Text, null: o.Null}, nil
	}
	if o.Param > len(e.params) {
		return value{}, &SQLError{Code: codeProtocol, Message: "there is no parameter $" + strconv.Itoa(o.Param)}
	}
	return e.params[o.Param-1], nil
}

// integer returns the value of an operand as a 64-bit integer.
func (e *execution) integer(o sqlsubset.Operand) (int64, *SQLError) {
	v, err := e.operand(o)
	if err != nil {
		return 0, err
	}
	n, parseError := strconv.ParseInt(v.text, 10, 64)
	if parseError != nil {
		return 0, invalidText(v.text)
	}
	return n, nil
}

func invalidText(text string) *SQLError {
	return &SQLError{Code: codeInvalidText, Message: "invalid input syntax for number: " + strconv.Quote(text)}
}

func fixedTag(tag string) func(int) string {
	return func(int) string { return tag }
}

func countTag(prefix string) func(int) string {
	return func(rows int) string { return prefix + strconv.Itoa(rows) }
}

// changeResult returns the result of a statement that changed count rows, with
// the rows of its RETURNING clause.
func changeResult(prefix string, rows [][]value, count int) *result {
	return &result{next: fixedRows(rows), tag: fixedTag(prefix + strconv.Itoa(count))}
}

// commandResult returns a result without rows.
func commandResult(tag string) *result {
	return &result{next: fixedRows(nil), tag: fixedTag(tag)}
}

func singleRowResult(text string) *result {
	return &result{next: fixedRows([][]value{{{text: text}}}), tag: countTag("SELECT ")}
}

// project returns the named columns of a row.
func project(columns []string, id, text string) []value {
	var row []value
	for _, c := range columns {
		v := value{text: text}
		if c == sqlsubset.ColumnID {
			v.text = id
		}
		row = append(row, v)
	}
	return row
}

func runInsert(s *session, e *execution) (*result, *SQLError) {
	var rows [][]value
	count := 0
	for _, r := range e.statement.Rows {
		id, err := e.operand(r.ID)
		if err != nil {
			return nil, err
		}
		text, err := e.operand(r.Value)
		if err != nil {
			return nil, err
		}
		inserted, err := s.insertRow(e.statement, id.text, text.text)
		if err != nil {
			return nil, err
		}
		if !inserted {
			continue
		}
		count++
		rows = appendReturning(rows, e.statement, id.text, text.text)
	}
	return changeResult("INSERT 0 ", rows, count), nil
}

// insertRow inserts a row according to the ON CONFLICT clause. It reports whether
// a row was inserted or replaced.
func (s *session) insertRow(statement *sqlsubset.Statement, id, text string) (bool, *SQLError) {
	_, exists := s.getRow(id)
	switch {
	case exists && statement.SkipConflict:
		return false, nil
	case exists && !statement.UpdateConflict:
		return false, duplicateKey(id)
	}
	if _, committed := s.m.store.Get(id); !committed && !statement.UpdateConflict {
		s.tx.inserted = append(s.tx.inserted, id)
	}
	s.setRow(store.Change{ID: id, Value: text})
	return true, nil
}

// appendReturning appends the row of a RETURNING clause, if there is one.
func appendReturning(rows [][]value, statement *sqlsubset.Statement, id, text string) [][]value {
	if statement.Columns == nil {
		return rows
	}
	return append(rows, project(statement.Columns, id, text))
}

// matchingIDs returns the keys that the WHERE clause selects.
func (s *session) matchingIDs(e *execution) ([]string, *SQLError) {
	if e.statement.ID == nil {
		return s.visibleIDs(), nil
	}
	id, err := e.operand(*e.statement.ID)
	if err != nil {
		return nil, err
	}
	if _, exists := s.getRow(id.text); !exists || id.null {
		return nil, nil
	}
	return []string{id.text}, nil
}

// visibleIDs returns the sorted keys of the rows that the transaction sees.
func (s *session) visibleIDs() []string {
	var ids []string
	for _, id := range s.m.store.IDs() {
		if _, exists := s.getRow(id); exists {
			ids = append(ids, id)
		}
	}
	for id, c := range s.tx.changedRows {
		if _, committed := s.m.store.Get(id); !committed && !c.Delete {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func runUpdate(s *session, e *execution) (*result, *SQLError) {
	text, err := e.operand(e.statement.Value)
	if err != nil {
		return nil, err
	}
	ids, err := s.matchingIDs(e)
	if err != nil {
		return nil, err
	}
	var rows [][]value
	for _, id := range ids {
		s.setRow(store.Change{ID: id, Value: text.text})
		rows = appendReturning(rows, e.statement, id, text.text)
	}
	return changeResult("UPDATE ", rows, len(ids)), nil
}

func runDelete(s *session, e *execution) (*result, *SQLError) {
	ids, err := s.matchingIDs(e)
	if err != nil {
		return nil, err
	}
	var rows [][]value
	for _, id := range ids {
		text, _ := s.getRow(id)
		s.setRow(store.Change{ID: id, Delete: true})
		rows = appendReturning(rows, e.statement, id, text)
	}
	return changeResult("DELETE ", rows, len(ids)), nil
}

func runSelectRows(s *session, e *execution) (*result, *SQLError) {
	ids, err := s.matchingIDs(e)
	if err != nil {
		return nil, err
	}
	var rows [][]value
	for _, id := range ids {
		text, _ := s.getRow(id)
		rows = append(rows, project(e.statement.Columns, id, text))
	}
	return &result{next: fixedRows(rows), tag: countTag("SELECT ")}, nil
}

func runSelectCount(s *session, e *execution) (*result, *SQLError) {
	if e.statement.ID == nil && len(s.tx.changedRows) == 0 {
		return singleRowResult(strconv.Itoa(s.m.store.Count())), nil
	}
	ids, err := s.matchingIDs(e)
	if err != nil {
		return nil, err
	}
	return singleRowResult(strconv.Itoa(len(ids))), nil
}

func runSelectValues(_ *session, e *execution) (*result, *SQLError) {
	row := []value{}
	for _, o := range e.statement.Values {
		v, err := e.operand(o)
		if err != nil {
			return nil, err
		}
		row = append(row, v)
	}
	return &result{next: fixedRows([][]value{row}), tag: countTag("SELECT ")}, nil
}

// runSleep returns the result of pg_sleep. The session has already held its slot
// for the requested time.
func runSleep(_ *session, e *execution) (*result, *SQLError) {
	if _, err := e.sleepTime(); err != nil {
		return nil, err
	}
	return singleRowResult(""), nil
}

// sleepTime returns the argument of pg_sleep; at most idleTimeout is accepted.
func (e *execution) sleepTime() (time.Duration, *SQLError) {
	v, err := e.operand(e.statement.Seconds)
	if err != nil {
		return 0, err
	}
	seconds, parseError := strconv.ParseFloat(v.text, 64)
	if parseError != nil || math.IsNaN(seconds) || seconds < 0 || seconds > idleTimeout.Seconds() {
		return 0, invalidText(v.text)
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

func runSeries(_ *session, e *execution) (*result, *SQLError) {
	from, err := e.integer(e.statement.From)
	if err != nil {
		return nil, err
	}
	to, err := e.integer(e.statement.To)
	if err != nil {
		return nil, err
	}
	next := func() []value {
		if from > to {
			return nil
		}
		row := []value{{text: strconv.FormatInt(from, 10)}}
		from++
		return row
	}
	return &result{next: next, tag: countTag("SELECT ")}, nil
}
