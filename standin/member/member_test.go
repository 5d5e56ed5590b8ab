package member

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"
)

var modes = map[string]pgx.QueryExecMode{
	"simple":   pgx.QueryExecModeSimpleProtocol,
	"extended": pgx.QueryExecModeCacheStatement,
	"describe": pgx.QueryExecModeDescribeExec,
	"exec":     pgx.QueryExecModeExec,
}

// Guards against statements that fail in one of pgx's query modes.
func TestStatementsInEveryQueryMode(t *testing.T) {
	for name, mode := range modes {
		t.Run(name, func(t *testing.T) {
			m := startMember(t, nil)
			c := connect(t, m, mode)
			ctx := testContext(t)
			var id int64
			require.NoError(t, c.QueryRow(ctx, "INSERT INTO items(id, value) VALUES ($1, $2) RETURNING id", 7, "ice").Scan(&id))
			require.EqualValues(t, 7, id)
			tag, err := c.Exec(ctx, "UPDATE items SET value = $1 WHERE id = $2", "fog", 7)
			require.NoError(t, err)
			require.EqualValues(t, 1, tag.RowsAffected())
			var text string
			require.NoError(t, c.QueryRow(ctx, "SELECT value FROM items WHERE id = $1", 7).Scan(&text))
			require.Equal(t, "fog", text)
			var count int64
			require.NoError(t, c.QueryRow(ctx, "SELECT count(*) FROM items").Scan(&count))
			require.EqualValues(t, 1, count)
			var n int32
			var s string
			require.NoError(t, c.QueryRow(ctx, "SELECT 5, 'x'").Scan(&n, &s))
			require.EqualValues(t, 5, n)
			var eight int64
			require.NoError(t, c.QueryRow(ctx, "SELECT $1::int8", int64(-8)).Scan(&eight))
			require.EqualValues(t, -8, eight)
			_, err = c.Exec(ctx, "DELETE FROM items WHERE id = $1", 7)
			require.NoError(t, err)
			require.ErrorIs(t, c.QueryRow(ctx, "SELECT value FROM items WHERE id = $1", 7).Scan(&text), pgx.ErrNoRows)
			requireCode(t, c, "SELEKT 1", codeSyntax)
			require.NotEmpty(t, c.PgConn().ParameterStatus("log_position"))
		})
	}
}

func requireCode(t *testing.T, c *pgx.Conn, sql, code string, args ...any) {
	t.Helper()
	_, err := c.Exec(testContext(t), sql, args...)
	var pgError *pgconn.PgError
	require.ErrorAs(t, err, &pgError)
	require.Equal(t, code, pgError.Code, pgError.Message)
}

// Guards against rows that are lost or reordered when the caller reads slowly.
func TestLargeResult(t *testing.T) {
	m := startMember(t, nil)
	c := connect(t, m, pgx.QueryExecModeCacheStatement)
	rows, err := c.Query(testContext(t), "SELECT generate_series(1, 300000)")
	require.NoError(t, err)
	expected := int32(0)
	for rows.Next() {
		var n int32
		require.NoError(t, rows.Scan(&n))
		expected++
		require.Equal(t, expected, n)
	}
	require.NoError(t, rows.Err())
	require.EqualValues(t, 300000, expected)
}

// Guards against a rolled-back change that remains, and against a transaction that
// continues after an error.
func TestTransactions(t *testing.T) {
	m := startMember(t, nil)
	c := connect(t, m, pgx.QueryExecModeCacheStatement)
	ctx := testContext(t)
	tx, err := c.Begin(ctx)
	require.NoError(t, err)
	_, err = tx.Exec(ctx, "INSERT INTO items VALUES ('a', '1')")
	require.NoError(t, err)
	require.NoError(t, tx.Rollback(ctx))
	var count int
	require.NoError(t, c.QueryRow(ctx, "SELECT count(*) FROM items").Scan(&count))
	require.Zero(t, count)
	_, err = c.Exec(ctx, "BEGIN")
	require.NoError(t, err)
	requireCode(t, c, "SELECT broken", codeSyntax)
	requireCode(t, c, "SELECT 1", codeFailedTransaction)
	tag, err := c.Exec(ctx, "COMMIT")
	require.NoError(t, err)
	require.Equal(t, "ROLLBACK", tag.String())
	_, err = c.Exec(ctx, "BEGIN READ ONLY")
	require.NoError(t, err)
	requireCode(t, c, "INSERT INTO items VALUES ('a', '1')", codeReadOnly)
}

