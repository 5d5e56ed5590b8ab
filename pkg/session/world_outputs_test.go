package session

import (
	"fmt"
	"strings"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Caller implements Outputs.
func (w *world) Caller(command CallerCommand) bool {
	switch c := command.(type) {
	case CallerWrite:
		w.callerWrite(c)
	case CallerFail:
		w.callerFail(c)
	case CallerReply:
		w.answered(w.callers[c.Caller], c.TxStatus)
	case CallerClose:
		w.callers[c.Caller].open = false
		w.refused(w.callers[c.Caller], c.Refusal)
	}
	return true
}

func (w *world) callerWrite(c CallerWrite) {
	m := w.callers[c.Caller]
	commit := m.commit
	if !commit.IsZero() {
		w.check(commit.Term == w.term && w.majority() >= commit.LSN || w.e.databases["db"].isConfirmed(commit),
			"a write was answered before a majority had it")
	}
	if strings.HasPrefix(m.text, "write") && m.status == txIdle && !c.Done {
		w.t.Fatal("a part of a write's result was forwarded before its confirmation")
	}
	if !c.Done {
		return
	}
	if !commit.IsZero() {
		m.floor = commit
		if commit.After(w.acked) {
			w.acked = commit
		}
	}
	w.answered(m, c.Frames[len(c.Frames)-1])
}

func (w *world) callerFail(c CallerFail) {
	m := w.callers[c.Caller]
	w.refused(m, c.Refusal)
	w.answered(m, c.TxStatus)
}

// refused checks that an outcome is true.
func (w *world) refused(m *modelCaller, r *core.Refusal) {
	if r.Outcome == core.OutcomeUncertain {
		w.uncertain++
		return
	}
	w.notRun++
	if r.Reason == core.ReasonTransactionAborted {
		w.check(!m.commitSent, "a transaction whose COMMIT was sent is reported as not run")
		return
	}
	w.check(m.sent == 0 || !m.waiting,
		"a statement that was sent is reported as not run: "+r.Error())
}

func (w *world) answered(m *modelCaller, status byte) {
	w.check(m.waiting, "an answer without a request")
	m.waiting = false
	m.status = status
	m.commit = core.Position{}
	w.answers++
}

func (w *world) check(ok bool, message string) {
	if !ok {
		w.t.Fatal(message)
	}
}

// Target implements Outputs.
func (w *world) Target(command TargetCommand) bool {
	switch c := command.(type) {
	case TargetOpen:
		for _, m := range w.members {
			if m.id == c.Member {
				w.conns[c.Target] = &modelConn{id: c.Target, member: m}
			}
		}
		w.check(len(w.conns) <= w.bound, "more connections than the share allows")
	case TargetSend:
		w.targetSend(c)
	case TargetClose:
		if conn := w.conns[c.Target]; conn != nil {
			conn.closing = true
		}
	case TargetCancel:
		conn := w.conns[c.Target]
		w.check(conn != nil && conn.caller != nil, "a cancel request without a running statement")
	}
	return true
}

func (w *world) targetSend(c TargetSend) {
	conn := w.conns[c.Target]
	w.check(conn != nil && conn.ready && !conn.closing && conn.caller == nil, "a request on a connection that is not idle")
	var id CallerID
	_, err := fmt.Sscanf(string(c.Payload.Frames), "%d", &id)
	w.check(err == nil, "payload")
	m := w.callers[id]
	w.check(conn.inTx == nil || conn.inTx == m, "a statement entered another caller's transaction")
	w.check(m.status == txIdle || conn.inTx == m, "a statement of a transaction left its connection")
	w.check(m.waiting, "a request was sent after its answer")
	w.check(c.NotAfter.After(w.now) || c.NotAfter.Equal(w.now), "a request was sent after its deadline")
	if strings.HasPrefix(m.text, "write") || m.text == "commit" {
		w.check(m.sent == 0, "a non-idempotent write was sent again")
	}
	if m.text == "read" && m.status == txIdle {
		w.check(w.history.Covers(conn.member.term, conn.member.applied, m.floor),
			"a read went to a member that lacks what its session has written or must see")
	}
	running := 1
	for _, other := range w.conns {
		if other.member == conn.member && other.caller != nil && !other.closing {
			running++
		}
	}
	w.check(running <= 2, "more statements run on a member than it has slots")
	m.sent++
	m.commitSent = m.commitSent || m.text == "commit"
	m.conn = conn
	conn.caller, conn.text = m, m.text
}

// Classify implements Outputs.
func (w *world) Classify(r ClassifyRequest) bool {
	w.admissions = append(w.admissions, w.now)
	v := Verdict{Hints: Hints{MaxAge: -1}}
	switch r.Texts[0] {
	case "write", "write idempotent":
		v.Kind = KindWrite
	case "begin":
		v.Kind = KindBegin
	case "commit":
		v.Kind, v.Commit = KindEnd, true
	case "rollback":
		v.Kind = KindEnd
	}
	w.inputs = append(w.inputs, ClassifyResult{Caller: r.Caller, Sequence: r.Sequence, Verdict: v})
	return true
}

// Control implements Outputs.
func (w *world) Control(report ControlReport) bool {
	switch r := report.(type) {
	case NeedFloor:
		w.round = r.Round
	case Drained:
		w.drained = true
	}
	return true
}

// Span implements Outputs.
func (w *world) Span(Span) {}

// lose ends a connection; the engine hears of it later, as from targetio.
func (w *world) lose(conn *modelConn, unsent bool) {
	delete(w.conns, conn.id)
	if unsent && conn.caller != nil {
		conn.caller.sent--
		if conn.text == "commit" {
			conn.caller.commitSent = false
		}
	}
	w.inputs = append(w.inputs, TargetClosed{Target: conn.id, Unsent: unsent, Refused: !conn.ready})
}

// Note implements Outputs.
func (w *world) Note(Decision) {}

// Peer implements Outputs.
func (w *world) Peer(PeerCommand) bool { return true }
