package member

import (
	"embed"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
)

//go:embed charts/*.toml
var chartFiles embed.FS

// Timeouts that the charts refer to.
const (
	startupTimeout = 10 * time.Second
	idleTimeout    = time.Hour
	slotTimeout    = 10 * time.Minute
	sendTimeout    = 10 * time.Minute
	// redialInterval is well below the detection bound of 600 ms, so that a
	// connection that is restored in time is not reported as a failed primary.
	redialInterval = 50 * time.Millisecond
	// responseTimeout covers several heartbeat intervals of a primary.
	responseTimeout = 300 * time.Millisecond
	// unboundedTimeout is a placeholder: the timer of a transaction's state is
	// never armed.
	unboundedTimeout = time.Hour
)

// compileChart compiles a chart from the embedded folder.
func compileChart[S any](file string, registry chart.Registry[S]) (*chart.Table[S], error) {
	path := "charts/" + file
	text, err := chartFiles.ReadFile(path)
	if err != nil {
		return nil, err
	}
	definition, err := chart.Parse(path, text)
	if err != nil {
		return nil, err
	}
	return chart.Compile(definition, registry)
}

// connectionChart is the compiled chart of a PostgreSQL connection.
type connectionChart struct {
	table                                                                 *chart.Table[*session]
	startup, run, granted, drained, finished, cancelled, closed, timedOut chart.Event
	ready                                                                 chart.State
	running                                                               chart.State
}

func compileConnection(o Options) (connectionChart, error) {
	t, err := compileChart("connection.toml", chart.Registry[*session]{
		Guards: map[string]func(*session) bool{
			"is_full":    func(s *session) bool { return s.m.connections >= s.m.options.MaxConnections },
			"needs_slot": func(s *session) bool { return s.current.statement.NeedsSlot() },
		},
		Actions: map[string]func(*session){
			"refuse_connection":     (*session).refuseConnection,
			"count_connection":      func(s *session) { s.m.connections++ },
			"release_connection":    (*session).releaseConnection,
			"send_startup_response": (*session).sendStartupResponse,
			"close":                 func(s *session) { s.conn.Close() },
			"request_slot":          (*session).requestSlot,
			"leave_queue":           (*session).leaveQueue,
			"release_slot":          func(s *session) { s.m.slots.release() },
			"fail_cancelled":        (*session).failCancelled,
			"execute":               (*session).execute,
			"send_rows":             (*session).sendRows,
		},
		Timeouts: map[string]time.Duration{
			"startup":       startupTimeout,
			"connect_delay": o.ConnectDelay,
			"idle":          idleTimeout,
			"slot_wait":     slotTimeout,
			"service":       o.ServiceTime,
			"send":          sendTimeout,
		},
	})
	if err != nil {
		return connectionChart{}, err
	}
	return connectionChart{
		table:     t,
		startup:   t.Event("startup"),
		run:       t.Event("run"),
		granted:   t.Event("granted"),
		drained:   t.Event("drained"),
		finished:  t.Event("finished"),
		cancelled: t.Event("cancelled"),
		closed:    t.Event("closed"),
		timedOut:  t.Event(chart.TimeoutEvent),
		ready:     t.StateID("ready"),
		running:   t.StateID("running"),
	}, nil
}

// transactionChart is the compiled chart of a transaction.
type transactionChart struct {
	table                                                        *chart.Table[*session]
	begin, statement, failure, boundary, commit, rollback, abort chart.Event
	open, failed                                                 chart.State
}

func compileTransaction() (transactionChart, error) {
	t, err := compileChart("transaction.toml", chart.Registry[*session]{
		Guards: map[string]func(*session) bool{
			"is_aborted": func(s *session) bool { return s.tx.aborted },
		},
		Actions: map[string]func(*session){
			"start":                 (*session).startTransaction,
			"commit":                (*session).commitTransaction,
			"roll_back":             (*session).rollBackTransaction,
			"mark_aborted":          func(s *session) { s.tx.aborted = true },
			"notice_no_transaction": (*session).noticeNoTransaction,
			"notice_in_transaction": (*session).noticeInTransaction,
			"refuse_failed":         (*session).refuseFailed,
			"refuse_aborted":        (*session).refuseAborted,
		},
		Timeouts: map[string]time.Duration{"unbounded": unboundedTimeout},
	})
	if err != nil {
		return transactionChart{}, err
	}
	return transactionChart{
		table:     t,
		begin:     t.Event("begin"),
		statement: t.Event("statement"),
		failure:   t.Event("error"),
		boundary:  t.Event("boundary"),
		commit:    t.Event("commit"),
		rollback:  t.Event("rollback"),
		abort:     t.Event("abort"),
		open:      t.StateID("open"),
		failed:    t.StateID("failed"),
	}, nil
}

// linkChart is the compiled chart of the connection to the primary.
type linkChart struct {
	table                                               *chart.Table[*link]
	opened, responded, failed, primaryChanged, timedOut chart.Event
}

func compileLink() (linkChart, error) {
	t, err := compileChart("link.toml", chart.Registry[*link]{
		Guards: map[string]func(*link) bool{
			"has_primary": func(l *link) bool { return l.m.store.Primary() != "" },
		},
		Actions: map[string]func(*link){
			"dial":       (*link).dial,
			"send_pull":  (*link).sendPull,
			"disconnect": (*link).disconnect,
		},
		Timeouts: map[string]time.Duration{"redial": redialInterval, "response": responseTimeout},
	})
	if err != nil {
		return linkChart{}, err
	}
	return linkChart{
		table:          t,
		opened:         t.Event("opened"),
		responded:      t.Event("answered"),
		failed:         t.Event("failed"),
		primaryChanged: t.Event("primary_changed"),
		timedOut:       t.Event(chart.TimeoutEvent),
	}, nil
}
