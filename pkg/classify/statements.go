package classify

import (
	"regexp"
	"strconv"
	"strings"

	pgquery "github.com/pganalyze/pg_query_go/v6"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// ownPrefix begins the names of the proxy's own parameters.
const ownPrefix = "sassafrasshunt."

// writeStatus is the one statement that is not in PostgreSQL's grammar.
var writeStatus = regexp.MustCompile(`(?is)^\s*(?:/\*.*?\*/\s*)*SHOW\s+(sassafrasshunt\.write_status)\s+'([^']*)'\s*;?\s*$`)

// classifyText returns the verdict on one text, which may hold several
// statements.
func classifyText(text string) session.Verdict {
	hints := parseHints(text)
	if m := writeStatus.FindStringSubmatch(text); m != nil {
		v := verdict(session.KindOwnShow, "the fate of a named write is asked for")
		v.Name, v.Value, v.Hints = strings.ToLower(m[1]), m[2], hints
		return v
	}
	tree, err := pgquery.Parse(text)
	if err != nil {
		v := verdict(session.KindWrite, "the parser does not understand the statement")
		v.Hints = hints
		return v
	}
	merged := verdict(session.KindEmpty, "no statement")
	for i, raw := range tree.Stmts {
		v := classifyStatement(raw.Stmt)
		if i > 0 {
			v = merge(merged, v)
		}
		merged = v
	}
	merged.Hints = hints
	return merged
}

func verdict(kind session.Kind, reason string) session.Verdict {
	return session.Verdict{Kind: kind, Hints: noHints(), Reason: reason}
}

func classifyStatement(node *pgquery.Node) session.Verdict {
	switch n := node.GetNode().(type) {
	case *pgquery.Node_SelectStmt:
		return classifySelect(node)
	case *pgquery.Node_VariableShowStmt:
		return classifyShow(n.VariableShowStmt)
	case *pgquery.Node_VariableSetStmt:
		return classifySet(n.VariableSetStmt)
	case *pgquery.Node_TransactionStmt:
		return classifyTransaction(n.TransactionStmt)
	case *pgquery.Node_DiscardStmt:
		return classifyDiscard(n.DiscardStmt)
	case *pgquery.Node_CopyStmt:
		return verdict(session.KindRefused, "COPY")
	case *pgquery.Node_ListenStmt, *pgquery.Node_UnlistenStmt:
		return verdict(session.KindRefused, "LISTEN and UNLISTEN")
	}
	return classifyOther(node)
}

func classifySelect(node *pgquery.Node) session.Verdict {
	f := inspect(node.ProtoReflect())
	if f.write == "" {
		return verdict(session.KindRead, "the statement only reads")
	}
	v := verdict(session.KindWrite, f.write)
	v.LeavesState = f.state
	return v
}

// classifyOther treats every other statement as a write, and notes those that
// leave something on the connection.
func classifyOther(node *pgquery.Node) session.Verdict {
	v := verdict(session.KindWrite, "the statement is no plain read")
	v.LeavesState = inspect(node.ProtoReflect()).state
	switch n := node.GetNode().(type) {
	case *pgquery.Node_PrepareStmt, *pgquery.Node_DeallocateStmt, *pgquery.Node_DoStmt,
		*pgquery.Node_CallStmt, *pgquery.Node_LoadStmt:
		v.LeavesState = true
	case *pgquery.Node_DeclareCursorStmt:
		v.LeavesState = v.LeavesState || n.DeclareCursorStmt.Options&cursorHold != 0
	}
	return v
}

// cursorHold is the option bit of DECLARE ... WITH HOLD (CURSOR_OPT_HOLD).
const cursorHold = 0x0020

func classifyShow(n *pgquery.VariableShowStmt) session.Verdict {
	if !strings.HasPrefix(n.Name, ownPrefix) {
		return verdict(session.KindRead, "the statement shows a parameter")
	}
	v := verdict(session.KindOwnShow, "a parameter of the proxy is shown")
	v.Name = n.Name
	return v
}

func classifySet(n *pgquery.VariableSetStmt) session.Verdict {
	if strings.HasPrefix(n.Name, ownPrefix) {
		v := verdict(session.KindOwnSet, "a parameter of the proxy is set")
		v.Name = n.Name
		v.Value = firstValue(n.Args)
		return v
	}
	if n.IsLocal || n.Name == "TRANSACTION" || n.Name == "TRANSACTION SNAPSHOT" {
		return verdict(session.KindRead, "the setting lasts for the transaction only")
	}
	v := verdict(session.KindSessionSet, "a setting of the session is changed")
	v.Name = strings.ToLower(n.Name)
	if n.Kind == pgquery.VariableSetKind_VAR_RESET_ALL {
		v.Name = "all"
	}
	return v
}

func firstValue(args []*pgquery.Node) string {
	if len(args) == 0 {
		return ""
	}
	constant := args[0].GetAConst()
	if s := constant.GetSval(); s != nil {
		return s.Sval
	}
	if f := constant.GetFval(); f != nil {
		return f.Fval
	}
	return strconv.Itoa(int(constant.GetIval().GetIval()))
}

func classifyTransaction(n *pgquery.TransactionStmt) session.Verdict {
	switch n.Kind {
	case pgquery.TransactionStmtKind_TRANS_STMT_BEGIN, pgquery.TransactionStmtKind_TRANS_STMT_START:
		v := verdict(session.KindBegin, "a transaction begins")
		v.ReadOnly = isReadOnly(n.Options)
		return v
	case pgquery.TransactionStmtKind_TRANS_STMT_COMMIT:
		return end("commit", true, n.Chain)
	case pgquery.TransactionStmtKind_TRANS_STMT_ROLLBACK:
		return end("rollback", false, n.Chain)
	case pgquery.TransactionStmtKind_TRANS_STMT_PREPARE:
		return end("", true, false)
	case pgquery.TransactionStmtKind_TRANS_STMT_SAVEPOINT,
		pgquery.TransactionStmtKind_TRANS_STMT_RELEASE,
		pgquery.TransactionStmtKind_TRANS_STMT_ROLLBACK_TO:
		return verdict(session.KindRead, "a savepoint of the transaction")
	}
	return verdict(session.KindWrite, "a prepared transaction ends")
}

// end returns the verdict on the end of a transaction. Only a plain one has a
// name, so that the proxy may answer it when no transaction is open.
func end(name string, commit, chain bool) session.Verdict {
	v := verdict(session.KindEnd, "a transaction ends")
	v.Commit = commit
	if !chain {
		v.Name = name
	}
	return v
}

func isReadOnly(options []*pgquery.Node) bool {
	readOnly := false
	for _, option := range options {
		d := option.GetDefElem()
		if d.GetDefname() == "transaction_read_only" {
			readOnly = d.GetArg().GetAConst().GetIval().GetIval() == 1
		}
	}
	return readOnly
}

func classifyDiscard(n *pgquery.DiscardStmt) session.Verdict {
	if n.Target != pgquery.DiscardMode_DISCARD_ALL {
		return verdict(session.KindWrite, "the statement discards state of the connection")
	}
	v := verdict(session.KindSessionSet, "the session's settings are discarded")
	v.Name = "discard all"
	return v
}
