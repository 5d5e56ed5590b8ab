package e2e

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"
)

const (
	// stopDrainBound is the setting session.drain_bound of the tests of planned stops.
	stopDrainBound = 4 * time.Second
	// stopDrainDelay is the time from SIGTERM until the drain bound begins to count.
	stopDrainDelay = time.Second
	// stopEndReserve is the time after the drain bound in which the share is withdrawn, the
	// slot released and the duties ended.
	stopEndReserve = 5 * time.Second
	// stopped is the SQLSTATE of what a stopping instance has not run.
	stopped = "SH007"
)

// plannedStop is a stop of instance 0 with callers that follow scripts. Times of scripts
// count from the beginning of the drain.
type plannedStop struct {
	*fleet
	t       *testing.T
	bound   time.Duration
	drainAt time.Time
	scripts sync.WaitGroup
}

// newPlannedStop starts a fleet with the drain bound stopDrainBound.
func newPlannedStop(t *testing.T) *plannedStop {
	return newPlannedStopWithin(t, stopDrainBound)
}

// newPlannedStopWithin starts a fleet whose members have a slot for every statement.
func newPlannedStopWithin(t *testing.T, bound time.Duration) *plannedStop {
	o := defaultOptions()
	o.instances, o.slots, o.connections = 2, 100, 100
	o.settings = []string{fmt.Sprintf("session.drain_bound = %q", bound), "share.max_instances = 2"}
	return &plannedStop{fleet: startFleet(t, o), t: t, bound: bound, drainAt: time.Now().Add(time.Hour)}
}

// script runs fn with a connection through instance 0.
func (s *plannedStop) script(fn func(ctx context.Context, conn *pgx.Conn)) {
	conn := s.mustDial(s.t, 0)
	ctx := testContext(s.t)
	s.scripts.Go(func() { fn(ctx, conn) })
}

// begin schedules the stop, so that scripts can wait for times that count from it.
func (s *plannedStop) begin() {
	s.drainAt = time.Now().Add(time.Second + stopDrainDelay)
}

// until waits until a time of the stop.
func (s *plannedStop) until(offset time.Duration) {
	time.Sleep(time.Until(s.drainAt.Add(offset)))
}

// run stops instance 0 at the scheduled time, waits for the scripts and requires that the
// process ends in time.
func (s *plannedStop) run() {
	s.until(-stopDrainDelay)
	require.NoError(s.t, s.instances[0].signal(syscall.SIGTERM))
	s.scripts.Wait()
	s.requireEnded(s.bound + stopEndReserve)
}

// requireEnded requires that instance 0 ends until a time of the stop.
func (s *plannedStop) requireEnded(offset time.Duration) {
	select {
	case <-s.instances[0].done:
		s.t.Logf("the process ended %s after the drain", time.Since(s.drainAt))
	case <-time.After(time.Until(s.drainAt.Add(offset))):
		require.Fail(s.t, "the instance did not end in time")
	}
	require.True(s.t, s.instances[0].cmd.ProcessState.Success(), "%s", s.instances[0].cmd.ProcessState)
}

// requireRows requires that exactly the given rows of a list exist.
func (s *plannedStop) requireRows(want map[string]bool) {
	state, err := s.awaitAgreement()
	require.NoError(s.t, err)
	for key, expected := range want {
		_, present := state.rows[key]
		require.Equal(s.t, expected, present, "row %s", key)
	}
}

// expectCode reports an error whose SQLSTATE is not among the given ones, "" for none.
func (s *plannedStop) expectCode(name string, err error, codes ...string) {
	for _, code := range codes {
		if codeOf(err) == code {
			return
		}
	}
	s.t.Errorf("%s, %s after the drain: got %q (%v), expected one of %q", name, time.Since(s.drainAt), codeOf(err), err, codes)
}

func insertRow(ctx context.Context, conn *pgx.Conn, key string) error {
	_, err := conn.Exec(ctx, insertSQL, key, key)
	return err
}

func execText(ctx context.Context, conn *pgx.Conn, sql string) error {
	_, err := conn.Exec(ctx, sql, pgx.QueryExecModeExec)
	return err
}

