package callerio

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/wire"
)

const (
	// statementPrefix starts the names of prepared statements on targets.
	statementPrefix = "ss_"
	// absentStatement is the name of a statement that no target has. Closing
	// it is answered with CloseComplete and drops nothing.
	absentStatement = "sassafrasshunt_absent"
	// digestSize is the number of digest bytes in a name: 128 bits make a
	// collision of two texts infeasible.
	digestSize = 16
)

// statement is a prepared statement, shared by every caller that prepared the
// same text with the same parameter types.
type statement struct {
	// name is the name on targets, derived from the text and the types.
	name string
	text string
	// parse is the complete Parse message that creates it under name.
	parse []byte
	// holders counts the caller names that refer to it.
	holders int
}

// is reports whether s has the given text and types, encoded as in a Parse
// message after the name. It spares the digest when a caller parses the same
// text again.
func (s *statement) is(definition []byte) bool {
	return bytes.Equal(s.parse[wire.HeaderSize+len(s.name)+1:], definition)
}

// library interns statements, so that thousands of callers with the same
// application hold one copy of each text.
type library struct {
	byName map[string]*statement
}

func newLibrary() *library {
	return &library{byName: map[string]*statement{}}
}

// acquire returns the statement with the given text and encoded parameter
// types (the part of a Parse message after the text) and counts one holder.
func (l *library) acquire(text, types []byte) *statement {
	name := statementName(text, types)
	s := l.byName[name]
	if s == nil {
		s = &statement{name: name, text: string(text)}
		s.parse = wire.AppendFrame(nil, 'P', []byte(name), zero, text, zero, types)
		l.byName[name] = s
	}
	s.holders++
	return s
}

func (l *library) release(s *statement) {
	s.holders--
	if s.holders == 0 {
		delete(l.byName, s.name)
	}
}

// zero terminates a string in a message.
var zero = []byte{0}

func statementName(text, types []byte) string {
	digest := sha256.New()
	digest.Write(text)
	digest.Write(zero)
	digest.Write(types)
	var sum [sha256.Size]byte
	digest.Sum(sum[:0])
	return statementPrefix + hex.EncodeToString(sum[:digestSize])
}

// define gives a statement a name of the caller. It reports false when the
// caller has too many.
func (c *caller) define(name string, s *statement) bool {
	if c.statements == nil {
		c.statements = map[string]*statement{}
	}
	old, exists := c.statements[name]
	if !exists && len(c.statements) >= c.duty.config.MaxStatements {
		c.duty.texts.release(s)
		return false
	}
	if exists {
		c.duty.texts.release(old)
	}
	c.statements[name] = s
	return true
}

func (c *caller) undefine(name string) {
	s, exists := c.statements[name]
	if exists {
		delete(c.statements, name)
		c.duty.texts.release(s)
	}
}

func (c *caller) releaseStatements() {
	for _, s := range c.statements {
		c.duty.texts.release(s)
	}
	c.statements, c.portals = nil, nil
}

// commandWords start the commands that have neither parameters nor rows and
// that change the state of a transaction or session when they are executed.
var commandWords = map[string]bool{
	"begin": true, "start": true, "commit": true, "end": true, "rollback": true,
	"abort": true, "savepoint": true, "release": true,
	"set": true, "reset": true, "discard": true,
}

// changesState reports whether text starts with a command that changes the
// state of a transaction or session. A batch that only prepares such a text
// must not reach classification, which takes every text as executed.
func changesState(text string) bool {
	text = skipComments(text)
	end := strings.IndexFunc(text, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z')
	})
	if end < 0 {
		end = len(text)
	}
	return commandWords[strings.ToLower(text[:end])]
}

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
