package e2e

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/standin/member"
)

// replicaLag is the apply lag of replicas in tests of read-your-writes.
const replicaLag = 300 * time.Millisecond

// testContext returns a context that ends with the test or after 45 s.
func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 45*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// mustDial connects through an instance with the fleet's key and closes the
// connection at the end of the test.
func (f *fleet) mustDial(t *testing.T, instance int) *pgx.Conn {
	t.Helper()
	conn, err := f.dial(testContext(t), instance, f.key, nil)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

const (
	insertSQL = "INSERT INTO items(id, value) VALUES ($1, $2)"
	selectSQL = "SELECT value FROM items WHERE id = $1"
)

func readValue(ctx context.Context, conn *pgx.Conn, key string) (value string, err error) {
	err = conn.QueryRow(ctx, selectSQL, key).Scan(&value)
	return value, err
}

// Guards against a read from a replica that is behind the caller's own write, after
// the caller has reconnected to another instance without giving a position.
func TestSessionRoaming(t *testing.T) {
	runParallel(t)
	o := defaultOptions()
	o.applyLag = replicaLag
	f := startFleet(t, o)
	ctx := testContext(t)
	var callers sync.WaitGroup
	for c := range 4 {
		callers.Go(func() {
			for n := range 12 {
				key := fmt.Sprintf("roam-%d-%d", c, n)
				if err := f.writeAndMove(ctx, key, c+n); err != nil {
					t.Error(err)
				}
			}
		})
	}
	callers.Wait()
}

// writeAndMove writes a row through one instance and then reads it through the next
// one at once.
func (f *fleet) writeAndMove(ctx context.Context, key string, n int) error {
	from, to := n%len(f.instances), (n+1)%len(f.instances)
	first, err := f.dial(ctx, from, f.key, nil)
	if err != nil {
		return err
	}
	defer first.Close(ctx)
	if _, err := first.Exec(ctx, insertSQL, key, "x"); err != nil {
		return err
	}
	second, err := f.dial(ctx, to, f.key, nil)
	if err != nil {
		return err
	}
	defer second.Close(ctx)
	if _, err := readValue(ctx, second, key); err != nil {
		return fmt.Errorf("%s, written at instance-%d, read at instance-%d: %w", key, from, to, err)
	}
	return nil
}

// Guards against a stale or failed read when the instance that ran the write, and
// knew its position, has been killed.
func TestSessionFirstInstanceKilled(t *testing.T) {
	runParallel(t)
	o := defaultOptions()
	o.applyLag = replicaLag
	f := startFleet(t, o)
	ctx := testContext(t)
	for i := range 2 {
		key := fmt.Sprintf("orphan-%d", i)
		conn := f.mustDial(t, i)
		_, err := conn.Exec(ctx, insertSQL, key, "x")
		require.NoError(t, err)
		f.instances[i].kill()
		value, err := readValue(ctx, f.mustDial(t, 2), key)
		require.NoError(t, err, "read of %s at instance-2", key)
		require.Equal(t, "x", value)
	}
}

// Guards against a transaction that stays open on the member, with its row lock and
// slot, after its instance was killed.
func TestSessionInstanceKilledInTransaction(t *testing.T) {
	runParallel(t)
	f := startFleet(t, defaultOptions())
	ctx := testContext(t)
	conn := f.mustDial(t, 0)
	tx, err := conn.Begin(ctx)
	require.NoError(t, err)
	_, err = tx.Exec(ctx, insertSQL, "half", "x")
	require.NoError(t, err)
	f.instances[0].kill()
	require.Error(t, tx.Commit(ctx))
	other := f.mustDial(t, 1)
	require.NoError(t, eventually(4*time.Second, func() error { return f.checkRolledBack("half") }))
	_, err = other.Exec(ctx, insertSQL, "half", "y")
	require.NoError(t, err, "the key must be free")
	s, err := f.awaitAgreement()
	require.NoError(t, err)
	require.Equal(t, "y", s.rows["half"])
	require.Zero(t, s.primaryStatus.SlotsBusy)
}

// checkRolledBack returns nil if a rollback of the transaction that wrote the key was
// recorded.
func (f *fleet) checkRolledBack(key string) error {
	records, err := f.readRecords()
	if err != nil {
		return err
	}
	var wrote member.Record
	for _, r := range records {
		if r.Kind == member.KindStatement && insertedKey(r) == key {
			wrote = r
		}
		if r.Kind == member.KindRollback && r.Member == wrote.Member && r.Transaction == wrote.Transaction {
			return nil
		}
	}
	return errors.New("no rollback was recorded for " + key)
}

// Guards against a response that arrives after its caller has disconnected and is
// delivered to the next caller of the same target connection.
func TestSessionLateAnswer(t *testing.T) {
	runParallel(t)
	o := defaultOptions()
	o.instances, o.connections = 1, 4
	f := startFleet(t, o)
	ctx := testContext(t)
	for round := range 6 {
		for i := range 3 {
			conn := f.mustDial(t, 0)
			raw := conn.PgConn().Conn()
			conn.PgConn().Frontend().SendQuery(&pgproto3.Query{String: fmt.Sprintf("SELECT %d", -1000*round-i-1)})
			conn.PgConn().Frontend().SendQuery(&pgproto3.Query{String: "SELECT pg_sleep(0.05)"})
			require.NoError(t, conn.PgConn().Frontend().Flush())
			require.NoError(t, raw.Close())
		}
		conn := f.mustDial(t, 0)
		for i := range 10 {
			want := int32(1000*round + i + 1)
			var got int32
			require.NoError(t, conn.QueryRow(ctx, fmt.Sprintf("SELECT %d", want), pgx.QueryExecModeSimpleProtocol).Scan(&got))
			require.Equal(t, want, got)
		}
	}
}

// Guards against a cancel request that cancels a statement of another caller, or the
// next statement on the same target connection.
func TestSessionCancel(t *testing.T) {
	runParallel(t)
	o := defaultOptions()
	o.instances, o.slots = 1, 8
	f := startFleet(t, o)
	ctx := testContext(t)
	a, b := f.mustDial(t, 0), f.mustDial(t, 0)
	results := map[*pgx.Conn]chan error{a: make(chan error, 1), b: make(chan error, 1)}
	for conn, result := range results {
		go func() {
			_, err := conn.Exec(ctx, "SELECT pg_sleep(1.5)")
			result <- err
		}()
	}
	require.NoError(t, eventually(4*time.Second, func() error { return f.checkBusy(2) }))
	require.NoError(t, a.PgConn().CancelRequest(ctx))
	require.Equal(t, "57014", codeOf(<-results[a]))
	require.NoError(t, <-results[b])
	// a's statement has ended, so its cancel request must not cancel anything.
	go func() {
		_, err := b.Exec(ctx, "SELECT pg_sleep(0.5)")
		results[b] <- err
	}()
	require.NoError(t, eventually(4*time.Second, func() error { return f.checkBusy(1) }))
	require.NoError(t, a.PgConn().CancelRequest(ctx))
	require.NoError(t, <-results[b])
	records, err := f.readRecords()
	require.NoError(t, err)
	cancels := 0
	for _, r := range records {
		if r.Kind == member.KindCancel {
			cancels++
		}
	}
	require.Equal(t, 1, cancels)
}

// checkBusy returns nil if the members run at least minStatements statements.
func (f *fleet) checkBusy(minStatements int) error {
	running := 0
	for _, m := range f.members {
		var status member.Status
		if err := callJSON(m.statusAddress, "status", struct{}{}, &status); err != nil {
			return err
		}
		running += status.SlotsBusy
	}
	if running < minStatements {
		return fmt.Errorf("%d statements are running", running)
	}
	return nil
}

// Guards against responses to pipelined statements that are missing or in the wrong
// order.
func TestSessionPipelined(t *testing.T) {
	runParallel(t)
	f := startFleet(t, defaultOptions())
	ctx := testContext(t)
	var callers sync.WaitGroup
	for c := range 6 {
		conn := f.mustDial(t, c%3)
		callers.Go(func() {
			for round := range 5 {
				if err := runPipeline(ctx, conn, c*100_000+round*1000); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	callers.Wait()
}

// runPipeline sends all statements, with three Sync messages, before it reads the
// first result.
func runPipeline(ctx context.Context, conn *pgx.Conn, base int) error {
	p := conn.PgConn().StartPipeline(ctx)
	const groups, perGroup = 3, 20
	for g := range groups {
		for i := range perGroup {
			p.SendQueryParams(fmt.Sprintf("SELECT %d", base+g*perGroup+i), nil, nil, nil, nil)
		}
		if err := p.Sync(); err != nil {
			return err
		}
	}
	next := base
	for syncs := 0; syncs < groups; {
		result, err := p.GetResults()
		if err != nil {
			return err
		}
		reader, ok := result.(*pgconn.ResultReader)
		if !ok {
			syncs++
			continue
		}
		rows := reader.Read()
		if rows.Err != nil {
			return rows.Err
		}
		if len(rows.Rows) != 1 || string(rows.Rows[0][0]) != fmt.Sprint(next) {
			return fmt.Errorf("SELECT %d returned %q", next, rows.Rows)
		}
		next++
	}
	if next != base+groups*perGroup {
		return fmt.Errorf("got %d results instead of %d", next-base, groups*perGroup)
	}
	return p.Close()
}

// Guards against a slow reader that blocks other callers, or that loses a part of a
// result that is larger than every socket buffer.
func TestSessionSlowReader(t *testing.T) {
	runParallel(t)
	o := defaultOptions()
	o.instances = 1
	f := startFleet(t, o)
	ctx := testContext(t)
	const rows = 1_000_000
	slow, quick := f.mustDial(t, 0), f.mustDial(t, 0)
	result, err := slow.Query(ctx, fmt.Sprintf("SELECT generate_series(1, %d)", rows))
	require.NoError(t, err)
	require.True(t, result.Next())
	// The slow caller reads nothing while the other one runs its statements.
	for i := range 200 {
		var got int32
		require.NoError(t, quick.QueryRow(ctx, fmt.Sprintf("SELECT %d", i), pgx.QueryExecModeSimpleProtocol).Scan(&got))
		require.Equal(t, int32(i), got)
		if i%4 == 0 {
			_, err := quick.Exec(ctx, insertSQL, fmt.Sprintf("quick-%d", i), "x")
			require.NoError(t, err)
		}
	}
	next := int32(1)
	for {
		var got int32
		require.NoError(t, result.Scan(&got))
		require.Equal(t, next, got)
		if !result.Next() {
			break
		}
		next++
	}
	require.NoError(t, result.Err())
	require.EqualValues(t, rows, next)
}

// Guards against lost writes and stale reads when an instance dies under load.
func TestSessionInstanceKilled(t *testing.T) { runScript(t, "session_instance_killed") }