// openTransaction begins a transaction and inserts a row.
func (s *plannedStop) openTransaction(ctx context.Context, conn *pgx.Conn, key string) {
	s.expectCode("begin", execText(ctx, conn, "BEGIN"), "")
	s.expectCode("first insert", insertRow(ctx, conn, key), "")
}

// Guards against a planned stop that closes the connection under a statement of an open
// transaction, that commits a transaction which it has reported as ended, and that loses
// one whose COMMIT it has acknowledged.
func TestStopOpenTransactions(t *testing.T) {
	runParallel(t)
	s := newPlannedStop(t)
	const half = stopDrainBound / 2
	s.begin()
	s.script(func(ctx context.Context, conn *pgx.Conn) {
		s.openTransaction(ctx, conn, "before-half-1")
		s.until(half / 2)
		s.expectCode("insert before half", insertRow(ctx, conn, "before-half-2"), "")
		s.until(half - 300*time.Millisecond)
		s.expectCode("commit before half", execText(ctx, conn, "COMMIT"), "")
	})
	s.script(func(ctx context.Context, conn *pgx.Conn) {
		s.openTransaction(ctx, conn, "idle-over-half")
		s.until(half + 300*time.Millisecond)
		s.expectCode("commit after half", execText(ctx, conn, "COMMIT"), stopped)
	})
	s.script(func(ctx context.Context, conn *pgx.Conn) {
		s.openTransaction(ctx, conn, "runs-over-half")
		s.until(half - 300*time.Millisecond)
		s.expectCode("statement over half", execText(ctx, conn, "SELECT pg_sleep(0.8)"), "")
		s.expectCode("commit after half", execText(ctx, conn, "COMMIT"), stopped)
	})
	want := map[string]bool{"before-half-1": true, "before-half-2": true, "idle-over-half": false, "runs-over-half": false}
	var mutex sync.Mutex
	for i := range 16 {
		s.script(func(ctx context.Context, conn *pgx.Conn) {
			key := fmt.Sprintf("commit-%d", i)
			s.openTransaction(ctx, conn, key)
			s.until(half + time.Duration(i-8)*2*time.Millisecond)
			err := execText(ctx, conn, "COMMIT")
			s.expectCode("commit at half", err, "", stopped)
			mutex.Lock()
			defer mutex.Unlock()
			want[key] = err == nil
		})
		s.script(func(ctx context.Context, conn *pgx.Conn) { s.writeUntilRefused(ctx, conn, fmt.Sprintf("steps-%d", i)) })
	}
	s.run()
	for i := range 16 {
		want[fmt.Sprintf("steps-%d-0", i)] = false
	}
	s.requireRows(want)
}

