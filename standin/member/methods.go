package member

import (
	"time"

	"golang.org/x/exp/jsonrpc2"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/standin/endpoint"
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

func (m *Member) newEndpoint() *endpoint.Server {
	return &endpoint.Server{
		ConvertError: wireError,
		ConnClosed:   m.pendingCalls.dropConnection,
		Methods: map[string]endpoint.Method{
			"status":            endpoint.Typed(m.callStatus),
			"wait":              endpoint.Typed(m.pendingCalls.addWait),
			"replicate":         endpoint.Typed(m.pendingCalls.addPull),
			"fence":             endpoint.Typed(m.callFence),
			"promote":           endpoint.Typed(m.callPromote),
			"follow":            endpoint.Typed(m.callFollow),
			"record.list":       endpoint.Typed(m.callRecordList),
			"fault.pause":       endpoint.Typed(m.callPause),
			"fault.cut":         endpoint.Typed(m.callCut),
			"fault.lose_answer": endpoint.Typed(m.callLoseAnswer),
			"fault.lag":         endpoint.Typed(m.callLag),
			"fault.crash":       endpoint.Typed(m.callCrash),
		},
	}
}

func (m *Member) callStatus(_ struct{}, reply endpoint.Reply) error {
	reply.SendResult(m.status())
	return nil
}

func (m *Member) callFence(p TermParams, reply endpoint.Reply) error {
	return m.changeRole(reply, func(now time.Time) error { return m.store.Fence(p.Term, now) })
}

func (m *Member) callPromote(p TermParams, reply endpoint.Reply) error {
	return m.changeRole(reply, func(now time.Time) error { return m.store.Promote(p.Term, now) })
}

func (m *Member) callFollow(p FollowParams, reply endpoint.Reply) error {
	return m.changeRole(reply, func(now time.Time) error {
		return m.store.Follow(p.Term, p.Address, p.Start, now)
	})
}

// changeRole applies a command and lets transactions, waiting calls and the
// link follow the new role.
func (m *Member) changeRole(reply endpoint.Reply, change func(now time.Time) error) error {
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
	m.armRoleTimer()
	m.armAdvanceTimer()
	m.pendingCalls.answerReady()
	reply.SendResult(m.status())
	return nil
}

func (m *Member) callRecordList(p ListParams, reply endpoint.Reply) error {
	if m.pendingLists == inboxCapacity/2 {
		return jsonrpc2.NewError(codeOverloaded, "too many unanswered record.list calls")
	}
	m.pendingLists++
	m.pushRecord(recordInput{listRequest: &listRequest{after: p.After, reply: reply}})
	return nil
}
