package classify

import (
	pgquery "github.com/pganalyze/pg_query_go/v6"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// findings are what a walk over a statement's tree found.
type findings struct {
	// write is why the statement may write, empty if nothing was found.
	write string
	// state is set when the statement leaves something on the connection.
	state bool
}

// inspect walks over every node of a statement, whatever its place.
func inspect(m protoreflect.Message) findings {
	var f findings
	f.visit(m)
	return f
}

func (f *findings) visit(m protoreflect.Message) {
	f.judge(m.Interface())
	m.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		f.descend(field, value)
		return true
	})
}

func (f *findings) descend(field protoreflect.FieldDescriptor, value protoreflect.Value) {
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

func (f *findings) judge(node any) {
	switch n := node.(type) {
	case *pgquery.SelectStmt:
		f.judgeSelect(n)
	case *pgquery.FuncCall:
		f.judgeCall(n)
	case *pgquery.RangeVar:
		f.state = f.state || n.Relpersistence == "t"
	case *pgquery.InsertStmt, *pgquery.UpdateStmt, *pgquery.DeleteStmt, *pgquery.MergeStmt:
		f.write = "the statement modifies data"
	}
}

func (f *findings) judgeSelect(n *pgquery.SelectStmt) {
	if len(n.LockingClause) > 0 {
		f.write = "the statement locks rows"
	}
	if n.IntoClause != nil {
		f.write = "the statement creates a table"
	}
}

func (f *findings) judgeCall(n *pgquery.FuncCall) {
	name := functionName(n)
	f.state = f.state || statefulFunctions[name]
	if !readOnlyFunctions[name] {
		f.write = "the statement calls a function that is not known to be read-only"
	}
}

// functionName returns the plain name of a function of PostgreSQL itself, and
// the empty text for a function of any other schema.
func functionName(n *pgquery.FuncCall) string {
	parts := n.Funcname
	if len(parts) == 2 && partName(parts[0]) == systemSchema {
		parts = parts[1:]
	}
	if len(parts) != 1 {
		return ""
	}
	return partName(parts[0])
}

func partName(n *pgquery.Node) string {
	return n.GetString_().GetSval()
}
