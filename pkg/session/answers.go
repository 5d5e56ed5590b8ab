package session

import (
	"strconv"
	"strings"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session/replay"
)

// refuse answers the statement with an error of the proxy and ends it as
// refused.
func (s *statement) refuse(refusal *core.Refusal) {
	s.outcome = string(refusal.Reason)
	s.refusal = refusal
	s.c.account.metrics.Refused++
	s.c.e.failRequest(s.c, refusal)
}

// notRun refuses the statement as not run, unless a part of an earlier attempt
// may have run: the outcome is then uncertain.
func (s *statement) notRun(reason core.Reason, message string) {
	if s.mayHaveRun {
		s.answerUncertain()
		return
	}
	s.refuse(core.NotRun(reason, message))
}

// refuseRate refuses a statement without a token.
func (s *statement) refuseRate() {
	e := s.c.e
	if !e.revocationsFresh(s.c) {
		s.notRun(core.ReasonKeyRevoked, "it cannot be checked at present whether the key was revoked")
		return
	}
	if s.c.account.moving {
		s.notRun(core.ReasonOverloaded, "the account's home is being moved to another instance")
		return
	}
	if e.now.After(e.shareValidUntil) || s.c.account.bucket.Rate <= 0 {
		e.metrics.RefusalsWithoutShare++
	}
	s.c.account.limitedAt = e.now
	s.notRun(core.ReasonRateExceeded, s.c.account.rateReason())
}

// rateReason returns what limits the account on this instance.
func (a *account) rateReason() string {
	home, known := a.e.homes[a.name]
	switch {
	case a.homeLost && known:
		return "the account's home is silent, and what may be spent without it is used up"
	case a.homeLost:
		return "the account has no home, and what may be spent without one is used up"
	case home.Local && a.bucket.Rate < a.e.shares[a.name].Rate:
		return "the account's rate is exceeded, a part of which is set aside for silent instances"
	}
	return "the account's rate is exceeded"
}

func (s *statement) refuseUnsupported() {
	s.notRun(core.ReasonNotSupported, "not supported by the proxy: "+s.classification.Reason)
}

func (s *statement) refuseReadOnly() {
	s.notRun(core.ReasonReadOnlyEntry, "the entry is read-only")
}

func (s *statement) refuseDatabaseLeaving() {
	s.notRun(core.ReasonDatabaseLeaving, "the database is leaving")
}

func (s *statement) refuseOverloaded() {
	s.notRun(core.ReasonOverloaded, "this instance is overloaded")
}

// refuseDeadline refuses a statement that cannot be served before its deadline,
// or whose member's queue is full.
func (s *statement) refuseDeadline() {
	if s.member != nil && s.member.queue.Len() >= s.c.e.cfg.QueueLimit {
		s.notRun(core.ReasonOverloaded, "the queue of the member is full")
		return
	}
	s.notRun(core.ReasonDeadline, "the statement cannot be served before its deadline")
}

func (s *statement) refuseNoMember() {
	s.notRun(core.ReasonNoMember, "no member can serve this read: "+s.reason)
}

func (s *statement) refuseNoPrimary() {
	s.notRun(core.ReasonNoPrimary, "the database has no primary")
}

func (s *statement) refuseCancelled() {
	s.notRun(core.ReasonCancelled, "cancelled before it was sent to a target")
}

// answerUncertain answers that the statement may or may not have run. A held
// result is dropped.
func (s *statement) answerUncertain() {
	if !s.changesNothing() {
		s.c.e.metrics.WritesUncertain++
	}
	if s.c.target == nil {
		s.c.endTransaction()
	}
	s.refuse(core.Uncertain("the outcome of the statement is not known"))
}

// answerRolledBack answers that the transaction certainly did not commit.
func (s *statement) answerRolledBack() {
	s.c.endTransaction()
	s.refuse(rolledBack("the connection to the target was lost before the commit"))
}

// answerLocally answers transaction control outside a transaction, and DISCARD
// ALL, which only concerns the settings that the proxy keeps.
func (s *statement) answerLocally() {
	if s.classification.Kind == KindSessionSet {
		s.c.settings = replay.Settings{}
		s.c.maxAge = -1
	}
	s.reply(strings.ToUpper(s.classification.Name), "", "")
}

// reply answers with a command tag and at most one row.
func (s *statement) reply(tag, column, value string) {
	s.outcome = "answered by the proxy"
	s.c.e.toCaller(s.c.id, CallerReply{
		Caller:   s.c.id,
		Tag:      tag,
		Column:   column,
		Value:    value,
		TxStatus: s.c.txStatus,
	})
}

// answerProxyParameter runs SET and SHOW of the proxy's parameters.
func (s *statement) answerProxyParameter() {
	if s.classification.Kind == KindProxySet {
		s.setProxyParameter()
		return
	}
	s.showProxyParameter()
}

func (s *statement) setProxyParameter() {
	if s.classification.Name != paramMaxAge {
		s.unknownParameter()
		return
	}
	if s.classification.Value == "" {
		s.c.maxAge = -1
		s.reply("RESET", "", "")
		return
	}
	millis, err := strconv.ParseUint(s.classification.Value, 10, 31)
	if err != nil {
		s.notRun(core.ReasonInvalidParameter, "invalid value for "+paramMaxAge)
		return
	}
	s.c.maxAge = time.Duration(millis) * time.Millisecond
	s.reply("SET", "", "")
}

func (s *statement) showProxyParameter() {
	switch s.classification.Name {
	case paramMaxAge:
		s.reply("SHOW", paramMaxAge, strconv.FormatInt(s.maxAge().Milliseconds(), 10))
	case paramPosition:
		s.reply("SHOW", paramPosition, s.c.floor.String())
	case paramExplain:
		s.reply("SHOW", paramExplain, s.c.lastExplanation.String())
	default:
		s.unknownParameter()
	}
}

// unknownParameter refuses SET or SHOW of a parameter that the proxy does not
// have.
func (s *statement) unknownParameter() {
	s.notRun(core.ReasonUnknownParameter, "unrecognized configuration parameter "+strconv.Quote(s.classification.Name))
}
