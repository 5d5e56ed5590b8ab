package session

import (
	"fmt"
	"strings"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Caller implements Outputs.
func (sim *simulation) Caller(command CallerCommand) bool {
	switch c := command.(type) {
	case CallerWrite:
		sim.callerWrite(c)
	case CallerError:
		sim.callerError(c)
	case CallerReply:
		sim.answered(sim.callers[c.Caller], c.TxStatus)
	case CallerClose:
		sim.callers[c.Caller].open = false
		sim.refused(sim.callers[c.Caller], c.Refusal)
	}
	return true
}

func (sim *simulation) callerWrite(c CallerWrite) {
	m := sim.callers[c.Caller]
	commit := m.commit
	if !commit.IsZero() {
		sim.check(commit.Term == sim.term && sim.majority() >= commit.LSN || sim.e.databases["db"].isConfirmed(commit),
			"a write was answered before a majority had it")
	}
	if strings.HasPrefix(m.text, "write") && m.status == txIdle && !c.Done {
		sim.t.Fatal("a part of a write's result was forwarded before its confirmation")
	}
	if !c.Done {
		return
	}
	if !commit.IsZero() {
		m.floor = commit
		if commit.After(sim.acknowledged) {
			sim.acknowledged = commit
		}
	}
	sim.answered(m, c.Frames[len(c.Frames)-1])
}

func (sim *simulation) callerError(c CallerError) {
	m := sim.callers[c.Caller]
	sim.refused(m, c.Refusal)
	sim.answered(m, c.TxStatus)
}

// refused checks that the reported outcome is true.
func (sim *simulation) refused(m *modelCaller, r *core.Refusal) {
	if r.Outcome == core.OutcomeUncertain {
		sim.uncertainCount++
		return
	}
	sim.notRunCount++
	if r.Reason == core.ReasonTransactionAborted {
		sim.check(!m.commitSent, "a transaction whose COMMIT was sent is reported as not run")
		return
	}
	sim.check(m.sent == 0 || !m.waiting,
		"a statement that was sent is reported as not run: "+r.Error())
}

func (sim *simulation) answered(m *modelCaller, status byte) {
	sim.check(m.waiting, "an answer without a request")
	m.waiting = false
	m.status = status
	m.commit = core.Position{}
	sim.answerCount++
}

func (sim *simulation) check(ok bool, message string) {
	if !ok {
		sim.t.Fatal(message)
	}
}

// Target implements Outputs.
func (sim *simulation) Target(command TargetCommand) bool {
	switch c := command.(type) {
	case TargetOpen:
		for _, m := range sim.members {
			if m.id == c.Member {
				sim.connections[c.Target] = &modelConn{id: c.Target, member: m}
			}
		}
		sim.check(len(sim.connections) <= sim.bound, "more connections than the share allows")
	case TargetSend:
		sim.targetSend(c)
	case TargetClose:
		if conn := sim.connections[c.Target]; conn != nil {
			conn.closing = true
		}
	case TargetCancel:
		conn := sim.connections[c.Target]
		sim.check(conn != nil && conn.caller != nil, "a cancel request without a running statement")
	}
	return true
}

func (sim *simulation) targetSend(c TargetSend) {
	conn := sim.connections[c.Target]
	sim.check(conn != nil && conn.ready && !conn.closing && conn.caller == nil, "a request on a connection that is not idle")
	var id CallerID
	_, err := fmt.Sscanf(string(c.Payload.Frames), "%d", &id)
	sim.check(err == nil, "payload")
	m := sim.callers[id]
	sim.check(conn.inTx == nil || conn.inTx == m, "a statement entered another caller's transaction")
	sim.check(m.status == txIdle || conn.inTx == m, "a statement of a transaction left its connection")
	sim.check(m.waiting, "a request was sent after its answer")
	sim.check(c.NotAfter.After(sim.now) || c.NotAfter.Equal(sim.now), "a request was sent after its deadline")
	if strings.HasPrefix(m.text, "write") || m.text == "commit" {
		sim.check(m.sent == 0, "a non-idempotent write was sent again")
	}
	if m.text == "read" && m.status == txIdle {
		sim.check(sim.history.Covers(conn.member.term, conn.member.applied, m.floor),
			"a read went to a member that lacks what its session has written or must see")
	}
	running := 1
	for _, other := range sim.connections {
		if other.member == conn.member && other.caller != nil && !other.closing {
			running++
		}
	}
	sim.check(running <= 2, "more statements run on a member than it has slots")
	m.sent++
	m.commitSent = m.commitSent || m.text == "commit"
	m.conn = conn
	conn.caller, conn.text = m, m.text
}

// Classify implements Outputs.
func (sim *simulation) Classify(r ClassifyRequest) bool {
	sim.admissions = append(sim.admissions, sim.now)
	classification := Classification{Hints: Hints{MaxAge: -1}}
	switch r.Texts[0] {
	case "write", "write idempotent":
		classification.Kind = KindWrite
	case "begin":
		classification.Kind = KindBegin
	case "commit":
		classification.Kind, classification.Commit = KindEnd, true
	case "rollback":
		classification.Kind = KindEnd
	}
	sim.inputs = append(sim.inputs, ClassifyResult{Caller: r.Caller, Sequence: r.Sequence, Classification: classification})
	return true
}

// Control implements Outputs.
func (sim *simulation) Control(report ControlReport) bool {
	switch r := report.(type) {
	case FloorRequest:
		sim.round = r.Round
	case Drained:
		sim.drained = true
	}
	return true
}

// Span implements Outputs.
func (sim *simulation) Span(Span) {}

// breakAndReport ends a connection; the engine is informed later, as by
// targetio.
func (sim *simulation) breakAndReport(conn *modelConn, unsent bool) {
	delete(sim.connections, conn.id)
	if unsent && conn.caller != nil {
		conn.caller.sent--
		if conn.text == "commit" {
			conn.caller.commitSent = false
		}
	}
	sim.inputs = append(sim.inputs, TargetClosed{Target: conn.id, Unsent: unsent, Refused: !conn.ready})
}

// LogDecision implements Outputs.
func (sim *simulation) LogDecision(Decision) {}

// LogMemberPace implements Outputs.
func (sim *simulation) LogMemberPace(MemberPace) {}

// LogConfiguration implements Outputs.
func (sim *simulation) LogConfiguration(ConfigurationApplied) {}

// Peer implements Outputs.
func (sim *simulation) Peer(PeerCommand) bool { return true }
