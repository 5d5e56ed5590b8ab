package callerio

import (
	"slices"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/wire"
)

// step is the kind of one message of a batch; it determines the response
// message.
type step uint8

// Steps of a batch.
const (
	stepParse step = iota
	stepBind
	stepDescribeStatement
	stepDescribePortal
	stepExecute
	stepClose
)

// batch collects extended-query messages up to Sync or Flush.
type batch struct {
	frames []byte
	refs   []statementRef
	// index finds the position in refs by statement; it is nil for fewer than
	// indexThreshold references.
	index map[*statement]int
	steps []step
	// needsTarget is set when a message must be executed by a target; a batch
	// that only closes statements is answered by the proxy.
	needsTarget bool
	// failure is the first error that the proxy found; later messages of the
	// batch are dropped, as a server does after an error.
	failure *wire.Failure
}

// statementRef is a statement that a batch refers to.
type statementRef struct {
	statement *statement
	// executed is set when the batch executes a portal of the statement.
	executed bool
	// required is set when the statement must exist on the target connection.
	required bool
	// explicit is set when the caller sent a Parse for it before any other
	// message of the batch that requires the statement.
	explicit bool
}

// indexThreshold is the number of references from which a map lookup is faster
// than a linear scan.
const indexThreshold = 8

// empty reports whether the batch has no message so far.
func (b *batch) empty() bool {
	return len(b.steps) == 0 && b.failure == nil
}

// fail records an error that the proxy raises for the batch, which is not run.
func (b *batch) fail(sqlState, message string) {
	b.failure = &wire.Failure{
		Severity: wire.SeverityError,
		SQLState: sqlState,
		Message:  message,
		Detail:   outcomeDetail(core.OutcomeNotRun),
	}
}

// ref returns the reference of the batch to s and adds it if it is missing. The
// pointer is valid until the next call.
func (b *batch) ref(s *statement) *statementRef {
	if i, found := b.find(s); found {
		return &b.refs[i]
	}
	b.refs = append(b.refs, statementRef{statement: s})
	last := len(b.refs) - 1
	if len(b.refs) == indexThreshold {
		b.index = map[*statement]int{}
		for i := range b.refs {
			b.index[b.refs[i].statement] = i
		}
	}
	if b.index != nil {
		b.index[s] = last
	}
	return &b.refs[last]
}

func (b *batch) find(s *statement) (int, bool) {
	if b.index != nil {
		i, found := b.index[s]
		return i, found
	}
	for i := range b.refs {
		if b.refs[i].statement == s {
			return i, true
		}
	}
	return 0, false
}

// require marks s as a statement that must exist on the target and reports
// whether it was not marked before. explicit is set for a Parse of the caller.
func (b *batch) require(s *statement, explicit bool) bool {
	ref := b.ref(s)
	if ref.required {
		return false
	}
	ref.required = true
	ref.explicit = explicit
	return true
}

// prepared returns the statements that must exist on the target connection.
func (b *batch) prepared() []session.PreparedStatement {
	list := make([]session.PreparedStatement, 0, len(b.refs))
	for _, ref := range b.refs {
		if !ref.required {
			continue
		}
		list = append(list, session.PreparedStatement{
			Name:       ref.statement.name,
			ParseFrame: ref.statement.parseFrame,
			Explicit:   ref.explicit,
		})
	}
	return list
}

// addStep appends a message to the batch. needsTarget is set when a target must
// execute it.
func (b *batch) addStep(s step, needsTarget bool) {
	b.steps = append(b.steps, s)
	b.needsTarget = b.needsTarget || needsTarget
}

// classifiableTexts returns the SQL texts for classification. A command that
// changes the state of a transaction or session and is prepared but not executed
// is omitted, because classification treats every text as executed.
func (b *batch) classifiableTexts() []string {
	var texts []string
	for _, ref := range b.refs {
		if ref.executed || !changesState(ref.statement.text) {
			texts = append(texts, ref.statement.text)
		}
	}
	return texts
}

// preparesOnly reports whether the batch executes nothing.
func (b *batch) preparesOnly() bool {
	return !slices.Contains(b.steps, stepExecute)
}

// answeredByProxy reports whether the batch is answered without a target.
func (b *batch) answeredByProxy() bool {
	return !b.needsTarget || len(b.classifiableTexts()) == 0
}
