// Package sqlsubset parses the small part of SQL that a stand-in member runs.
// It uses the PostgreSQL parser and performs no I/O.
package sqlsubset

import "strconv"

// Kind tells what a statement does.
type Kind uint8

// Kinds of statements.
const (
	Empty Kind = iota
	Insert
	Update
	Delete
	// SelectRows reads rows of the table.
	SelectRows
	// SelectCount counts the rows of the table.
	SelectCount
	// SelectValues evaluates constants and parameters.
	SelectValues
	// Sleep holds its slot for Seconds.
	Sleep
	// Series returns the integers from From to To.
	Series
	Begin
	Commit
	Rollback
	Set
	Reset
	Show
	DiscardAll
	// WriteStatus asks whether Identity was committed.
	WriteStatus
)

// TableName is the only table.
const TableName = "items"

// Columns of the table.
const (
	ColumnID    = "id"
	ColumnValue = "value"
)

// Operand is a constant, or a parameter when Param is not 0.
type Operand struct {
	// Param is the number of the parameter, from 1.
	Param int
	// Text is the constant in text form.
	Text string
	Null bool
	// Type is the cast or the type of the constant: "int4", "int8", "text"
	// or empty when the statement does not tell.
	Type string
	// Name is the column name in a result.
	Name string
}

// Row is one row of an INSERT.
type Row struct {
	ID    Operand
	Value Operand
}

// Statement is one parsed statement.
type Statement struct {
	Kind Kind
	// Text is the source with its comments.
	Text string
	// Identity is the write_id of the leading comment or of WRITE_STATUS.
	Identity string
	// Rows are the rows of an INSERT.
	Rows []Row
	// SkipConflict and UpdateConflict say what an INSERT does with an existing
	// key; without either it fails.
	SkipConflict   bool
	UpdateConflict bool
	// Value is the new value of an UPDATE.
	Value Operand
	// ID restricts the rows; nil for all rows.
	ID *Operand
	// Columns are the names of a table result, also of RETURNING.
	Columns []string
	// Values are the results of SelectValues.
	Values []Operand
	// Seconds, From and To are the arguments of the functions.
	Seconds Operand
	From    Operand
	To      Operand
	// Locking marks SELECT ... FOR UPDATE.
	Locking bool
	// ReadOnly marks BEGIN READ ONLY.
	ReadOnly bool
	// Name and Setting belong to SET, RESET and SHOW.
	Name    string
	Setting string
}

// Writes reports whether a replica refuses the statement.
func (s *Statement) Writes() bool {
	return s.Changes() || s.Locking
}

// Changes reports whether the statement changes rows.
func (s *Statement) Changes() bool {
	return s.Kind == Insert || s.Kind == Update || s.Kind == Delete
}

// NeedsSlot reports whether the statement takes a slot and service time.
func (s *Statement) NeedsSlot() bool {
	return s.Kind >= Insert && s.Kind <= Series
}

// Operands returns every operand of the statement.
func (s *Statement) Operands() []Operand {
	operands := []Operand{s.Value, s.Seconds, s.From, s.To}
	for _, r := range s.Rows {
		operands = append(operands, r.ID, r.Value)
	}
	if s.ID != nil {
		operands = append(operands, *s.ID)
	}
	return append(operands, s.Values...)
}

// SyntaxError reports text outside the subset (SQLSTATE 42601).
type SyntaxError struct {
	Reason string
}

func (e *SyntaxError) Error() string {
	return "syntax error or unsupported statement: " + e.Reason
}

func unsupported(what string) error {
	return &SyntaxError{Reason: what}
}

func isInteger(text string) bool {
	_, err := strconv.ParseInt(text, 10, 64)
	return err == nil
}
