package e2e

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

// outcome is what a client knows about a write from its response.
type outcome string

const (
	acknowledged outcome = "acknowledged"
	notRun       outcome = "not run"
	uncertain    outcome = "uncertain"
	// otherError stands for errors that no client should get.
	otherError outcome = "other error"
)

// statementTimeout ends a statement that gets no response. It is longer than every
// deadline of the instances.
const statementTimeout = 20 * time.Second

// outcomeOf returns the outcome of a write from its error. A lost connection makes
// it uncertain, because the write may have been sent. A fenced member aborts its
// transactions and rejects their next statement with 25P02, so such a transaction
// did not run.
func outcomeOf(err error) outcome {
	var pg *pgconn.PgError
	switch {
	case err == nil:
		return acknowledged
	case !errors.As(err, &pg):
		return uncertain
	case strings.HasPrefix(pg.Code, "SH"), pg.Code == "40000", pg.Code == "25006", pg.Code == "25P02":
		return notRun
	case pg.Code == "40003":
		return uncertain
	}
	return otherError
}

// codeOf returns the SQLSTATE of an error, "lost" for an error without one, and ""
// for nil.
func codeOf(err error) string {
	var pg *pgconn.PgError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &pg):
		return pg.Code
	}
	return "lost"
}

// write is a write of one row, or of a pair of rows in one transaction, with its
// outcome.
type write struct {
	session int
	keys    []string
	value   string
	// writeID is the identity given in the hint write_id, or empty.
	writeID string
	// register is set for a write of the session's register.
	register bool
	start    time.Time
	end      time.Time
	outcome  outcome
	err      error
}

// dial connects to the test entry through an instance with a key. The function
// configure, if not nil, can change the configuration of the connection.
func (f *fleet) dial(ctx context.Context, instance int, key string, configure func(*pgx.ConnConfig)) (*pgx.Conn, error) {
	config, err := pgx.ParseConfig("postgres://" + f.instances[instance].callerAddress + "/?sslmode=disable")
	if err != nil {
		return nil, err
	}
	config.User, config.Password, config.Database = account, key, entry
	// An instance traces only the statements of callers that send a traceparent.
	config.RuntimeParams["traceparent"] = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	config.DefaultQueryExecMode = pgx.QueryExecModeCacheStatement
	if configure != nil {
		configure(config)
	}
	ctx, cancel := context.WithTimeout(ctx, statementTimeout)
	defer cancel()
	return pgx.ConnectConfig(ctx, config)
}

// client runs random writes and reads, checks that it reads its own writes, and
// reconnects to another instance from time to time.
type client struct {
	history  *history
	session  int
	instance int
	conn     *pgx.Conn
	random   *rand.Rand
	// sequence is the number of row keys used so far.
	sequence int
	// acknowledgedKeys are the keys of the rows whose insertion was acknowledged.
	acknowledgedKeys []string
	// acknowledgedRegister is the greatest acknowledged value of the session's
	// register, sentRegister the greatest value that was sent.
	acknowledgedRegister, sentRegister int
}

func (c *client) run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.connect(ctx) {
			c.runOperation()
		}
		select {
		case <-time.After(c.history.interval):
		case <-ctx.Done():
		}
	}
	c.disconnect()
}

// connect ensures that there is a connection. It moves to the next instance when
// the connection is closed and otherwise with a probability of 1/50. It reports
// whether the client is connected.
func (c *client) connect(ctx context.Context) bool {
	if c.conn != nil && !c.conn.IsClosed() && c.random.IntN(50) > 0 {
		return true
	}
	c.disconnect()
	c.instance = (c.instance + 1) % len(c.history.fleet.instances)
	conn, err := c.history.fleet.dial(ctx, c.instance, c.history.fleet.key, func(config *pgx.ConnConfig) {
		if c.session%2 == 1 {
			config.DefaultQueryExecMode = pgx.QueryExecModeSimpleProtocol
		}
	})
	if err != nil {
		c.history.countResult("connect " + codeOf(err))
		return false
	}
	c.conn = conn
	return true
}

func (c *client) disconnect() {
	if c.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = c.conn.Close(ctx)
	c.conn = nil
}

// runOperation runs one random operation.
func (c *client) runOperation() {
	ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
	defer cancel()
	switch n := c.random.IntN(100); {
	case n < 25:
		c.insert(ctx)
	case n < 40:
		c.writeRegister(ctx)
	case n < 50:
		c.writePair(ctx)
	case n < 65:
		c.readConstant(ctx)
	case n < 80:
		c.readRegister(ctx)
	default:
		c.readOwn(ctx)
	}
}

// nextKey returns a row key that was not used before.
func (c *client) nextKey() string {
	c.sequence++
	return fmt.Sprintf("s%d-%d", c.session, c.sequence)
}

// registerKey returns the row key of the session's register, a row with a growing
// number that only this session writes.
func (c *client) registerKey() string {
	return fmt.Sprintf("register-%d", c.session)
}

