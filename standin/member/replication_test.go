package member

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// group is a primary with two replicas and a status client for each.
type group struct {
	members  []*Member
	statuses []*statusClient
}

func startGroup(t *testing.T) group {
	m1 := startMember(t, func(o *Options) { o.Member = "m1" })
	m2 := startReplica(t, "m2", m1, nil)
	m3 := startReplica(t, "m3", m1, nil)
	g := group{members: []*Member{m1, m2, m3}}
	for _, m := range g.members {
		g.statuses = append(g.statuses, dialStatus(t, m))
	}
	return g
}

// write inserts a row at a member and returns the position of the commit.
func (g group) write(t *testing.T, member int, id string) core.Position {
	t.Helper()
	c := connect(t, g.members[member], pgx.QueryExecModeSimpleProtocol)
	_, err := c.Exec(testContext(t), "INSERT INTO items VALUES ('"+id+"', 'x')")
	require.NoError(t, err)
	position, err := core.ParsePosition(c.PgConn().ParameterStatus("log_position"))
	require.NoError(t, err)
	return position
}

// confirm waits until a member has applied the log up to p.
func (g group) confirm(t *testing.T, member int, p core.Position) Status {
	t.Helper()
	s := g.statuses[member].status(t, "wait", WaitParams{Term: p.Term, Received: p.LSN, Applied: p.LSN, TimeoutMS: testTimeout.Milliseconds()})
	require.GreaterOrEqual(t, s.Applied, p.LSN)
	return s
}

func (g group) rows(t *testing.T, member int) []string {
	t.Helper()
	c := connect(t, g.members[member], pgx.QueryExecModeSimpleProtocol)
	rows, err := c.Query(testContext(t), "SELECT id FROM items")
	require.NoError(t, err)
	ids, err := pgx.CollectRows(rows, pgx.RowTo[string])
	require.NoError(t, err)
	return ids
}

// Guards against a failover that loses a confirmed write, and against a former
// primary that keeps entries which the new primary does not have.
func TestFailoverTruncatesDivergentTail(t *testing.T) {
	g := startGroup(t)
	kept := g.write(t, 0, "kept")
	g.confirm(t, 1, kept)
	g.confirm(t, 2, kept)
	for _, s := range g.statuses {
		s.status(t, "fault.cut", CutParams{Peers: []string{"m1", "m2", "m3"}})
	}
	g.write(t, 0, "lost")
	for _, i := range []int{1, 2} {
		require.Equal(t, core.RoleFenced, g.statuses[i].status(t, "fence", TermParams{Term: 2}).Role)
	}
	promoted := g.statuses[1].status(t, "promote", TermParams{Term: 2})
	require.Equal(t, core.RolePrimary, promoted.Role)
	start := core.LSN(promoted.TermStarts[len(promoted.TermStarts)-1][1])
	require.Equal(t, kept.LSN, start)
	for _, s := range g.statuses {
		s.status(t, "fault.cut", CutParams{})
	}
	follow := FollowParams{Term: 2, Address: g.members[1].StatusAddress().String(), Start: start}
	g.statuses[2].status(t, "follow", follow)
	g.statuses[0].status(t, "follow", follow)
	next := g.write(t, 1, "next")
	require.EqualValues(t, 2, next.Term)
	for i := range g.members {
		g.confirm(t, i, next)
		require.Equal(t, []string{"kept", "next"}, g.rows(t, i))
	}
}

// Guards against a fenced member that accepts writes, commits an open transaction,
// or accepts a lower term.
func TestFencedPrimary(t *testing.T) {
	g := startGroup(t)
	c := connect(t, g.members[0], pgx.QueryExecModeSimpleProtocol)
	ctx := testContext(t)
	_, err := c.Exec(ctx, "BEGIN; INSERT INTO items VALUES ('open', 'x')")
	require.NoError(t, err)
	g.statuses[0].status(t, "fence", TermParams{Term: 2})
	g.statuses[0].status(t, "promote", TermParams{Term: 2})
	requireCode(t, c, "COMMIT", codeReadOnly)
	g.statuses[0].status(t, "fence", TermParams{Term: 3})
	requireCode(t, c, "INSERT INTO items VALUES ('a', 'x')", codeReadOnly)
	require.Empty(t, g.rows(t, 0))
	for _, method := range []string{"fence", "promote"} {
		code, term := errorCode(t, g.statuses[0].call(t, method, TermParams{Term: 2}, nil))
		require.EqualValues(t, CodeTermTooLow, code)
		require.EqualValues(t, 3, term)
	}
	code, _ := errorCode(t, g.statuses[0].call(t, "wait", WaitParams{Term: 1}, nil))
	require.EqualValues(t, CodeTermTooLow, code)
}

