package failover

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

type groupEvents struct{}
type memberEvents struct{}
type member struct{}

func (r *Rules) compileGroup(*chart.Definition) error  { return nil }
func (r *Rules) compileMember(*chart.Definition) error { return nil }

// Group is the decision state of one database group in one instance.
type Group struct{}

// New returns a group that has asked nothing yet.
func New(rules *Rules, database Database, self core.InstanceID, out Outputs) *Group {
	return &Group{}
}

// Start reads the record and asks every member.
func (g *Group) Start(now time.Time) {}

// Next returns when Tick is due.
func (g *Group) Next() time.Time { return time.Time{} }

// Tick runs what is due at now.
func (g *Group) Tick(now time.Time) {}

// MemberAnswered takes the answer to a member call.
func (g *Group) MemberAnswered(now time.Time, in MemberAnswered) {}

// MemberFailed takes the failure of a member call.
func (g *Group) MemberFailed(now time.Time, in MemberFailed) {}

// RecordSeen takes a record from the watch.
func (g *Group) RecordSeen(now time.Time, in RecordSeen) {}

// SwapResult takes the result of a compare-and-swap.
func (g *Group) SwapResult(now time.Time, in SwapResult) {}

// ReadResult takes the result of a read.
func (g *Group) ReadResult(now time.Time, in ReadResult) {}

// NeedConfirm asks for a ConfirmedUpTo that covers the position.
func (g *Group) NeedConfirm(now time.Time, in session.NeedConfirm) {}

// NeedFloor asks for a FloorAnswer of at least the round.
func (g *Group) NeedFloor(now time.Time, in session.NeedFloor) {}

// NeedApplied asks for a view as soon as a replica applied the position.
func (g *Group) NeedApplied(now time.Time, in session.NeedApplied) {}

// SuspectMember asks the member for its status at once.
func (g *Group) SuspectMember(now time.Time, in session.SuspectMember) {}

// Switchover starts a planned change of primary. It returns a
// *SwitchoverError when the group cannot change now.
func (g *Group) Switchover(now time.Time, to core.MemberID) error { return nil }

// SwitchoverError reports a planned change that was not started.
type SwitchoverError struct {
	Reason string
}

func (e *SwitchoverError) Error() string {
	return "planned change of primary not started: " + e.Reason
}
