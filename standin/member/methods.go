package member

import (
	"time"

	"golang.org/x/exp/jsonrpc2"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/standin/endpoint"
)

// Parameters of the methods of the status endpoint.
type (
	// WaitParams are the parameters of wait, which returns the status when the
	// log of Term has been received and applied up to the given positions, or
	// after TimeoutMS.
	WaitParams struct {
		Term      core.Term `json:"term"`
		Received  core.LSN  `json:"received"`
		Applied   core.LSN  `json:"applied"`
		TimeoutMS int64     `json:"timeout_ms"`
	}
	// TermParams are the parameters of fence and promote.
	TermParams struct {
		Term core.Term `json:"term"`
	}
	// FollowParams are the parameters of follow: the status address of the
	// primary and the log position at which its term begins.
	FollowParams struct {
		Term    core.Term `json:"term"`
		Address string    `json:"address"`
		Start   core.LSN  `json:"start"`
	}
	// MillisecondsParams are the parameters of fault.pause and fault.lag.
	MillisecondsParams struct {
		MS int64 `json:"ms"`
	}
	// CutParams are the parameters of fault.cut: the members whose replication
	// is cut off. An empty list restores all.
	CutParams struct {
		Peers []string `json:"peers"`
	}
	// CountParams are the parameters of fault.lose_answer.
	CountParams struct {
		Count int `json:"count"`
	}
	// ListParams are the parameters of record.list, which returns the records
	// after a sequence number.
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
			"fault.lose_answer": endpoint.Typed(m.callLoseResponse),
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

// changeRole runs a command of the store. Then it updates transactions, pending
// calls, timers and the link to the primary, and responds with the status.
func (m *Member) changeRole(reply endpoint.Reply, command func(now time.Time) error) error {
	wasPrimary, previousPrimary, previousTerm := m.store.Writable(), m.store.Primary(), m.store.Term()
	if err := command(time.Now()); err != nil {
		return err
	}
	if wasPrimary && !m.store.Writable() {
		m.abortTransactions()
	}
	if previousPrimary != m.store.Primary() || previousTerm != m.store.Term() {
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
