package member

import (
	"encoding/json"
	"errors"
	"time"

	"golang.org/x/exp/jsonrpc2"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/standin/store"
)

// Error codes of the status endpoint.
const (
	// CodeTermTooLow rejects a term lower than the accepted one, which is in
	// the error's data.
	CodeTermTooLow = 4001
	// CodeWrongRole rejects a command that the member's role does not allow.
	CodeWrongRole  = 4002
	codeOverloaded = 4003
)

// Status is the result of the method status and of commands to the member.
type Status struct {
	Member                core.MemberID `json:"member"`
	Role                  core.Role     `json:"role"`
	Term                  core.Term     `json:"term"`
	LogTerm               core.Term     `json:"log_term"`
	Received              core.LSN      `json:"received"`
	Applied               core.LSN      `json:"applied"`
	PrimaryUnresponsiveMS int64         `json:"primary_silence_ms"`
	// TermStarts lists pairs of a term and the log position at which it began,
	// oldest first.
	TermStarts [][2]uint64 `json:"term_starts"`
	SlotsBusy  int         `json:"slots_busy"`
}

func (m *Member) status() Status {
	s := m.store.Status(time.Now())
	status := Status{
		Member:                s.Member,
		Role:                  s.Role,
		Term:                  s.Term,
		LogTerm:               s.LogTerm,
		Received:              s.Received,
		Applied:               s.Applied,
		PrimaryUnresponsiveMS: s.PrimaryUnresponsiveFor.Milliseconds(),
		TermStarts:            [][2]uint64{},
		SlotsBusy:             m.slots.busy,
	}
	for _, t := range s.Terms {
		status.TermStarts = append(status.TermStarts, [2]uint64{uint64(t.Term), uint64(t.Start)})
	}
	return status
}

// wireError converts errors of the store to JSON-RPC errors.
func wireError(err error) error {
	var term *store.TermError
	var role *store.RoleError
	switch {
	case errors.As(err, &term):
		return termError(term)
	case errors.As(err, &role):
		return jsonrpc2.NewError(CodeWrongRole, err.Error())
	}
	return err
}

// termError returns a JSON-RPC error with the accepted term in its data.
func termError(e *store.TermError) error {
	err := jsonrpc2.NewError(CodeTermTooLow, e.Error())
	data, _ := json.Marshal(map[string]any{"data": map[string]any{"term": e.Accepted}})
	// The library does not export its error type, only the fields of it.
	_ = json.Unmarshal(data, err)
	return err
}
