package callerio

import (
	"slices"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/wire"
)

// step is one message of a batch, as far as its answer matters.
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
	uses   []use
	// index finds a use by its statement once uses has grown.
	index map[*statement]int
	steps []step
	// remote is set when a message needs a target; a batch that only closes
	// statements is answered here.
	remote bool
	// fault is the first error found here; later messages are dropped, as a
	// server does after an error.
	fault *wire.Failure
}

// use is a statement that a batch refers to.
type use struct {
	statement *statement
	// executed is set when the batch executes a portal of the statement.
	executed bool
	// required is set when the target must have the statement.
	required bool
	// explicit is set when the first reference is the caller's own Parse.
	explicit bool
}

// indexFrom is the number of uses from which a map is faster than a scan.
const indexFrom = 8

func (b *batch) empty() bool {
	return len(b.steps) == 0 && b.fault == nil
}

func (b *batch) fail(state, message string) {
	b.fault = &wire.Failure{
		Severity: wire.SeverityError,
		SQLState: state,
		Message:  message,
		Detail:   outcomeDetail(core.OutcomeNotRun),
	}
}

// refer returns the entry of s among the uses and adds it if need be.
func (b *batch) refer(s *statement) *use {
	if i, found := b.find(s); found {
		return &b.uses[i]
	}
	b.uses = append(b.uses, use{statement: s})
	last := len(b.uses) - 1
	if len(b.uses) == indexFrom {
		b.index = map[*statement]int{}
		for i := range b.uses {
			b.index[b.uses[i].statement] = i
		}
	}
	if b.index != nil {
		b.index[s] = last
	}
	return &b.uses[last]
}

func (b *batch) find(s *statement) (int, bool) {
	if b.index != nil {
		i, found := b.index[s]
		return i, found
	}
	for i := range b.uses {
		if b.uses[i].statement == s {
			return i, true
		}
	}
	return 0, false
}

// require lists s among the statements that the target must have and reports
// whether it was not listed yet. explicit is set for the caller's own Parse.
func (b *batch) require(s *statement, explicit bool) bool {
	u := b.refer(s)
	if u.required {
		return false
	}
	u.required = true
	u.explicit = explicit
	return true
}

// prepared returns the statements that the target must have.
func (b *batch) prepared() []session.PreparedStatement {
	list := make([]session.PreparedStatement, 0, len(b.uses))
	for _, u := range b.uses {
		if !u.required {
			continue
		}
		list = append(list, session.PreparedStatement{
			Name:       u.statement.name,
			ParseFrame: u.statement.parse,
			Explicit:   u.explicit,
		})
	}
	return list
}

func (b *batch) add(s step, remote bool) {
	b.steps = append(b.steps, s)
	b.remote = b.remote || remote
}

// texts returns the texts for classification. A command that changes the state
// of a transaction or session and is prepared but not executed is left out: it
// must not count as executed.
func (b *batch) texts() []string {
	var texts []string
	for _, u := range b.uses {
		if u.executed || !changesState(u.statement.text) {
			texts = append(texts, u.statement.text)
		}
	}
	return texts
}

// preparesOnly reports whether the batch executes nothing.
func (b *batch) preparesOnly() bool {
	return !slices.Contains(b.steps, stepExecute)
}

// local reports whether the batch is answered without a target.
func (b *batch) local() bool {
	return !b.remote || len(b.texts()) == 0
}
