package member

import (
	"encoding/json"
	"strings"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// memberSetting is the name of the setting that identifies the member.
const memberSetting = "sassafrasshunt.member"

// Identification is the JSON value that SHOW sassafrasshunt.member returns.
type Identification struct {
	Member core.MemberID `json:"member"`
	Role   core.Role     `json:"role"`
	Term   core.Term     `json:"term"`
}

func runBegin(s *session, e *execution) (*result, *SQLError) {
	s.fireTx(s.m.transaction.begin)
	if err := s.popPendingError(); err != nil {
		return nil, err
	}
	s.tx.readOnly = s.tx.readOnly || e.statement.ReadOnly
	return commandResult("BEGIN"), nil
}

func runCommit(s *session, _ *execution) (*result, *SQLError) {
	failed := s.txState == s.m.transaction.failed
	s.fireTx(s.m.transaction.commit)
	if err := s.popPendingError(); err != nil {
		return nil, err
	}
	if failed {
		return commandResult("ROLLBACK"), nil
	}
	return commandResult("COMMIT"), nil
}

func runRollback(s *session, _ *execution) (*result, *SQLError) {
	s.fireTx(s.m.transaction.rollback)
	return commandResult("ROLLBACK"), nil
}

func runSet(s *session, e *execution) (*result, *SQLError) {
	s.settings[strings.ToLower(e.statement.Name)] = e.statement.Setting
	return commandResult("SET"), nil
}

func runReset(s *session, e *execution) (*result, *SQLError) {
	if e.statement.Name == "" {
		clear(s.settings)
	} else {
		delete(s.settings, strings.ToLower(e.statement.Name))
	}
	return commandResult("RESET"), nil
}

func runDiscardAll(s *session, _ *execution) (*result, *SQLError) {
	if s.tx.id != 0 {
		return nil, &SQLError{Code: codeInTransaction, Message: "DISCARD ALL cannot run inside a transaction block"}
	}
	clear(s.settings)
	clear(s.statements)
	clear(s.portals)
	return commandResult("DISCARD ALL"), nil
}

func runShow(s *session, e *execution) (*result, *SQLError) {
	name := strings.ToLower(e.statement.Name)
	text, ok := s.setting(name)
	if !ok {
		return nil, &SQLError{Code: codeUnknownSetting, Message: "unrecognized configuration parameter " + name}
	}
	r := singleRowResult(text)
	r.tag = fixedTag("SHOW")
	return r, nil
}

// setting returns the value of the setting with the given lower-case name: the
// value that the session has set, or its default.
func (s *session) setting(name string) (string, bool) {
	if name == memberSetting {
		text, err := json.Marshal(Identification{
			Member: s.m.options.Member,
			Role:   s.m.store.Role(),
			Term:   s.m.store.Term(),
		})
		return string(text), err == nil
	}
	if text, ok := s.settings[name]; ok {
		return text, true
	}
	defaults := map[string]string{
		"server_version":                serverVersion,
		"client_encoding":               "UTF8",
		"standard_conforming_strings":   "on",
		"datestyle":                     "ISO, MDY",
		"timezone":                      "UTC",
		"transaction_read_only":         "off",
		"default_transaction_read_only": "off",
	}
	text, ok := defaults[name]
	return text, ok
}

func runWriteStatus(s *session, e *execution) (*result, *SQLError) {
	status := "unknown"
	if s.m.store.IdentityCommitted(e.statement.Identity) {
		status = "committed"
	}
	r := singleRowResult(status)
	r.tag = fixedTag("SHOW")
	return r, nil
}