// writeUntilRefused inserts rows in one transaction until the instance ends it. Every
// statement must be answered.
func (s *plannedStop) writeUntilRefused(ctx context.Context, conn *pgx.Conn, name string) {
	s.openTransaction(ctx, conn, name+"-0")
	for n := 1; ctx.Err() == nil; n++ {
		if err := insertRow(ctx, conn, fmt.Sprintf("%s-%d", name, n)); err != nil {
			s.expectCode(name, err, stopped)
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// holdWrite inserts a row and then sleeps at the member, in one implicit transaction that
// ends with the Sync of the pipeline.
func holdWrite(ctx context.Context, conn *pgx.Conn, key string, sleep time.Duration) error {
	p := conn.PgConn().StartPipeline(ctx)
	p.SendQueryParams(fmt.Sprintf("INSERT INTO items(id, value) VALUES ('%s', 'x')", key), nil, nil, nil, nil)
	for range 3 {
		p.SendQueryParams(fmt.Sprintf("SELECT pg_sleep(%f)", sleep.Seconds()/3), nil, nil, nil, nil)
	}
	if err := p.Sync(); err != nil {
		return err
	}
	results := 0
	for {
		result, err := p.GetResults()
		if err != nil {
			return err
		}
		switch r := result.(type) {
		case *pgconn.ResultReader:
			if read := r.Read(); read.Err != nil {
				return read.Err
			}
			results++
		case *pgconn.PipelineSync:
			if results != 4 {
				return fmt.Errorf("%d results of 4 statements", results)
			}
			return p.Close()
		}
	}
}

// Guards against a planned stop that closes the connection under a statement that still
// runs at a member, and against an outcome that is not true: what may have run is
// uncertain, a statement of a transaction is rolled back.
func TestStopHeldStatements(t *testing.T) {
	runParallel(t)
	s := newPlannedStop(t)
	const (
		half   = stopDrainBound / 2
		inTime = half + time.Second
		never  = time.Minute
	)
	s.begin()
	// Each of these is sent before SIGTERM, so that it ends inTime after the drain.
	held := stopDrainDelay + 500*time.Millisecond
	s.script(func(ctx context.Context, conn *pgx.Conn) {
		s.until(-held)
		s.expectCode("read", execText(ctx, conn, fmt.Sprintf("SELECT pg_sleep(%f)", (held+inTime).Seconds())), "")
	})
	s.script(func(ctx context.Context, conn *pgx.Conn) {
		s.until(-held)
		s.expectCode("pipeline", holdWrite(ctx, conn, "in-time", held+inTime), "")
	})
	s.script(func(ctx context.Context, conn *pgx.Conn) {
		s.openTransaction(ctx, conn, "transaction-in-time")
		s.until(half - 500*time.Millisecond)
		s.expectCode("read in a transaction", execText(ctx, conn, "SELECT pg_sleep(1.5)"), "")
		s.expectCode("commit", execText(ctx, conn, "COMMIT"), stopped)
	})
	s.script(func(ctx context.Context, conn *pgx.Conn) {
		s.until(-held)
		s.expectCode("endless read", execText(ctx, conn, "SELECT pg_sleep(60)"), "SH002", "40003")
	})
	s.script(func(ctx context.Context, conn *pgx.Conn) {
		s.until(-held)
		s.expectCode("endless pipeline", holdWrite(ctx, conn, "endless", never), "40003")
	})
	s.script(func(ctx context.Context, conn *pgx.Conn) {
		s.openTransaction(ctx, conn, "transaction-endless")
		s.until(half - 500*time.Millisecond)
		s.expectCode("endless read in a transaction", execText(ctx, conn, "SELECT pg_sleep(60)"), "40000")
	})
	s.run()
	s.requireRows(map[string]bool{"in-time": true, "transaction-in-time": false, "endless": false, "transaction-endless": false})
}

// Guards against steps of the plan that overtake each other with the shortest drain bound that
// the settings allow.
func TestStopShortestBound(t *testing.T) {
	runParallel(t)
	s := newPlannedStopWithin(t, time.Second)
	half := s.bound / 2
	s.begin()
	s.script(func(ctx context.Context, conn *pgx.Conn) {
		s.openTransaction(ctx, conn, "before-half")
		s.until(half / 4)
		s.expectCode("commit before half", execText(ctx, conn, "COMMIT"), "")
	})
	s.script(func(ctx context.Context, conn *pgx.Conn) {
		s.openTransaction(ctx, conn, "after-half")
		s.until(half + 150*time.Millisecond)
		s.expectCode("commit after half", execText(ctx, conn, "COMMIT"), stopped)
	})
	s.script(func(ctx context.Context, conn *pgx.Conn) {
		s.until(-half)
		s.expectCode("read over half", execText(ctx, conn, "SELECT pg_sleep(1.1)"), "")
	})
	s.script(func(ctx context.Context, conn *pgx.Conn) {
		s.until(-half)
		s.expectCode("endless pipeline", holdWrite(ctx, conn, "endless", time.Minute), "40003")
	})
	s.script(func(ctx context.Context, conn *pgx.Conn) {
		s.openTransaction(ctx, conn, "transaction-endless")
		s.until(-half)
		s.expectCode("endless read in a transaction", execText(ctx, conn, "SELECT pg_sleep(60)"), "40000")
	})
	s.run()
	s.requireRows(map[string]bool{"before-half": true, "after-half": false, "endless": false, "transaction-endless": false})
}
