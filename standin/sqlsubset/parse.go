package sqlsubset

import (
	"regexp"
	"strings"

	pgquery "github.com/pganalyze/pg_query_go/v6"
)

var (
	// writeStatusPattern matches SHOW sassafrasshunt.write_status 'ID', the only
	// statement that PostgreSQL's grammar does not accept.
	writeStatusPattern = regexp.MustCompile(`(?is)^\s*(?:/\*.*?\*/\s*)*SHOW\s+sassafrasshunt\.write_status\s+'([^']*)'\s*;?\s*$`)
	hintPattern        = regexp.MustCompile(`(?s)^\s*/\*\+(.*?)\*/`)
	identityPattern    = regexp.MustCompile(`(?:^|[\s,])write_id=([^\s,]+)`)
)

// Parse returns the statements of a query text. It returns a *SyntaxError for text
// that is not in the subset.
func Parse(text string) ([]*Statement, error) {
	if match := writeStatusPattern.FindStringSubmatch(text); match != nil {
		return []*Statement{{Kind: WriteStatus, Text: text, Identity: match[1]}}, nil
	}
	tree, err := pgquery.Parse(text)
	if err != nil {
		return nil, &SyntaxError{Reason: err.Error()}
	}
	var statements []*Statement
	for _, raw := range tree.Stmts {
		s, err := convert(raw.Stmt)
		if err != nil {
			return nil, err
		}
		s.Text = statementText(text, raw)
		s.Identity = writeIdentity(s.Text)
		statements = append(statements, s)
	}
	return statements, nil
}

// statementText returns the source text of a statement.
func statementText(text string, raw *pgquery.RawStmt) string {
	from := int(raw.StmtLocation)
	if raw.StmtLen == 0 {
		return text[from:]
	}
	return text[from : from+int(raw.StmtLen)]
}

// writeIdentity returns the write_id of a leading hint, or an empty string.
func writeIdentity(text string) string {
	hint := hintPattern.FindStringSubmatch(text)
	if hint == nil {
		return ""
	}
	match := identityPattern.FindStringSubmatch(hint[1])
	if match == nil {
		return ""
	}
	return match[1]
}

func convert(node *pgquery.Node) (*Statement, error) {
	switch n := node.Node.(type) {
	case *pgquery.Node_InsertStmt:
		return convertInsert(n.InsertStmt)
	case *pgquery.Node_UpdateStmt:
		return convertUpdate(n.UpdateStmt)
	case *pgquery.Node_DeleteStmt:
		return convertDelete(n.DeleteStmt)
	case *pgquery.Node_SelectStmt:
		return convertSelect(n.SelectStmt)
	case *pgquery.Node_TransactionStmt:
		return convertTransaction(n.TransactionStmt)
	case *pgquery.Node_VariableSetStmt:
		return convertSet(n.VariableSetStmt)
	case *pgquery.Node_VariableShowStmt:
		return &Statement{Kind: Show, Name: n.VariableShowStmt.Name}, nil
	case *pgquery.Node_DiscardStmt:
		return &Statement{Kind: DiscardAll}, nil
	}
	return nil, unsupported("statement")
}

func convertTransaction(n *pgquery.TransactionStmt) (*Statement, error) {
	switch n.Kind {
	case pgquery.TransactionStmtKind_TRANS_STMT_BEGIN, pgquery.TransactionStmtKind_TRANS_STMT_START:
		return &Statement{Kind: Begin, ReadOnly: readOnly(n.Options)}, nil
	case pgquery.TransactionStmtKind_TRANS_STMT_COMMIT:
		return &Statement{Kind: Commit}, nil
	case pgquery.TransactionStmtKind_TRANS_STMT_ROLLBACK:
		return &Statement{Kind: Rollback}, nil
	}
	return nil, unsupported("transaction statement")
}

// readOnly reports whether the options of BEGIN include READ ONLY.
func readOnly(options []*pgquery.Node) bool {
	for _, o := range options {
		e := o.GetDefElem()
		if e.GetDefname() == "transaction_read_only" && e.GetArg().GetAConst().GetIval().GetIval() == 1 {
			return true
		}
	}
	return false
}

func convertSet(n *pgquery.VariableSetStmt) (*Statement, error) {
	switch n.Kind {
	case pgquery.VariableSetKind_VAR_RESET, pgquery.VariableSetKind_VAR_RESET_ALL, pgquery.VariableSetKind_VAR_SET_DEFAULT:
		return &Statement{Kind: Reset, Name: n.Name}, nil
	}
	var values []string
	for _, a := range n.Args {
		operand, err := convertOperand(a)
		if err != nil {
			return nil, err
		}
		values = append(values, operand.Text)
	}
	return &Statement{Kind: Set, Name: n.Name, Setting: strings.Join(values, ", ")}, nil
}
