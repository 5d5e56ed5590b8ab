// Package sqlsubset parses the subset of SQL that a stand-in member supports. It uses
// the PostgreSQL parser and performs no I/O.
package sqlsubset

import "strconv"

// Kind is the kind of a statement.
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
	// Sleep is pg_sleep, which keeps its slot for Seconds.
	Sleep
	// Series is generate_series, which returns the integers from From to To.
	Series
	Begin
	Commit
	Rollback
	Set
	Reset
	Show
	DiscardAll
	// WriteStatus is SHOW sassafrasshunt.write_status, which reports whether a
	// transaction with Identity has been committed.
	WriteStatus
)

// TableName is the name of the only table.
const TableName = "items"

// Columns of the table.
const (
	ColumnID    = "id"
	ColumnValue = "value"
)

// Operand is a parameter if Param is not 0, or else a constant.
type Operand struct {
	// Param is the number of the parameter, starting at 1.
	Param int
	// Text is the constant in text form.
	Text string
	Null bool
	// Type is the type of the cast or of the constant: "int4", "int8", "float8"
	// or "text". It is empty when the statement does not specify it.
	Type string
	// Name is the name of the result column.
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
	// Text is the source text including comments.
	Text string
	// Identity is the write_id of the leading hint, or the argument of
	// WriteStatus.
	Identity string
	// Rows are the rows of an INSERT.
	Rows []Row
	// SkipConflict and UpdateConflict represent ON CONFLICT DO NOTHING and DO
	// UPDATE. Without either, an INSERT of an existing key fails.
	SkipConflict   bool
	UpdateConflict bool
	// Value is the new value of an UPDATE.
	Value Operand
	// ID restricts the rows; nil for all rows.
	ID *Operand
	// Columns are the column names of the result or of RETURNING.
	Columns []string
	// Values are the expressions of SelectValues.
	Values []Operand
	// Seconds is the argument of pg_sleep; From and To are those of
	// generate_series.
	Seconds Operand
	From    Operand
	To      Operand
	// Locking marks SELECT ... FOR UPDATE.
	Locking bool
	// ReadOnly marks BEGIN READ ONLY.
	ReadOnly bool
	// Name is the setting of SET, RESET or SHOW; empty for RESET ALL. Setting is
	// the new value.
	Name    string
	Setting string
}

// Writes reports whether the statement can run on the primary only.
func (s *Statement) Writes() bool {
	return s.Changes() || s.Locking
}

// Changes reports whether the statement changes rows.
func (s *Statement) Changes() bool {
	return s.Kind == Insert || s.Kind == Update || s.Kind == Delete
}

// NeedsSlot reports whether the statement occupies a slot for the service time.
func (s *Statement) NeedsSlot() bool {
	return s.Kind >= Insert && s.Kind <= Series
}

// Operands returns all operands of the statement, unused ones as zero values.
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

// SyntaxError reports text that is not in the subset (SQLSTATE 42601).
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