// Guards against a call of wait that stays pending after its term has ended.
func TestFenceEndsWait(t *testing.T) {
	g := startGroup(t)
	waiting := dialStatus(t, g.members[1])
	ended := make(chan error, 1)
	go func() {
		ended <- waiting.call(t, "wait", WaitParams{Term: 1, Received: 1 << 40, TimeoutMS: testTimeout.Milliseconds()}, nil)
	}()
	g.statuses[1].status(t, "fence", TermParams{Term: 2})
	code, _ := errorCode(t, <-ended)
	require.EqualValues(t, CodeTermTooLow, code)
}

// Guards against rows that are visible before the apply lag has passed, and against
// a replica that does not report how long it has had no message
// from its primary.
func TestLagAndSilence(t *testing.T) {
	g := startGroup(t)
	first := g.statuses[0].status(t, "status", nil).Received
	g.confirm(t, 1, core.Position{Term: 1, LSN: first})
	g.statuses[1].status(t, "fault.lag", MillisecondsParams{MS: time.Hour.Milliseconds()})
	position := g.write(t, 0, "a")
	g.confirm(t, 2, position)
	s := g.statuses[1].status(t, "wait", WaitParams{Term: 1, Received: position.LSN, TimeoutMS: testTimeout.Milliseconds()})
	require.Equal(t, position.LSN, s.Received)
	require.Equal(t, first, s.Applied)
	require.Empty(t, g.rows(t, 1))
	g.statuses[0].status(t, "fault.cut", CutParams{Peers: []string{"m2"}})
	require.Eventually(t, func() bool {
		return g.statuses[1].status(t, "status", nil).PrimaryUnresponsiveMS > 2*responseTimeout.Milliseconds()
	}, testTimeout, 10*time.Millisecond)
	require.Less(t, g.statuses[2].status(t, "status", nil).PrimaryUnresponsiveMS, 2*responseTimeout.Milliseconds())
}

// Guards against a member that responds during a pause, and against a crash that
// does not end the member.
func TestPauseAndCrash(t *testing.T) {
	m := startMember(t, nil)
	s := dialStatus(t, m)
	const pause = 200 * time.Millisecond
	start := time.Now()
	s.status(t, "fault.pause", MillisecondsParams{MS: pause.Milliseconds()})
	s.status(t, "status", nil)
	require.GreaterOrEqual(t, time.Since(start), pause)
	crashClient := dialStatus(t, m)
	frame := []byte("Content-Length: 40\r\n\r\n{\"jsonrpc\":\"2.0\",\"method\":\"fault.crash\"}")
	_, err := crashClient.conn.Write(frame)
	require.NoError(t, err)
	m.Wait()
	require.True(t, m.Crashed())
}

// Guards against a member that loses its log, its term or its fenced state in a
// restart.
func TestRestartKeepsLogAndTerm(t *testing.T) {
	file := filepath.Join(t.TempDir(), "data")
	withData := func(o *Options) { o.DataFile = file }
	first := startMember(t, withData)
	g := group{members: []*Member{first}}
	kept := g.write(t, 0, "kept")
	dialStatus(t, first).status(t, "fence", TermParams{Term: 4})
	require.True(t, first.Stop())
	first.Wait()
	restarted := dialStatus(t, startMember(t, withData)).status(t, "status", nil)
	require.Equal(t, core.RoleFenced, restarted.Role)
	require.EqualValues(t, 4, restarted.Term)
	require.Equal(t, kept.Term, restarted.LogTerm)
	require.Equal(t, kept.LSN, restarted.Applied)
	require.Equal(t, [][2]uint64{{1, 0}}, restarted.TermStarts)
}
