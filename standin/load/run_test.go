package load

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/lib/duty"
	"github.com/sassafrasshunt/sassafrasshunt/standin/member"
)

// Guards against a report whose acknowledged writes differ from the rows of the
// member, and against errors or unfinished statements in a run without faults.
func TestReportNamesAcknowledgedWrites(t *testing.T) {
	for _, mode := range []string{ModeSimple, ModeExtended} {
		for _, identities := range []bool{false, true} {
			o := member.DefaultOptions()
			o.Primary = true
			m, err := member.New(o)
			require.NoError(t, err)
			var duties duty.Group
			m.Start(&duties)
			report, err := Run(context.Background(), Options{
				Addresses:   []string{m.Address().String()},
				Users:       []User{{"a", "k"}, {"b", "k"}},
				Database:    "notices",
				Mode:        mode,
				ReadShare:   0.5,
				Rate:        1000,
				Duration:    20 * time.Second,
				Statements:  103,
				Connections: 4,
				Timeout:     20 * time.Second,
				Identities:  identities,
			})
			require.NoError(t, err)
			require.EqualValues(t, 103, report.Statements)
			require.NotEmpty(t, report.Acknowledged)
			require.Empty(t, report.Errors)
			require.Empty(t, report.Uncertain)
			require.Zero(t, report.MissingOwnWrites)
			require.EqualValues(t, 4, report.Connects)
			require.Len(t, report.Accounts, 2)
			require.ElementsMatch(t, report.Acknowledged, readIDs(t, m))
			m.Stop()
			duties.Wait()
		}
	}
}

func readIDs(t *testing.T, m *member.Member) []string {
	ctx := context.Background()
	c, err := pgx.Connect(ctx, "postgres://a@"+m.Address().String()+"/notices?sslmode=disable")
	require.NoError(t, err)
	defer c.Close(ctx)
	found, err := c.Query(ctx, "SELECT id FROM items")
	require.NoError(t, err)
	ids, err := pgx.CollectRows(found, pgx.RowTo[string])
	require.NoError(t, err)
	return ids
}

// Guards against a write gap that omits the time without writes at the end of a run.
func TestWriteGap(t *testing.T) {
	c := newCollector([]User{{"a", ""}})
	start := time.Now().Add(-time.Hour)
	c.recordWrite(start)
	c.recordWrite(start.Add(time.Minute))
	require.Equal(t, time.Minute, c.longestWriteGap)
	require.GreaterOrEqual(t, c.finish(time.Hour).LongestWriteGapMS, (59 * time.Minute).Milliseconds())
}