// Guards against a write identity that is not committed with its transaction.
func TestWriteIdentity(t *testing.T) {
	m := startMember(t, nil)
	c := connect(t, m, pgx.QueryExecModeSimpleProtocol)
	ctx := testContext(t)
	status := func(id string) (text string) {
		require.NoError(t, c.QueryRow(ctx, "SHOW sassafrasshunt.write_status '"+id+"'").Scan(&text))
		return text
	}
	_, err := c.Exec(ctx, "BEGIN")
	require.NoError(t, err)
	_, err = c.Exec(ctx, "/*+ write_id=one */ INSERT INTO items VALUES ('a', '1')")
	require.NoError(t, err)
	require.Equal(t, "unknown", status("one"))
	_, err = c.Exec(ctx, "COMMIT")
	require.NoError(t, err)
	require.Equal(t, "committed", status("one"))
	require.Equal(t, "unknown", status("two"))
}

// Guards against a dropped response that also drops the commit, and against records
// that lack what the caller sent.
func TestLostAnswerAndRecord(t *testing.T) {
	m := startMember(t, nil)
	s := dialStatus(t, m)
	s.status(t, "fault.lose_answer", CountParams{Count: 1})
	c := connect(t, m, pgx.QueryExecModeCacheStatement)
	_, err := c.Exec(testContext(t), "INSERT INTO items VALUES ($1, $2)", "a", "1")
	require.Error(t, err)
	var pgError *pgconn.PgError
	require.False(t, errors.As(err, &pgError))
	c = connect(t, m, pgx.QueryExecModeCacheStatement)
	var count int
	require.NoError(t, c.QueryRow(testContext(t), "SELECT count(*) FROM items").Scan(&count))
	require.Equal(t, 1, count)
	records := s.records(t)
	require.Equal(t, "hazards", records[0].Startup["user"])
	require.Equal(t, "1", *records[1].Parameters[1])
	require.Equal(t, OutcomeLostResponse, records[2].Outcome)
}

// Guards against more running statements than slots, and against a cancel request
// that does not end a running statement and free its slot.
func TestSlotsAndCancel(t *testing.T) {
	m := startMember(t, func(o *Options) { o.Slots = 1 })
	running := connect(t, m, pgx.QueryExecModeSimpleProtocol)
	waiting := connect(t, m, pgx.QueryExecModeSimpleProtocol)
	runningDone := make(chan error, 1)
	go func() {
		_, err := running.Exec(testContext(t), "SELECT pg_sleep(60)")
		runningDone <- err
	}()
	s := dialStatus(t, m)
	require.Eventually(t, func() bool { return s.status(t, "status", nil).SlotsBusy == 1 }, testTimeout, time.Millisecond)
	waitingDone := make(chan error, 1)
	go func() {
		_, err := waiting.Exec(testContext(t), "SHOW timezone; SELECT 1")
		waitingDone <- err
	}()
	// SHOW takes no slot; once it is recorded, the SELECT after it is queued.
	require.Eventually(t, func() bool { return indexOfSQL(s.records(t), "SHOW timezone") >= 0 }, testTimeout, time.Millisecond)
	require.NoError(t, running.PgConn().CancelRequest(testContext(t)))
	require.ErrorContains(t, <-runningDone, codeCancelled)
	require.NoError(t, <-waitingDone)
	records := s.records(t)
	require.Less(t, indexOfSQL(records, "SELECT pg_sleep(60)"), indexOfSQL(records, " SELECT 1"))
}

// indexOfSQL returns the index of the record of a statement, or -1.
func indexOfSQL(records []Record, sql string) int {
	return slices.IndexFunc(records, func(r Record) bool { return r.SQL == sql })
}

// Guards against more connections than MaxConnections.
func TestConnectionBound(t *testing.T) {
	m := startMember(t, func(o *Options) { o.MaxConnections = 1 })
	connect(t, m, pgx.QueryExecModeSimpleProtocol)
	_, err := pgx.Connect(testContext(t), "postgres://a@"+m.Address().String()+"/b?sslmode=disable")
	require.ErrorContains(t, err, codeTooManyConnections)
}

// Guards against a member that does not report its identity and role.
func TestShowMember(t *testing.T) {
	c := connect(t, startMember(t, nil), pgx.QueryExecModeCacheStatement)
	var text string
	require.NoError(t, c.QueryRow(testContext(t), "SHOW sassafrasshunt.member").Scan(&text))
	require.True(t, strings.Contains(text, `"role":"primary"`), text)
	_, err := c.Exec(testContext(t), "SET application_name = 'x'; DISCARD ALL")
	require.NoError(t, err)
}
