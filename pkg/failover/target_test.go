package failover

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// idleOutputs collects the calls of an idle group, to which the test responds.
type idleOutputs struct {
	calls []MemberCall
	views int
}

func (o *idleOutputs) CallMember(c MemberCall)              { o.calls = append(o.calls, c) }
func (o *idleOutputs) SwapRecord(RecordSwap)                {}
func (o *idleOutputs) ReadRecord(RecordRead)                {}
func (o *idleOutputs) View(session.GroupView) bool          { o.views++; return true }
func (o *idleOutputs) Floor(session.FloorResult) bool       { return true }
func (o *idleOutputs) Confirmed(session.ConfirmedUpTo) bool { return true }
func (o *idleOutputs) ChangeFinished(Report)                {}
func (o *idleOutputs) Log(LogEvent)                         {}

// runSecond runs the group for a second, responds to every call after a millisecond
// and returns the time and the number of calls.
func (o *idleOutputs) runSecond(g *Group, now time.Time) (time.Time, int) {
	calls := 0
	for end := now.Add(time.Second); now.Before(end); now = g.Next() {
		g.Tick(now)
		for respondedAt := now; len(o.calls) > 0; {
			respondedAt = respondedAt.Add(time.Millisecond)
			due := o.calls
			o.calls = nil
			calls += len(due)
			for _, c := range due {
				g.MemberResponded(respondedAt, idleResponse(c, respondedAt))
			}
		}
	}
	return now, calls
}

func idleResponse(c MemberCall, receivedAt time.Time) MemberResponded {
	status := core.MemberStatus{
		Member: c.Member, Role: core.RoleReplica, Term: 1, LogTerm: 1, Received: 1, Applied: 1,
		Terms: core.TermHistory{{Term: 1}},
	}
	if c.Member == "m0" {
		status.Role = core.RolePrimary
	}
	return MemberResponded{Call: c.Call, Status: status, SentAt: receivedAt.Add(-time.Millisecond), ReceivedAt: receivedAt}
}

// BenchmarkIdleGroup measures one second of an idle group: the status calls with
// their responses, and the views.
func BenchmarkIdleGroup(b *testing.B) {
	d := Database{Name: "db"}
	for m := range 3 {
		d.Members = append(d.Members, Member{ID: core.MemberID(fmt.Sprintf("m%d", m)), StatusAddress: fmt.Sprintf("10.0.0.%d:1", m)})
	}
	out := &idleOutputs{}
	g := New(simRules(DefaultConfig()), d, "i0", out)
	now := time.Unix(1000, 0)
	g.Start(now)
	for range 3 {
		now, _ = out.runSecond(g, now)
	}
	require.Equal(b, "healthy", g.State())
	calls, seconds := 0, 0
	out.views = 0
	for b.Loop() {
		var n int
		now, n = out.runSecond(g, now)
		calls += n
		seconds++
	}
	b.ReportMetric(float64(calls)/float64(seconds), "calls/s")
	b.ReportMetric(float64(out.views)/float64(seconds), "views/s")
}
