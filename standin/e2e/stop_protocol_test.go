package e2e

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
)

// exchange sends messages and reads up to ReadyForQuery or the end of the connection. It
// returns the values of the rows, and the SQLSTATE of the error, if any.
func exchange(conn *pgx.Conn, messages ...pgproto3.FrontendMessage) (rows []string, code string, err error) {
	frontend := conn.PgConn().Frontend()
	for _, m := range messages {
		frontend.Send(m)
	}
	if err := frontend.Flush(); err != nil {
		return nil, "", err
	}
	for {
		message, err := frontend.Receive()
		if errors.Is(err, io.ErrUnexpectedEOF) && code != "" {
			return rows, code, nil
		}
		if err != nil {
			return rows, code, err
		}
		switch m := message.(type) {
		case *pgproto3.DataRow:
			rows = append(rows, string(m.Values[0]))
		case *pgproto3.ErrorResponse:
			code = m.Code
		case *pgproto3.ReadyForQuery:
			return rows, code, nil
		}
	}
}

// series returns the numbers from first to last as texts.
func series(first, last int) (values []string) {
	for n := first; n <= last; n++ {
		values = append(values, strconv.Itoa(n))
	}
	return values
}

// expectExchange reports an exchange that did not return the rows and the SQLSTATE.
func (s *plannedStop) expectExchange(name string, conn *pgx.Conn, wantRows []string, wantCode string, messages ...pgproto3.FrontendMessage) {
	rows, code, err := exchange(conn, messages...)
	if err != nil || code != wantCode || fmt.Sprint(rows) != fmt.Sprint(wantRows) {
		s.t.Errorf("%s, %s after the drain: got rows %q, code %q, error %v; expected %q and %q", name, time.Since(s.drainAt), rows, code, err, wantRows, wantCode)
	}
}

// statementFrames returns the messages that run a statement without a portal's name.
func statementFrames(sql string) []pgproto3.FrontendMessage {
	return []pgproto3.FrontendMessage{&pgproto3.Parse{Query: sql}, &pgproto3.Bind{}, &pgproto3.Execute{}}
}

// Guards against a planned stop that loses the portal of an open transaction before it ends
// the transaction, or that closes the connection without telling the caller.
func TestStopOpenPortal(t *testing.T) {
	runParallel(t)
	s := newPlannedStop(t)
	const half = stopDrainBound / 2
	s.begin()
	next := &pgproto3.Execute{Portal: "cursor", MaxRows: 10}
	for i, last := range []time.Duration{half - 300*time.Millisecond, half + 300*time.Millisecond} {
		s.script(func(_ context.Context, conn *pgx.Conn) {
			s.expectExchange("begin", conn, nil, "", &pgproto3.Query{String: "BEGIN"})
			s.expectExchange("before the stop", conn, series(1, 10), "",
				&pgproto3.Parse{Query: "SELECT generate_series(1, 1000)"}, &pgproto3.Bind{DestinationPortal: "cursor"}, next, &pgproto3.Sync{})
			s.until(half / 2)
			s.expectExchange("during the stop", conn, series(11, 20), "", next, &pgproto3.Sync{})
			s.until(last)
			if i == 0 {
				s.expectExchange("before half", conn, series(21, 30), "", next, &pgproto3.Sync{})
				s.expectExchange("commit", conn, nil, "", &pgproto3.Query{String: "COMMIT"})
				return
			}
			s.expectExchange("after half", conn, nil, stopped, next, &pgproto3.Sync{})
		})
	}
	s.run()
}

// Guards against messages of a pipeline that are run although their Sync came after the end
// of the session, and against answers to earlier parts of the pipeline that are lost.
func TestStopPipelines(t *testing.T) {
	runParallel(t)
	s := newPlannedStop(t)
	s.begin()
	insert := func(key string) []pgproto3.FrontendMessage {
		return statementFrames(fmt.Sprintf("INSERT INTO items(id, value) VALUES ('%s', 'x')", key))
	}
	s.script(func(_ context.Context, conn *pgx.Conn) {
		frontend := conn.PgConn().Frontend()
		for _, m := range insert("sync-after-drain") {
			frontend.Send(m)
		}
		if err := frontend.Flush(); err != nil {
			t.Error(err)
		}
		s.until(300 * time.Millisecond)
		s.expectExchange("sync after the drain", conn, nil, stopped, &pgproto3.Sync{})
	})
	s.script(func(_ context.Context, conn *pgx.Conn) {
		s.until(-300 * time.Millisecond)
		var messages []pgproto3.FrontendMessage
		for part := range 3 {
			messages = append(messages, insert(fmt.Sprintf("part-%d", part))...)
			messages = append(messages, statementFrames("SELECT pg_sleep(0.6)")...)
			messages = append(messages, &pgproto3.Sync{})
		}
		s.expectExchange("part that runs when the drain begins", conn, []string{""}, "", messages...)
		s.expectExchange("later parts", conn, nil, stopped)
	})
	s.run()
	s.requireRows(map[string]bool{"sync-after-drain": false, "part-0": true, "part-1": false, "part-2": false})
}

