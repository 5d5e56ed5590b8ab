package instance

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/control"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/failover"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/rpc"
)

// codeTermTooLow is the error code of a member's status endpoint for a command whose
// term is lower than one that the member has accepted.
const codeTermTooLow = 4001

// memberTag identifies the group and the call that a member's response belongs to.
type memberTag struct {
	database core.DatabaseName
	call     failover.CallID
}

// waitParams are the parameters of failover.MethodWait.
type waitParams struct {
	Term      uint64 `json:"term"`
	Received  uint64 `json:"received"`
	Applied   uint64 `json:"applied"`
	TimeoutMS int64  `json:"timeout_ms"`
}

// termParams are the parameters of failover.MethodFence and failover.MethodPromote,
// and the error data of codeTermTooLow.
type termParams struct {
	Term uint64 `json:"term"`
}

// followParams are the parameters of failover.MethodFollow.
type followParams struct {
	Term    uint64 `json:"term"`
	Address string `json:"address"`
	Start   uint64 `json:"start"`
}

// statusJSON is the JSON form of core.MemberStatus, the result of every member call.
type statusJSON struct {
	Member                string      `json:"member"`
	Role                  string      `json:"role"`
	Term                  uint64      `json:"term"`
	LogTerm               uint64      `json:"log_term"`
	Received              uint64      `json:"received"`
	Applied               uint64      `json:"applied"`
	PrimaryUnresponsiveMS int64       `json:"primary_silence_ms"`
	TermStarts            [][2]uint64 `json:"term_starts"`
	SlotsBusy             int         `json:"slots_busy"`
}

// encodeMemberCall returns the rpc call of a member call.
func encodeMemberCall(c failover.MemberCall) rpc.Call {
	return rpc.Call{
		Tag:     memberTag{database: c.Database, call: c.Call},
		Address: c.Address,
		Method:  string(c.Method),
		Params:  memberParams(c),
		Timeout: c.Timeout,
	}
}

// memberParams returns the parameters of a member call; nil for a method without any.
func memberParams(c failover.MemberCall) any {
	switch c.Method {
	case failover.MethodWait:
		return waitParams{
			Term: uint64(c.Term), Received: uint64(c.Received), Applied: uint64(c.Applied),
			TimeoutMS: c.Hold.Milliseconds(),
		}
	case failover.MethodFence, failover.MethodPromote:
		return termParams{Term: uint64(c.Term)}
	case failover.MethodFollow:
		return followParams{Term: uint64(c.Term), Address: c.Primary, Start: uint64(c.Start)}
	}
	return nil
}

// decodeMemberResult converts the result of a member call to an input of control.
func decodeMemberResult(tag memberTag, r rpc.Result) control.Input {
	if r.Err != nil {
		return memberFailed(tag, r.Err)
	}
	var s statusJSON
	if err := json.Unmarshal(r.Raw, &s); err != nil {
		return control.FromMemberFailed{
			Database: tag.database,
			Failed:   failover.MemberFailed{Call: tag.call, Failure: failover.FailureRejected},
		}
	}
	return control.FromMember{
		Database: tag.database,
		Response: failover.MemberResponded{
			Call: tag.call, Status: s.status(), SentAt: r.SentAt, ReceivedAt: r.CompletedAt,
		},
	}
}

func (s *statusJSON) status() core.MemberStatus {
	status := core.MemberStatus{
		Member:                 core.MemberID(s.Member),
		Role:                   core.Role(s.Role),
		Term:                   core.Term(s.Term),
		LogTerm:                core.Term(s.LogTerm),
		Received:               core.LSN(s.Received),
		Applied:                core.LSN(s.Applied),
		PrimaryUnresponsiveFor: time.Duration(s.PrimaryUnresponsiveMS) * time.Millisecond,
		SlotsBusy:              s.SlotsBusy,
	}
	for _, start := range s.TermStarts {
		status.Terms = append(status.Terms, core.TermStart{Term: core.Term(start[0]), Start: core.LSN(start[1])})
	}
	return status
}

// memberFailed converts the error of a member call to an input of control.
func memberFailed(tag memberTag, err error) control.Input {
	failed := failover.MemberFailed{Call: tag.call, Failure: failover.FailureNoResponse}
	var refused *rpc.RefusedError
	var remote *rpc.RemoteError
	switch {
	case errors.As(err, &refused):
		failed.Failure = failover.FailureRefused
	case errors.As(err, &remote) && remote.Code == codeTermTooLow:
		failed.Failure = failover.FailureTermTooLow
		failed.Accepted = acceptedTerm(remote.Data)
	case errors.As(err, &remote):
		failed.Failure = failover.FailureRejected
	}
	return control.FromMemberFailed{Database: tag.database, Failed: failed}
}

// acceptedTerm decodes the term that the member has accepted from the data of a
// codeTermTooLow error; 0 when it is missing.
func acceptedTerm(data json.RawMessage) core.Term {
	var accepted termParams
	if json.Unmarshal(data, &accepted) != nil {
		return 0
	}
	return core.Term(accepted.Term)
}
