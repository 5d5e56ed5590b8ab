package member

import (
	"encoding/json"
	"time"

	"golang.org/x/exp/jsonrpc2"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/standin/store"
)

// Parameters of the methods of the status endpoint.
type (
	// WaitParams asks for the status once the log of Term was received and
	// applied that far, or after TimeoutMS.
	WaitParams struct {
		Term      core.Term `json:"term"`
		Received  core.LSN  `json:"received"`
		Applied   core.LSN  `json:"applied"`
		TimeoutMS int64     `json:"timeout_ms"`
	}
	// TermParams belong to fence and promote.
	TermParams struct {
		Term core.Term `json:"term"`
	}
	// FollowParams name the primary by its status address.
	FollowParams struct {
		Term    core.Term `json:"term"`
		Address string    `json:"address"`
		Start   core.LSN  `json:"start"`
	}
	// MillisecondsParams belong to fault.pause and fault.lag.
	MillisecondsParams struct {
		MS int64 `json:"ms"`
	}
	// CutParams lists the members without replication; an empty list clears.
	CutParams struct {
		Peers []string `json:"peers"`
	}
	// CountParams belong to fault.lose_answer.
	CountParams struct {
		Count int `json:"count"`
	}
	// ListParams ask for the records after a sequence.
	ListParams struct {
		After uint64 `json:"after"`
	}
)

type method func(m *Member, params json.RawMessage, reply replyTo) error

// methodTable is built at start; the methods refer to each other's types only.
func methodTable() map[string]method {
	return map[string]method{
		"status":            callStatus,
		"wait":              typed(callWait),
		"fence":             typed(callFence),
		"promote":           typed(callPromote),
		"follow":            typed(callFollow),
		"replicate":         typed(callReplicate),
		"record.list":       typed(callRecordList),
		"fault.pause":       typed(callPause),
		"fault.cut":         typed(callCut),
		"fault.lose_answer": typed(callLoseAnswer),
		"fault.lag":         typed(callLag),
		"fault.crash":       callCrash,
	}
}

var methods = methodTable()

func typed[P any](call func(*Member, P, replyTo) error) method {
	return func(m *Member, raw json.RawMessage, reply replyTo) error {
		var params P
		if len(raw) > 0 {
			if err := json.Unmarshal(raw, &params); err != nil {
				return &ParamsError{Reason: err.Error()}
			}
		}
		return call(m, params, reply)
	}
}

func (m *Member) dispatch(request *jsonrpc2.Request, reply replyTo) {
	call, ok := methods[request.Method]
	if !ok {
		reply.fail(jsonrpc2.NewError(codeMethodNotFound, "unknown method "+request.Method))
		return
	}
	if err := call(m, request.Params, reply); err != nil {
		reply.fail(err)
	}
}

func callStatus(m *Member, _ json.RawMessage, reply replyTo) error {
	reply.answer(m.status())
	return nil
}

func callWait(m *Member, p WaitParams, reply replyTo) error {
	return m.calls.addWait(p, reply)
}

func callReplicate(m *Member, p store.Pull, reply replyTo) error {
	return m.calls.addPull(p, reply)
}

func callFence(m *Member, p TermParams, reply replyTo) error {
	return m.changeRole(reply, func(now time.Time) error { return m.store.Fence(p.Term, now) })
}

func callPromote(m *Member, p TermParams, reply replyTo) error {
	return m.changeRole(reply, func(now time.Time) error { return m.store.Promote(p.Term, now) })
}

func callFollow(m *Member, p FollowParams, reply replyTo) error {
	return m.changeRole(reply, func(now time.Time) error {
		return m.store.Follow(p.Term, p.Address, p.Start, now)
	})
}

// changeRole applies a command and lets transactions, waiting calls and the
// link follow the new role.
func (m *Member) changeRole(reply replyTo, change func(now time.Time) error) error {
	wasPrimary, followed, term := m.store.Writable(), m.store.Primary(), m.store.Term()
	if err := change(time.Now()); err != nil {
		return err
	}
	if wasPrimary && !m.store.Writable() {
		m.abortTransactions()
	}
	if followed != m.store.Primary() || term != m.store.Term() {
		m.link.fire(m.linkChart.primaryChanged)
	}
	m.armRole()
	m.armAdvance()
	m.calls.changed()
	reply.answer(m.status())
	return nil
}

func callRecordList(m *Member, p ListParams, reply replyTo) error {
	if m.questions == inboxRing/2 {
		return jsonrpc2.NewError(codeOverloaded, "too many unanswered record.list calls")
	}
	m.questions++
	m.pushRecord(recordInput{ask: &listRequest{after: p.After, reply: reply}})
	return nil
}