// Guards against a planned stop that cuts a long result off: a caller that reads it in time
// gets all of it, and one that reads after the end of the bound gets an error after whole
// messages.
func TestStopSlowReaders(t *testing.T) {
	runParallel(t)
	s := newPlannedStop(t)
	const rows = 1_000_000
	s.begin()
	for _, r := range []struct {
		readAt time.Duration
		code   string
	}{{stopDrainBound / 4, ""}, {stopDrainBound + 500*time.Millisecond, "40003"}, {stopDrainBound + 2*time.Second, "40003"}} {
		s.script(func(_ context.Context, conn *pgx.Conn) {
			frontend := conn.PgConn().Frontend()
			frontend.SendQuery(&pgproto3.Query{String: fmt.Sprintf("SELECT generate_series(1, %d)", rows)})
			if err := frontend.Flush(); err != nil {
				t.Error(err)
			}
			s.until(r.readAt)
			values, code, err := exchange(conn)
			if err != nil || code != r.code || (len(values) == rows) != (code == "") {
				t.Errorf("reader at %s: got %d rows, code %q, error %v", r.readAt, len(values), code, err)
			}
			if len(values) == 0 || values[len(values)-1] != strconv.Itoa(len(values)) {
				t.Errorf("reader at %s: rows are missing", r.readAt)
			}
		})
	}
	s.run()
}

// Guards against a second signal that ends the process, or a step of the stop, early.
func TestStopSignalledTwice(t *testing.T) {
	runParallel(t)
	s := newPlannedStop(t)
	const half = stopDrainBound / 2
	s.begin()
	s.script(func(ctx context.Context, conn *pgx.Conn) {
		s.until(-300 * time.Millisecond)
		s.expectCode("read", execText(ctx, conn, "SELECT pg_sleep(3)"), "")
	})
	s.script(func(ctx context.Context, conn *pgx.Conn) {
		s.openTransaction(ctx, conn, "second-signal")
		for _, at := range []time.Duration{-stopDrainDelay / 2, 100 * time.Millisecond, half / 2} {
			s.until(at)
			require.NoError(t, s.instances[0].signal(syscall.SIGTERM))
			s.expectCode("statement after a signal", execText(ctx, conn, "SELECT 1"), "")
		}
		s.expectCode("commit", execText(ctx, conn, "COMMIT"), "")
	})
	s.run()
	s.requireRows(map[string]bool{"second-signal": true})
}

// Guards against answers to callers that wait for the platform, and against a stop without
// an end while the platform is down.
func TestStopPlatformDown(t *testing.T) {
	runParallel(t)
	s := newPlannedStop(t)
	const half = stopDrainBound / 2
	s.begin()
	s.script(func(ctx context.Context, conn *pgx.Conn) {
		s.until(-300 * time.Millisecond)
		s.expectCode("read", execText(ctx, conn, "SELECT pg_sleep(3)"), "")
	})
	s.script(func(ctx context.Context, conn *pgx.Conn) {
		s.openTransaction(ctx, conn, "committed")
		s.until(half - 300*time.Millisecond)
		s.expectCode("commit", execText(ctx, conn, "COMMIT"), "")
	})
	s.script(func(ctx context.Context, conn *pgx.Conn) {
		s.openTransaction(ctx, conn, "ended")
		s.until(half + 300*time.Millisecond)
		s.expectCode("commit after half", execText(ctx, conn, "COMMIT"), stopped)
	})
	s.until(-stopDrainDelay - 200*time.Millisecond)
	s.platform.kill()
	s.run()
	s.requireRows(map[string]bool{"committed": true, "ended": false})
}

// Guards against a stop of an instance that is not ready yet and closes the connections of
// its callers without a message. The instance has a catalogue but no slot: it admits callers
// and runs nothing.
func TestStopBeforeReady(t *testing.T) {
	runParallel(t)
	s := newPlannedStop(t)
	_, err := s.addInstance(nil)
	require.NoError(t, err)
	last := len(s.instances) - 1
	s.instances[0], s.instances[last] = s.instances[last], s.instances[0]
	var conn *pgx.Conn
	require.NoError(t, eventually(startTimeout, func() (err error) {
		conn, err = s.dial(testContext(t), 0, s.key, nil)
		return err
	}))
	require.Error(t, s.checkReady(0))
	s.expectExchange("statement", conn, nil, "SH001", &pgproto3.Query{String: "SELECT 1"})
	s.drainAt = time.Now()
	require.NoError(t, s.instances[0].signal(syscall.SIGTERM))
	s.expectExchange("end of the session", conn, nil, stopped)
	require.NoError(t, conn.PgConn().Conn().Close())
	s.requireEnded(stopDrainBound + stopEndReserve)
}