// exec runs a statement of a write. pgx must not cache it, because most texts are
// used only once.
func (c *client) exec(ctx context.Context, sql string, args ...any) (pgconn.CommandTag, error) {
	if c.conn.Config().DefaultQueryExecMode == pgx.QueryExecModeCacheStatement {
		args = append([]any{pgx.QueryExecModeExec}, args...)
	}
	return c.conn.Exec(ctx, sql, args...)
}

// insert writes one row, for about half of the rows with a write identity.
func (c *client) insert(ctx context.Context) {
	key := c.nextKey()
	w := write{session: c.session, keys: []string{key}, value: key, start: time.Now()}
	sql := "INSERT INTO items(id, value) VALUES ($1, $2)"
	if c.random.IntN(2) == 0 {
		w.writeID = "identity-" + key
		sql = "/*+ write_id=" + w.writeID + " */ " + sql
	}
	_, w.err = c.exec(ctx, sql, key, key)
	c.finishWrite(w)
}

// writeRegister sets the register to the next value.
func (c *client) writeRegister(ctx context.Context) {
	c.sentRegister++
	value := c.sentRegister
	w := write{session: c.session, keys: []string{c.registerKey()}, register: true, value: fmt.Sprint(value), start: time.Now()}
	sql := "INSERT INTO items(id, value) VALUES ($1, $2) ON CONFLICT (id) DO UPDATE SET value = excluded.value"
	_, w.err = c.exec(ctx, sql, c.registerKey(), w.value)
	if c.finishWrite(w) == acknowledged {
		c.acknowledgedRegister = value
	}
}

// writePair inserts two rows in one transaction. Both or none must be present later.
func (c *client) writePair(ctx context.Context) {
	firstKey, secondKey := c.nextKey(), c.nextKey()
	w := write{session: c.session, keys: []string{firstKey, secondKey}, value: firstKey, start: time.Now()}
	w.err = c.insertPair(ctx, firstKey, secondKey)
	c.finishWrite(w)
}

func (c *client) insertPair(ctx context.Context, firstKey, secondKey string) error {
	if _, err := c.exec(ctx, "BEGIN"); err != nil {
		return err
	}
	for _, key := range []string{firstKey, secondKey} {
		if _, err := c.exec(ctx, "INSERT INTO items(id, value) VALUES ($1, $2)", key, firstKey); err != nil {
			_, _ = c.exec(ctx, "ROLLBACK")
			return err
		}
	}
	tag, err := c.exec(ctx, "COMMIT")
	if err == nil && tag.String() != "COMMIT" {
		c.history.addViolation("a COMMIT of session %d got the command tag %q without an error", c.session, tag.String())
	}
	return err
}

// finishWrite records a write that has ended and returns its outcome.
func (c *client) finishWrite(w write) outcome {
	w.end = time.Now()
	w.outcome = outcomeOf(w.err)
	if w.outcome == acknowledged && !w.register {
		c.acknowledgedKeys = append(c.acknowledgedKeys, w.keys...)
	}
	c.history.addWrite(w)
	return w.outcome
}

// readConstant selects a random number, which detects a response that belongs to
// another request.
func (c *client) readConstant(ctx context.Context) {
	want := c.random.Int32()
	var got int32
	err := c.conn.QueryRow(ctx, fmt.Sprintf("SELECT %d", want)).Scan(&got)
	c.history.countResult("constant " + codeOf(err))
	if err == nil && got != want {
		c.history.addViolation("SELECT %d returned %d", want, got)
	}
}

// readOwn checks that a row that this session inserted can be read.
func (c *client) readOwn(ctx context.Context) {
	if len(c.acknowledgedKeys) == 0 {
		return
	}
	// Mostly reads the newest row, because replicas have the old ones already.
	key := c.acknowledgedKeys[len(c.acknowledgedKeys)-1]
	if c.random.IntN(4) == 0 {
		key = c.acknowledgedKeys[c.random.IntN(len(c.acknowledgedKeys))]
	}
	var value string
	err := c.conn.QueryRow(ctx, "SELECT value FROM items WHERE id = $1", key).Scan(&value)
	if errors.Is(err, pgx.ErrNoRows) {
		c.history.addViolation("session %d does not find its acknowledged row %s at instance %d", c.session, key, c.instance)
		return
	}
	c.history.countResult("read " + codeOf(err))
}

// readRegister checks that the session's register is not behind its last
// acknowledged value and not ahead of the last value that was sent.
func (c *client) readRegister(ctx context.Context) {
	if c.acknowledgedRegister == 0 {
		return
	}
	var value int
	err := c.conn.QueryRow(ctx, "SELECT value FROM items WHERE id = $1", c.registerKey()).Scan(&textInt{&value})
	c.history.countResult("read " + codeOf(err))
	if errors.Is(err, pgx.ErrNoRows) || err == nil && (value < c.acknowledgedRegister || value > c.sentRegister) {
		c.history.addViolation("session %d read %d (%v) from its register after %d was acknowledged and %d was sent",
			c.session, value, err, c.acknowledgedRegister, c.sentRegister)
	}
}

// textInt scans an integer from a text column.
type textInt struct{ value *int }

// Scan implements sql.Scanner.
func (t *textInt) Scan(source any) error {
	_, err := fmt.Sscan(fmt.Sprint(source), t.value)
	return err
}
