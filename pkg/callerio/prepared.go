package callerio

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/wire"
)

const (
	// statementPrefix is the prefix of the names of prepared statements on targets.
	statementPrefix = "ss_"
	// absentStatement is the name of a statement that exists on no target. Closing
	// it has no effect other than a CloseComplete.
	absentStatement = "sassafrasshunt_absent"
	// digestSize is the number of digest bytes in a statement name. A collision of
	// 128 bits is infeasible.
	digestSize = 16
)

// statement is a prepared statement. All callers that prepare the same text with
// the same parameter types share it.
type statement struct {
	// name is the statement's name on targets, derived from the text and the types.
	name string
	text string
	// parseFrame is the complete Parse message that creates the statement.
	parseFrame []byte
	// refs counts the names of callers that refer to the statement.
	refs int
}

// matches reports whether s has the given text and types, encoded as in a Parse
// message after the name. It avoids computing the digest when a caller parses the
// same text again.
func (s *statement) matches(definition []byte) bool {
	return bytes.Equal(s.parseFrame[wire.HeaderSize+len(s.name)+1:], definition)
}

// statementInterner stores each distinct statement once, so that thousands of
// callers that run the same application share one copy of each text.
type statementInterner struct {
	byName map[string]*statement
}

func newStatementInterner() *statementInterner {
	return &statementInterner{byName: map[string]*statement{}}
}

// acquire returns the statement with the given text and encoded parameter types
// (the part of a Parse message after the text) and adds one reference to it.
func (i *statementInterner) acquire(text, types []byte) *statement {
	name := statementName(text, types)
	s := i.byName[name]
	if s == nil {
		s = &statement{name: name, text: string(text)}
		s.parseFrame = wire.AppendFrame(nil, 'P', []byte(name), nul, text, nul, types)
		i.byName[name] = s
	}
	s.refs++
	return s
}

// release drops one reference to s.
func (i *statementInterner) release(s *statement) {
	s.refs--
	if s.refs == 0 {
		delete(i.byName, s.name)
	}
}

// nul is the terminator of a string in a message.
var nul = []byte{0}

// statementName returns the name of a statement on targets.
func statementName(text, types []byte) string {
	digest := sha256.New()
	digest.Write(text)
	digest.Write(nul)
	digest.Write(types)
	var sum [sha256.Size]byte
	digest.Sum(sum[:0])
	return statementPrefix + hex.EncodeToString(sum[:digestSize])
}

// setStatement stores s under a name of the caller, which takes over the reference.
// It releases s and returns false when the caller has MaxStatements statements.
func (c *caller) setStatement(name string, s *statement) bool {
	if c.statements == nil {
		c.statements = map[string]*statement{}
	}
	old, exists := c.statements[name]
	if !exists && len(c.statements) >= c.duty.config.MaxStatements {
		c.duty.statements.release(s)
		return false
	}
	if exists {
		c.duty.statements.release(old)
	}
	c.statements[name] = s
	return true
}

// removeStatement removes the caller's statement with this name, if it exists.
func (c *caller) removeStatement(name string) {
	s, exists := c.statements[name]
	if exists {
		delete(c.statements, name)
		c.duty.statements.release(s)
	}
}

// releaseStatements drops all statements and portals of the caller.
func (c *caller) releaseStatements() {
	for _, s := range c.statements {
		c.duty.statements.release(s)
	}
	c.statements, c.portals = nil, nil
}

// stateCommands holds the first words of commands that change the state of a
// transaction or session when executed. These commands have neither parameters
// nor rows.
var stateCommands = map[string]bool{
	"begin": true, "start": true, "commit": true, "end": true, "rollback": true,
	"abort": true, "savepoint": true, "release": true,
	"set": true, "reset": true, "discard": true,
}

// changesState reports whether text starts with a command that changes the
// state of a transaction or session. A batch that only prepares such a text must
// not be classified, because classification treats every text as executed.
func changesState(text string) bool {
	text = skipComments(text)
	end := strings.IndexFunc(text, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z')
	})
	if end < 0 {
		end = len(text)
	}
	return stateCommands[strings.ToLower(text[:end])]
}

// skipComments returns text without leading white space, semicolons and comments.
func skipComments(text string) string {
	for {
		text = strings.TrimLeft(text, " \t\r\n;")
		rest, found := text, false
		if strings.HasPrefix(text, "--") {
			_, rest, found = strings.Cut(text, "\n")
		}
		if strings.HasPrefix(text, "/*") {
			_, rest, found = strings.Cut(text, "*/")
		}
		if !found {
			return text
		}
		text = rest
	}
}
