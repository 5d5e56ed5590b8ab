package session

import (
	"strings"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// resetAll is the Name of a Classification on RESET ALL.
const resetAll = "all"

// discardAll is the Name of a Classification on DISCARD ALL.
const discardAll = "discard all"

// setStatement is one SET statement and the parameter that it sets.
type setStatement struct {
	parameter string
	sql       string
}

// settings holds the session's SET statements in the order in which a target
// connection has to replay them. Copies share the list; a change creates a new
// one.
type settings struct {
	statements []setStatement
	// replaySQL is the SQL that gives a connection these settings.
	replaySQL string
}

// add returns the settings after one more statement.
func (s settings) add(name, text string) settings {
	if name == resetAll || name == discardAll {
		return settings{}
	}
	var list []setStatement
	for _, old := range s.statements {
		if name == "" || old.parameter != name {
			list = append(list, old)
		}
	}
	list = append(list, setStatement{parameter: name, sql: strings.TrimRight(strings.TrimSpace(text), ";")})
	return settings{statements: list, replaySQL: replaySQL(list)}
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

// currentSettings returns the settings in effect, including those of an open
// transaction.
func (c *caller) currentSettings() settings {
	if c.inTransaction() {
		return c.txSettings
	}
	return c.settings
}

// recordSetting records the statement's successful SET.
func (c *caller) recordSetting(s *statement) {
	next := c.currentSettings()
	for _, text := range s.request.Texts {
		next = next.add(s.classification.Name, text)
	}
	if c.inTransaction() {
		c.txSettings = next
		return
	}
	c.settings = next
}

// preludeFor returns the SQL that gives an idle connection the session's
// settings, empty when it already has them.
func (c *caller) preludeFor(t *target) string {
	want := c.settings.replaySQL
	if t.appliedSettings == want {
		return ""
	}
	if want == "" {
		return "RESET ALL"
	}
	return want
}

// settingsTooLarge reports whether the SET would let the replayed SQL grow
// beyond Config.MaxSettingsBytes.
func (s *statement) settingsTooLarge() bool {
	if s.classification.Kind != KindSessionSet {
		return false
	}
	size := len(s.c.currentSettings().replaySQL)
	for _, text := range s.request.Texts {
		size += len(text)
	}
	return size > s.c.e.cfg.MaxSettingsBytes
}

func (s *statement) refuseSettingsTooLarge() {
	s.notRun(core.ReasonOverloaded, "the session has too many settings")
}
