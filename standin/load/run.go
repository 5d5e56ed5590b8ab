package load

import (
	"context"
	"crypto/rand"
	"errors"
	mathrand "math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
)

const (
	// reconnectDelay passes between a failed connection attempt and the next.
	reconnectDelay = 20 * time.Millisecond
	// maxOwnKeys limits the own writes that a connection reads back.
	maxOwnKeys = 64
)

const (
	readSQL  = "SELECT value FROM items WHERE id = $1"
	writeSQL = "INSERT INTO items(id, value) VALUES ($1, $2)"
)

// Run generates load until the duration has passed, all statements have run or ctx is
// cancelled. It returns an *OptionError for invalid options.
func Run(ctx context.Context, o Options) (Report, error) {
	if err := o.check(); err != nil {
		return Report{}, err
	}
	if o.Prefix == "" {
		o.Prefix = rand.Text()
	}
	collector := newCollector(o.Users)
	start := time.Now()
	ctx, cancel := context.WithDeadline(ctx, start.Add(o.Duration))
	defer cancel()
	var running sync.WaitGroup
	for i := range o.Connections {
		w := newWorker(o, i, collector)
		running.Go(func() { w.run(ctx) })
	}
	running.Wait()
	return collector.finish(time.Since(start)), nil
}

// worker drives one client connection and reconnects when it is closed.
type worker struct {
	options   Options
	index     int
	user      User
	config    *pgx.ConnConfig
	collector *collector
	random    *mathrand.Rand
	conn      *pgx.Conn
	sequence  int
	// remaining is the number of statements to run; negative means no limit.
	remaining int
	// ownKeys are the last keys that the worker has written.
	ownKeys []string
}

func newWorker(o Options, index int, c *collector) *worker {
	w := &worker{options: o, index: index, collector: c}
	w.user = o.Users[index%len(o.Users)]
	w.remaining = statementCount(o.Statements, o.Connections, index)
	w.random = mathrand.New(mathrand.NewPCG(o.Seed, uint64(index)))
	return w
}

// statementCount returns the number of statements of a connection when total is
// divided over the connections; -1 when there is no limit.
func statementCount(total, connections, index int) int {
	if total == 0 {
		return -1
	}
	return (total + connections - 1 - index) / connections
}

func (w *worker) run(ctx context.Context) {
	interval := w.interval()
	// The start times are spread over one interval, so that an open loop sends
	// evenly instead of in bursts.
	next := time.Now().Add(interval * time.Duration(w.index) / time.Duration(w.options.Connections))
	for w.remaining != 0 && w.waitUntil(ctx, next) {
		if !w.connect(ctx) {
			w.waitUntil(ctx, time.Now().Add(reconnectDelay))
			continue
		}
		intended := next
		if interval == 0 {
			intended = time.Now()
		}
		next = next.Add(interval)
		w.remaining--
		w.runStatement(ctx, intended)
	}
	w.close()
}

// interval returns the time between two statements of a connection; 0 for a closed
// loop.
func (w *worker) interval() time.Duration {
	if w.options.Rate == 0 {
		return 0
	}
	return time.Duration(float64(w.options.Connections) / w.options.Rate * float64(time.Second))
}

// waitUntil blocks until a time. It returns false when the run has ended.
func (w *worker) waitUntil(ctx context.Context, at time.Time) bool {
	if ctx.Err() != nil {
		return false
	}
	d := time.Until(at)
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// connect opens a connection if there is none and reports whether there is one.
func (w *worker) connect(ctx context.Context) bool {
	if w.conn != nil && !w.conn.IsClosed() {
		return true
	}
	config, err := w.connConfig()
	if err == nil {
		timeoutCtx, cancel := context.WithTimeout(ctx, w.options.Timeout)
		defer cancel()
		w.conn, err = pgx.ConnectConfig(timeoutCtx, config)
	}
	if err == nil || ctx.Err() == nil {
		w.collector.addConnect(w.user.Name, err)
	}
	return err == nil
}

func (w *worker) connConfig() (*pgx.ConnConfig, error) {
	if w.config != nil {
		return w.config, nil
	}
	address := w.options.Addresses[w.index%len(w.options.Addresses)]
	config, err := pgx.ParseConfig("postgres://" + address + "/?sslmode=disable")
	if err != nil {
		return nil, err
	}
	config.User = w.user.Name
	config.Password = w.user.Key
	config.Database = w.options.Database
	config.DefaultQueryExecMode = pgx.QueryExecModeCacheStatement
	if w.options.Mode == ModeSimple {
		config.DefaultQueryExecMode = pgx.QueryExecModeSimpleProtocol
	}
	w.config = config
	return config, nil
}

func (w *worker) close() {
	if w.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), w.options.Timeout)
	defer cancel()
	_ = w.conn.Close(ctx)
}

// runStatement runs one statement to its end, even when the run ends meanwhile. The
// latency counts from the intended start time, so that it includes the time for which
// a slow statement delayed the ones after it (no coordinated omission).
func (w *worker) runStatement(ctx context.Context, intended time.Time) {
	timeoutCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), w.options.Timeout)
	defer cancel()
	o := outcome{user: w.user.Name}
	if len(w.ownKeys) > 0 && w.random.Float64() < w.options.ReadShare {
		o.missing, o.err = w.read(timeoutCtx)
	} else if o.write = w.options.ReadShare < 1; o.write {
		o.key, o.err = w.write(timeoutCtx)
	} else {
		_, o.err = w.conn.Exec(timeoutCtx, readSQL, "none")
	}
	o.latency = time.Since(intended)
	w.collector.addOutcome(o)
}

// read reads back one of the connection's own writes. missing is set when the row is
// not found.
func (w *worker) read(ctx context.Context) (missing bool, err error) {
	key := w.ownKeys[w.random.IntN(len(w.ownKeys))]
	var value string
	err = w.conn.QueryRow(ctx, readSQL, key).Scan(&value)
	if errors.Is(err, pgx.ErrNoRows) {
		return true, nil
	}
	return false, err
}

// write inserts a row with a new key and returns the key.
func (w *worker) write(ctx context.Context) (string, error) {
	w.sequence++
	key := w.options.Prefix + "-" + strconv.Itoa(w.index) + "-" + strconv.Itoa(w.sequence)
	sql := writeSQL
	args := []any{key, "x"}
	if w.options.Identities {
		sql = "/*+ write_id=" + key + " */ " + sql
		if w.options.Mode == ModeExtended {
			// Each text is different, so a cached statement would never be reused.
			args = append([]any{pgx.QueryExecModeExec}, args...)
		}
	}
	_, err := w.conn.Exec(ctx, sql, args...)
	if err != nil {
		return key, err
	}
	w.ownKeys = append(w.ownKeys, key)
	if len(w.ownKeys) > maxOwnKeys {
		w.ownKeys = w.ownKeys[1:]
	}
	return key, nil
}
