package sqlsubset

import (
	"strconv"

	pgquery "github.com/pganalyze/pg_query_go/v6"
)

func checkTable(r *pgquery.RangeVar) error {
	if r.GetRelname() != TableName {
		return unsupported("table " + strconv.Quote(r.GetRelname()))
	}
	return nil
}

func convertInsert(n *pgquery.InsertStmt) (*Statement, error) {
	if err := checkTable(n.Relation); err != nil {
		return nil, err
	}
	if n.WithClause != nil {
		return nil, unsupported("WITH")
	}
	s := &Statement{Kind: Insert}
	if err := s.convertConflict(n.OnConflictClause); err != nil {
		return nil, err
	}
	idFirst := len(n.Cols) == 0 || n.Cols[0].GetResTarget().GetName() == ColumnID
	for _, list := range n.SelectStmt.GetSelectStmt().GetValuesLists() {
		items := list.GetList().GetItems()
		if len(items) != 2 {
			return nil, unsupported("INSERT needs id and value")
		}
		if !idFirst {
			items = []*pgquery.Node{items[1], items[0]}
		}
		row, err := convertRow(items)
		if err != nil {
			return nil, err
		}
		s.Rows = append(s.Rows, row)
	}
	if len(s.Rows) == 0 {
		return nil, unsupported("INSERT without VALUES")
	}
	return s.convertReturning(n.ReturningList)
}

// convertRow converts an id and a value of an INSERT.
func convertRow(items []*pgquery.Node) (Row, error) {
	id, err := convertOperand(items[0])
	if err != nil {
		return Row{}, err
	}
	value, err := convertOperand(items[1])
	return Row{ID: id, Value: value}, err
}

// convertConflict accepts DO NOTHING and DO UPDATE SET value = excluded.value.
func (s *Statement) convertConflict(c *pgquery.OnConflictClause) error {
	switch c.GetAction() {
	case pgquery.OnConflictAction_ONCONFLICT_NOTHING:
		s.SkipConflict = true
	case pgquery.OnConflictAction_ONCONFLICT_UPDATE:
		target := c.GetTargetList()
		if len(target) != 1 || target[0].GetResTarget().GetName() != ColumnValue {
			return unsupported("ON CONFLICT")
		}
		fields := target[0].GetResTarget().GetVal().GetColumnRef().GetFields()
		if len(fields) != 2 || fields[0].GetString_().GetSval() != "excluded" {
			return unsupported("ON CONFLICT")
		}
		s.UpdateConflict = true
	}
	return nil
}

func convertUpdate(n *pgquery.UpdateStmt) (*Statement, error) {
	if err := checkTable(n.Relation); err != nil {
		return nil, err
	}
	if len(n.FromClause) > 0 || n.WithClause != nil {
		return nil, unsupported("UPDATE form")
	}
	if len(n.TargetList) != 1 || n.TargetList[0].GetResTarget().GetName() != ColumnValue {
		return nil, unsupported("UPDATE sets value only")
	}
	value, err := convertOperand(n.TargetList[0].GetResTarget().GetVal())
	if err != nil {
		return nil, err
	}
	s := &Statement{Kind: Update, Value: value}
	if err := s.convertWhere(n.WhereClause); err != nil {
		return nil, err
	}
	return s.convertReturning(n.ReturningList)
}

func convertDelete(n *pgquery.DeleteStmt) (*Statement, error) {
	if err := checkTable(n.Relation); err != nil {
		return nil, err
	}
	if len(n.UsingClause) > 0 || n.WithClause != nil {
		return nil, unsupported("DELETE form")
	}
	s := &Statement{Kind: Delete}
	if err := s.convertWhere(n.WhereClause); err != nil {
		return nil, err
	}
	return s.convertReturning(n.ReturningList)
}

// convertWhere accepts no condition or id = operand.
func (s *Statement) convertWhere(node *pgquery.Node) error {
	if node == nil {
		return nil
	}
	e := node.GetAExpr()
	if e.GetKind() != pgquery.A_Expr_Kind_AEXPR_OP || e.GetName()[0].GetString_().GetSval() != "=" {
		return unsupported("WHERE")
	}
	if name, ok := columnName(e.GetLexpr()); !ok || name != ColumnID {
		return unsupported("WHERE")
	}
	operand, err := convertOperand(e.GetRexpr())
	s.ID = &operand
	return err
}

// convertReturning sets the result columns and returns the statement.
func (s *Statement) convertReturning(list []*pgquery.Node) (*Statement, error) {
	columns, err := convertColumns(list)
	s.Columns = columns
	return s, err
}

func convertColumns(list []*pgquery.Node) ([]string, error) {
	var columns []string
	for _, n := range list {
		name, ok := columnName(n.GetResTarget().GetVal())
		switch {
		case ok && name == "*":
			columns = append(columns, ColumnID, ColumnValue)
		case ok && (name == ColumnID || name == ColumnValue):
			columns = append(columns, name)
		default:
			return nil, unsupported("column list")
		}
	}
	return columns, nil
}

// columnName returns the last part of a column reference, which can be "*". The
// result is false for any other node.
func columnName(node *pgquery.Node) (string, bool) {
	fields := node.GetColumnRef().GetFields()
	if len(fields) == 0 {
		return "", false
	}
	last := fields[len(fields)-1]
	if last.GetAStar() != nil {
		return "*", true
	}
	return last.GetString_().GetSval(), true
}
