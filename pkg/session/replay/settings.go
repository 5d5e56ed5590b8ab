// Package replay keeps the SET statements of a session, which another target connection has
// to run before the session's next statement.
package replay

import "strings"

// ResetAll is the parameter that stands for RESET ALL.
const ResetAll = "all"

// DiscardAll is the parameter that stands for DISCARD ALL.
const DiscardAll = "discard all"

// setStatement is one SET statement and the parameter that it sets.
type setStatement struct {
	parameter string
	sql       string
}

// Settings holds a session's SET statements in the order in which a target
// connection has to replay them. Copies share the list; a change creates a new
// one.
type Settings struct {
	statements []setStatement
	sql        string
}

// SQL returns the SQL that gives a connection these settings, empty for none.
func (s Settings) SQL() string { return s.sql }

// Add returns the settings after one more statement.
func (s Settings) Add(name, text string) Settings {
	if name == ResetAll || name == DiscardAll {
		return Settings{}
	}
	var list []setStatement
	for _, old := range s.statements {
		if name == "" || old.parameter != name {
			list = append(list, old)
		}
	}
	list = append(list, setStatement{parameter: name, sql: strings.TrimRight(strings.TrimSpace(text), ";")})
	return Settings{statements: list, sql: replaySQL(list)}
}

// replaySQL returns the SQL that resets a connection and runs the SET
// statements.
func replaySQL(list []setStatement) string {
	var b strings.Builder
	b.WriteString("RESET ALL")
	for _, set := range list {
		b.WriteString("\n; ")
		b.WriteString(set.sql)
	}
	return b.String()
}
