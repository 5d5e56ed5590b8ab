package session

import (
	"strings"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// resetAll is the name that stands for RESET ALL in a verdict.
const resetAll = "all"

// discardAll is the name that stands for DISCARD ALL in a verdict.
const discardAll = "discard all"

type setting struct {
	name string
	sql  string
}

// settings are the session's SET statements in the order in which a target
// connection has to replay them. Copies share the list; changes make a new one.
type settings struct {
	list []setting
	// replay is the SQL that brings a connection to these settings.
	replaySQL string
}

// with returns the settings after one more statement.
func (s settings) add(name, text string) settings {
	if name == resetAll || name == discardAll {
		return settings{}
	}
	var list []setting
	for _, old := range s.list {
		if name == "" || old.name != name {
			list = append(list, old)
		}
	}
	list = append(list, setting{name: name, sql: strings.TrimRight(strings.TrimSpace(text), ";")})
	return settings{list: list, replaySQL: replaySQL(list)}
}

func replaySQL(list []setting) string {
	var b strings.Builder
	b.WriteString("RESET ALL")
	for _, one := range list {
		b.WriteString("\n; ")
		b.WriteString(one.sql)
	}
	return b.String()
}

// current returns the settings in effect, those of an open transaction included.
func (c *caller) currentSettings() settings {
	if c.inTransaction() {
		return c.txSettings
	}
	return c.settings
}

// applySettings records a successful SET of the statement.
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

// preludeFor returns the SQL that brings an idle connection to the session's
// settings, empty when it has them.
func (c *caller) preludeFor(t *target) string {
	wanted := c.settings.replaySQL
	if t.appliedSettings == wanted {
		return ""
	}
	if wanted == "" {
		return "RESET ALL"
	}
	return wanted
}

// tooManySettings reports a SET that would let the replayed text grow beyond
// its bound.
func (s *statement) settingsTooLarge() bool {
	if s.classification.Kind != KindSessionSet {
		return false
	}
	size := len(s.c.currentSettings().replaySQL)
	for _, text := range s.request.Texts {
		size += len(text)
	}
	return size > s.c.e.cfg.SettingsBytes
}

func (s *statement) refuseSettingsTooLarge() {
	s.notRun(core.ReasonOverloaded, "the session has too many settings")
}
