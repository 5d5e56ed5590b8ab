package classify

import (
	pgquery "github.com/pganalyze/pg_query_go/v6"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// findings are the results of walking the parse tree of a statement.
type findings struct {
	// writeReason is why the statement may write; empty if it only reads.
	writeReason string
	// changesSessionState is set if the statement changes state of the
	// connection that outlives the transaction.
	changesSessionState bool
}

// inspectTree visits every node of a statement's parse tree.
func inspectTree(m protoreflect.Message) findings {
	var f findings
	f.visit(m)
	return f
}

// visit checks the node and visits the nodes below it.
func (f *findings) visit(m protoreflect.Message) {
	f.checkNode(m.Interface())
	m.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		f.visitField(field, value)
		return true
	})
}

func (f *findings) visitField(field protoreflect.FieldDescriptor, value protoreflect.Value) {
	if field.Message() == nil {
		return
	}
	if !field.IsList() {
		f.visit(value.Message())
		return
	}
	list := value.List()
	for i := range list.Len() {
		f.visit(list.Get(i).Message())
	}
}

// checkNode records whether the node itself may write or change state of the
// connection.
func (f *findings) checkNode(node any) {
	switch n := node.(type) {
	case *pgquery.SelectStmt:
		f.checkSelect(n)
	case *pgquery.FuncCall:
		f.checkFuncCall(n)
	case *pgquery.RangeVar:
		f.changesSessionState = f.changesSessionState || n.Relpersistence == "t"
	case *pgquery.InsertStmt, *pgquery.UpdateStmt, *pgquery.DeleteStmt, *pgquery.MergeStmt:
		f.writeReason = "the statement modifies data"
	}
}

func (f *findings) checkSelect(n *pgquery.SelectStmt) {
	if len(n.LockingClause) > 0 {
		f.writeReason = "the statement locks rows"
	}
	if n.IntoClause != nil {
		f.writeReason = "the statement creates a table"
	}
}

func (f *findings) checkFuncCall(n *pgquery.FuncCall) {
	name := functionName(n)
	f.changesSessionState = f.changesSessionState || statefulFunctions[name]
	if !readOnlyFunctions[name] {
		f.writeReason = "the statement calls a function that is not known to be read-only"
	}
}

// functionName returns the name of the function without its schema. It returns
// the empty string for a function that is qualified with another schema than
// systemSchema.
func functionName(n *pgquery.FuncCall) string {
	parts := n.Funcname
	if len(parts) == 2 && nameText(parts[0]) == systemSchema {
		parts = parts[1:]
	}
	if len(parts) != 1 {
		return ""
	}
	return nameText(parts[0])
}

func nameText(n *pgquery.Node) string {
	return n.GetString_().GetSval()
}
