package sqlsubset

import (
	"strconv"

	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// unnamedColumn is the name that PostgreSQL gives to a column without a name.
const unnamedColumn = "?column?"

func convertSelect(n *pgquery.SelectStmt) (*Statement, error) {
	if !hasNoExtraClauses(n) || !orderedByID(n.SortClause) {
		return nil, unsupported("SELECT form")
	}
	if len(n.FromClause) == 0 {
		if n.WhereClause != nil || len(n.TargetList) == 0 {
			return nil, unsupported("SELECT form")
		}
		return convertExpressions(n.TargetList)
	}
	if len(n.FromClause) != 1 {
		return nil, unsupported("FROM")
	}
	if err := checkTable(n.FromClause[0].GetRangeVar()); err != nil {
		return nil, err
	}
	s := &Statement{Kind: SelectRows, Locking: len(n.LockingClause) > 0}
	if err := s.convertWhere(n.WhereClause); err != nil {
		return nil, err
	}
	if isCount(n.TargetList) {
		s.Kind = SelectCount
		return s, nil
	}
	return s.convertReturning(n.TargetList)
}

// hasNoExtraClauses reports whether a SELECT has none of the clauses that the member
// would ignore.
func hasNoExtraClauses(n *pgquery.SelectStmt) bool {
	lists := len(n.ValuesLists) + len(n.DistinctClause) + len(n.GroupClause) + len(n.WindowClause)
	clauses := n.IntoClause != nil || n.WithClause != nil || n.HavingClause != nil
	limits := n.LimitCount != nil || n.LimitOffset != nil
	return lists == 0 && !clauses && !limits && n.Op == pgquery.SetOperation_SETOP_NONE
}

// orderedByID reports whether the order is unspecified or ORDER BY id, which is the
// order of every result.
func orderedByID(sort []*pgquery.Node) bool {
	if len(sort) == 0 {
		return true
	}
	by := sort[0].GetSortBy()
	name, ok := columnName(by.GetNode())
	return len(sort) == 1 && ok && name == ColumnID && by.GetSortbyDir() != pgquery.SortByDir_SORTBY_DESC
}

// isCount reports whether the targets are count(*).
func isCount(targets []*pgquery.Node) bool {
	if len(targets) != 1 {
		return false
	}
	call := targets[0].GetResTarget().GetVal().GetFuncCall()
	return call.GetAggStar() && functionName(call) == "count"
}

// functionName returns the name of a function without its schema.
func functionName(call *pgquery.FuncCall) string {
	names := call.GetFuncname()
	if len(names) == 0 {
		return ""
	}
	return names[len(names)-1].GetString_().GetSval()
}

// convertExpressions converts a SELECT without FROM.
func convertExpressions(targets []*pgquery.Node) (*Statement, error) {
	if len(targets) == 1 {
		if call := targets[0].GetResTarget().GetVal().GetFuncCall(); call != nil {
			return convertCall(call)
		}
	}
	s := &Statement{Kind: SelectValues}
	for _, t := range targets {
		target := t.GetResTarget()
		operand, err := convertOperand(target.GetVal())
		if err != nil {
			return nil, err
		}
		operand.Name = target.GetName()
		if operand.Name == "" {
			operand.Name = unnamedColumn
		}
		s.Values = append(s.Values, operand)
	}
	return s, nil
}

func convertCall(call *pgquery.FuncCall) (*Statement, error) {
	var args []Operand
	for _, a := range call.Args {
		operand, err := convertOperand(a)
		if err != nil {
			return nil, err
		}
		args = append(args, operand)
	}
	name := functionName(call)
	switch {
	case name == "pg_sleep" && len(args) == 1:
		return &Statement{Kind: Sleep, Seconds: withDefaultType(args[0], "float8")}, nil
	case name == "generate_series" && len(args) == 2:
		return &Statement{Kind: Series, From: withDefaultType(args[0], "int4"), To: withDefaultType(args[1], "int4")}, nil
	}
	return nil, unsupported("function " + strconv.Quote(name))
}

// withDefaultType sets the type of a constant, or of a parameter without a cast.
func withDefaultType(o Operand, name string) Operand {
	if o.Type == "" || o.Param == 0 {
		o.Type = name
	}
	return o
}

func convertOperand(node *pgquery.Node) (Operand, error) {
	if p := node.GetParamRef(); p != nil {
		return Operand{Param: int(p.Number)}, nil
	}
	if c := node.GetTypeCast(); c != nil {
		return convertCast(c)
	}
	if e := node.GetAExpr(); e != nil {
		return convertNegative(e)
	}
	c := node.GetAConst()
	switch {
	case c == nil:
		return Operand{}, unsupported("expression")
	case c.Isnull:
		return Operand{Null: true}, nil
	case c.GetSval() != nil:
		return Operand{Text: c.GetSval().GetSval(), Type: "text"}, nil
	case c.GetFval() != nil:
		return convertFloat(c.GetFval().GetFval()), nil
	case c.GetBoolval() != nil:
		return Operand{Text: strconv.FormatBool(c.GetBoolval().GetBoolval()), Type: "text"}, nil
	}
	return Operand{Text: strconv.Itoa(int(c.GetIval().GetIval())), Type: "int4"}, nil
}

// convertFloat converts a constant that the parser reports as floating point. It
// reports integers beyond 32 bits so, too.
func convertFloat(text string) Operand {
	if isInteger(text) {
		return Operand{Text: text, Type: "int8"}
	}
	return Operand{Text: text, Type: "text"}
}

// convertNegative converts a number with a minus sign. The number may be in
// parentheses, as pgx writes it in the simple protocol.
func convertNegative(e *pgquery.A_Expr) (Operand, error) {
	if e.GetLexpr() != nil || len(e.GetName()) != 1 || e.GetName()[0].GetString_().GetSval() != "-" {
		return Operand{}, unsupported("expression")
	}
	operand, err := convertOperand(e.GetRexpr())
	operand.Text = "-" + operand.Text
	return operand, err
}

func convertCast(c *pgquery.TypeCast) (Operand, error) {
	operand, err := convertOperand(c.GetArg())
	if err != nil {
		return Operand{}, err
	}
	names := c.GetTypeName().GetNames()
	if len(names) == 0 {
		return Operand{}, unsupported("cast")
	}
	switch name := names[len(names)-1].GetString_().GetSval(); name {
	case "int4", "int8", "text", "float8":
		operand.Type = name
	case "varchar", "uuid", "bpchar":
		operand.Type = "text"
	default:
		return Operand{}, unsupported("cast to " + name)
	}
	return operand, nil
}
