package classify

import (
	"regexp"
	"strconv"
	"strings"

	pgquery "github.com/pganalyze/pg_query_go/v6"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// proxyParameterPrefix is the prefix of the proxy's own parameters.
const proxyParameterPrefix = "sassafrasshunt."

// writeStatusPattern matches SHOW sassafrasshunt.write_status 'write ID', the only
// statement of the proxy that is not in PostgreSQL's grammar.
var writeStatusPattern = regexp.MustCompile(`(?is)^\s*(?:/\*.*?\*/\s*)*SHOW\s+(sassafrasshunt\.write_status)\s+'([^']*)'\s*;?\s*$`)

// classifyText returns the classification of one text, which may have several
// statements. Text that the parser rejects is classified as a write.
func classifyText(text string) session.Classification {
	hints := parseHints(text)
	if match := writeStatusPattern.FindStringSubmatch(text); match != nil {
		class := newClassification(session.KindProxyShow, "the fate of a named write is asked for")
		class.Name, class.Value, class.Hints = strings.ToLower(match[1]), match[2], hints
		return class
	}
	tree, err := pgquery.Parse(text)
	if err != nil {
		class := newClassification(session.KindWrite, "the parser does not understand the statement")
		class.Hints = hints
		return class
	}
	merged := newClassification(session.KindEmpty, "no statement")
	for i, raw := range tree.Stmts {
		class := classifyStatement(raw.Stmt)
		if i > 0 {
			class = mergeClassifications(merged, class)
		}
		merged = class
	}
	merged.Hints = hints
	return merged
}

// newClassification returns a classification without hints. Callers receive the
// reason in explain.
func newClassification(kind session.Kind, reason string) session.Classification {
	return session.Classification{Kind: kind, Hints: noHints(), Reason: reason}
}

func classifyStatement(node *pgquery.Node) session.Classification {
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
		return newClassification(session.KindUnsupported, "COPY")
	case *pgquery.Node_ListenStmt, *pgquery.Node_UnlistenStmt:
		return newClassification(session.KindUnsupported, "LISTEN and UNLISTEN")
	}
	return classifyOther(node)
}

func classifySelect(node *pgquery.Node) session.Classification {
	f := inspectTree(node.ProtoReflect())
	if f.writeReason == "" {
		return newClassification(session.KindRead, "the statement only reads")
	}
	class := newClassification(session.KindWrite, f.writeReason)
	class.ChangesSessionState = f.changesSessionState
	return class
}

// classifyOther classifies every other statement as a write, and sets
// ChangesSessionState for those that change state of the connection.
func classifyOther(node *pgquery.Node) session.Classification {
	class := newClassification(session.KindWrite, "the statement is no plain read")
	class.ChangesSessionState = inspectTree(node.ProtoReflect()).changesSessionState
	switch n := node.GetNode().(type) {
	case *pgquery.Node_PrepareStmt, *pgquery.Node_DeallocateStmt, *pgquery.Node_DoStmt,
		*pgquery.Node_CallStmt, *pgquery.Node_LoadStmt:
		class.ChangesSessionState = true
	case *pgquery.Node_DeclareCursorStmt:
		class.ChangesSessionState = class.ChangesSessionState || n.DeclareCursorStmt.Options&cursorHold != 0
	}
	return class
}

// cursorHold is CURSOR_OPT_HOLD, the option bit of DECLARE ... WITH HOLD.
const cursorHold = 0x0020

func classifyShow(n *pgquery.VariableShowStmt) session.Classification {
	if !strings.HasPrefix(n.Name, proxyParameterPrefix) {
		return newClassification(session.KindRead, "the statement shows a parameter")
	}
	class := newClassification(session.KindProxyShow, "a parameter of the proxy is shown")
	class.Name = n.Name
	return class
}

func classifySet(n *pgquery.VariableSetStmt) session.Classification {
	if strings.HasPrefix(n.Name, proxyParameterPrefix) {
		class := newClassification(session.KindProxySet, "a parameter of the proxy is set")
		class.Name = n.Name
		class.Value = firstValue(n.Args)
		return class
	}
	if n.IsLocal || n.Name == "TRANSACTION" || n.Name == "TRANSACTION SNAPSHOT" {
		return newClassification(session.KindRead, "the setting lasts for the transaction only")
	}
	class := newClassification(session.KindSessionSet, "a setting of the session is changed")
	class.Name = strings.ToLower(n.Name)
	if n.Kind == pgquery.VariableSetKind_VAR_RESET_ALL {
		class.Name = "all"
	}
	return class
}

// firstValue returns the first value of a SET statement as text, or the empty
// string if it has none.
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

func classifyTransaction(n *pgquery.TransactionStmt) session.Classification {
	switch n.Kind {
	case pgquery.TransactionStmtKind_TRANS_STMT_BEGIN, pgquery.TransactionStmtKind_TRANS_STMT_START:
		class := newClassification(session.KindBegin, "a transaction begins")
		class.ReadOnly = isReadOnly(n.Options)
		return class
	case pgquery.TransactionStmtKind_TRANS_STMT_COMMIT:
		return transactionEnd("commit", true, n.Chain)
	case pgquery.TransactionStmtKind_TRANS_STMT_ROLLBACK:
		return transactionEnd("rollback", false, n.Chain)
	case pgquery.TransactionStmtKind_TRANS_STMT_PREPARE:
		return transactionEnd("", true, false)
	case pgquery.TransactionStmtKind_TRANS_STMT_SAVEPOINT,
		pgquery.TransactionStmtKind_TRANS_STMT_RELEASE,
		pgquery.TransactionStmtKind_TRANS_STMT_ROLLBACK_TO:
		return newClassification(session.KindRead, "a savepoint of the transaction")
	}
	return newClassification(session.KindWrite, "a prepared transaction ends")
}

// transactionEnd returns the classification of a statement that ends a
// transaction. COMMIT and ROLLBACK without AND CHAIN have a name, so that the proxy
// can answer them itself if no transaction is open.
func transactionEnd(name string, commit, chain bool) session.Classification {
	class := newClassification(session.KindEnd, "a transaction ends")
	class.Commit = commit
	if !chain {
		class.Name = name
	}
	return class
}

// isReadOnly reports whether the options of BEGIN make the transaction read-only.
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

func classifyDiscard(n *pgquery.DiscardStmt) session.Classification {
	if n.Target != pgquery.DiscardMode_DISCARD_ALL {
		return newClassification(session.KindWrite, "the statement discards state of the connection")
	}
	class := newClassification(session.KindSessionSet, "the session's settings are discarded")
	class.Name = "discard all"
	return class
}
