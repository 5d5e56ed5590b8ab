package session

import (
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session/replay"
)

// currentSettings returns the settings in effect, including those of an open
// transaction.
func (c *caller) currentSettings() replay.Settings {
	if c.inTransaction() {
		return c.txSettings
	}
	return c.settings
}

// recordSetting records the statement's successful SET.
func (c *caller) recordSetting(s *statement) {
	next := c.currentSettings()
	for _, text := range s.request.Texts {
		next = next.Add(s.classification.Name, text)
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
	want := c.settings.SQL()
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
	size := len(s.c.currentSettings().SQL())
	for _, text := range s.request.Texts {
		size += len(text)
	}
	return size > s.c.e.cfg.MaxSettingsBytes
}

func (s *statement) refuseSettingsTooLarge() {
	s.notRun(core.ReasonOverloaded, "the session has too many settings")
}
