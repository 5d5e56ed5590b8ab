package targetio_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/sassafrasshunt/sassafrasshunt/charts"
	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/callerio"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/targetio"
	"github.com/stretchr/testify/require"
)

const (
	pgxTimeout = 10 * time.Second
	// noCaller is an ID of no caller; it marks the shared target as in use before it
	// is open.
	noCaller = ^session.CallerID(0)
)

// passThrough acts as the session duty: it sends the requests of all callers to
// target 1, one at a time.
type passThrough struct {
	events  *ring.Ring[session.Input]
	signal  *ring.Signal
	callers *callerio.Duty
	targets *targetio.Duty
	done    chan struct{}
	queue   []session.CallerRequest
	// activeCaller is the caller of the current request, 0 when the target is idle and
	// noCaller until the target is open.
	activeCaller session.CallerID
}

func (p *passThrough) run() {
	for {
		event, ok := p.events.Pop()
		if ok {
			p.handleEvent(event)
			continue
		}
		select {
		case <-p.done:
			return
		default:
		}
		if p.events.Park() {
			p.signal.Wait(10 * time.Millisecond)
			p.events.Unpark()
		}
	}
}

func (p *passThrough) sendCaller(command session.CallerCommand) {
	p.callers.Ring().TryPush(callerio.SessionInput(command))
}

func (p *passThrough) sendTarget(command session.TargetCommand) {
	p.targets.Ring().TryPush(targetio.SessionInput(command))
}

func (p *passThrough) handleEvent(event session.Input) {
	switch e := event.(type) {
	case session.CallerOpened:
		p.sendCaller(session.CallerAdmitted{Caller: e.Caller})
	case session.CallerRequest:
		p.queue = append(p.queue, e)
	case session.CallerCancel:
		if e.Caller == p.activeCaller {
			p.sendTarget(session.TargetCancel{Target: 1})
		}
	case session.TargetData:
		p.sendCaller(session.CallerWrite{Caller: p.activeCaller, Frames: e.Frames})
	case session.TargetReady:
		p.sendCaller(session.CallerWrite{Caller: p.activeCaller, Frames: e.Frames, Done: true, Position: e.Position})
		p.activeCaller = 0
	case session.TargetOpened:
		p.activeCaller = 0
	}
	if p.activeCaller == 0 && len(p.queue) > 0 {
		p.activeCaller = p.queue[0].Caller
		p.sendTarget(session.TargetSend{Target: 1, Payload: p.queue[0].Request.Payload})
		p.queue = p.queue[1:]
	}
}

func runDuty(t testing.TB, run func() error, stop func()) {
	done := make(chan error, 1)
	go func() { done <- run() }()
	t.Cleanup(func() {
		stop()
		require.NoError(t, <-done)
	})
}

// startProxy runs both duties with a scripted member as target and returns a
// connection string.
func startProxy(t testing.TB) string {
	signal := ring.NewSignal()
	p := &passThrough{signal: signal, events: ring.New[session.Input](1024, signal), done: make(chan struct{}), activeCaller: noCaller}
	callerChart, err := charts.Load("caller_startup")
	require.NoError(t, err)
	targetChart, err := charts.Load("target_startup")
	require.NoError(t, err)
	p.callers, err = callerio.New(callerio.Config{Address: "127.0.0.1:0"}, callerio.Deps{Session: p.events, Chart: callerChart})
	require.NoError(t, err)
	p.targets, err = targetio.New(targetio.Config{}, targetio.Deps{Session: p.events, Chart: targetChart})
	require.NoError(t, err)
	p.callers.Ring().TryPush(callerio.Input{Control: callerio.CatalogueUpdate{Catalogue: &catalogue.Catalogue{
		Accounts: []catalogue.Account{*targetio.ScriptedAccount(t, "key")},
		Entries:  []catalogue.Entry{{Name: "notices", Account: "roads"}},
	}}})
	p.sendTarget(session.TargetOpen{Target: 1, Address: targetio.StartScriptedMember(t)})
	t.Cleanup(func() { close(p.done) })
	go p.run()
	runDuty(t, p.callers.Run, p.callers.Stop)
	runDuty(t, p.targets.Run, p.targets.Stop)
	return fmt.Sprintf("postgres://roads:key@%s/notices?sslmode=prefer", p.callers.Address())
}

// Guards against a proxy through which an ordinary driver cannot connect, query,
// prepare statements or continue after an error.
func TestPgxInEveryMode(t *testing.T) {
	url := startProxy(t)
	modes := []pgx.QueryExecMode{
		pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe,
		pgx.QueryExecModeDescribeExec, pgx.QueryExecModeExec,
	}
	for _, mode := range modes {
		t.Run(mode.String(), func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), pgxTimeout)
			defer cancel()
			config, err := pgx.ParseConfig(url)
			require.NoError(t, err)
			config.DefaultQueryExecMode = mode
			conn, err := pgx.ConnectConfig(ctx, config)
			require.NoError(t, err)
			defer conn.Close(ctx)
			for range 3 {
				runQueries(ctx, t, conn, mode)
			}
			_, err = conn.Exec(ctx, "write")
			require.NoError(t, err)
			require.Equal(t, "2/50", conn.PgConn().ParameterStatus("sassafrasshunt.position"))
		})
	}
}

// runQueries runs statements that succeed, fail and are prepared by name.
func runQueries(ctx context.Context, t *testing.T, conn *pgx.Conn, mode pgx.QueryExecMode) {
	var got string
	if mode != pgx.QueryExecModeSimpleProtocol {
		require.NoError(t, conn.QueryRow(ctx, "select $1", "hello").Scan(&got))
		require.Equal(t, "hello", got)
		batch := &pgx.Batch{}
		for i := range 5 {
			batch.Queue("select $1", fmt.Sprint(i))
		}
		results := conn.SendBatch(ctx, batch)
		for i := range 5 {
			require.NoError(t, results.QueryRow().Scan(&got))
			require.Equal(t, fmt.Sprint(i), got)
		}
		require.NoError(t, results.Close())
	}
	require.NoError(t, conn.QueryRow(ctx, "text").Scan(&got))
	require.Equal(t, "text", got)
	var failed *pgconn.PgError
	_, err := conn.Exec(ctx, "error")
	require.ErrorAs(t, err, &failed)
	require.Equal(t, "22012", failed.Code)
	_, err = conn.Prepare(ctx, "named", "select $1 -- named")
	require.NoError(t, err)
	require.NoError(t, conn.Deallocate(ctx, "named"))
}

// Guards against a cancel request that does not reach the member.
func TestPgxCancel(t *testing.T) {
	url := startProxy(t)
	ctx, cancel := context.WithTimeout(t.Context(), pgxTimeout)
	defer cancel()
	conn, err := pgx.Connect(ctx, url)
	require.NoError(t, err)
	defer conn.Close(ctx)
	reader := conn.PgConn().Exec(ctx, "slow")
	// A cancel request that arrives before the member runs the statement has no
	// effect, so it is repeated.
	done := make(chan error, 1)
	go func() { done <- reader.Close() }()
	for {
		require.NoError(t, conn.PgConn().CancelRequest(ctx))
		select {
		case err := <-done:
			var failed *pgconn.PgError
			require.ErrorAs(t, err, &failed)
			require.Equal(t, "57014", failed.Code)
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// Guards against a wrong key that is accepted from an ordinary driver.
func TestPgxWrongKey(t *testing.T) {
	url := startProxy(t)
	config, err := pgx.ParseConfig(url)
	require.NoError(t, err)
	config.Password = "wrong"
	_, err = pgx.ConnectConfig(t.Context(), config)
	var failed *pgconn.PgError
	require.ErrorAs(t, err, &failed)
	require.Equal(t, "28P01", failed.Code)
}

// Guards against results and prepared statements that are mixed up when several
// callers share one target connection (G3, G8).
func TestPgxCallersShareATarget(t *testing.T) {
	url := startProxy(t)
	const callers, rounds = 6, 40
	failures := make(chan error, callers)
	for caller := range callers {
		go func() { failures <- shareTarget(t.Context(), url, caller, rounds) }()
	}
	for range callers {
		require.NoError(t, <-failures)
	}
}

// shareTarget runs the statements of one caller and checks their results.
func shareTarget(ctx context.Context, url string, caller, rounds int) error {
	ctx, cancel := context.WithTimeout(ctx, pgxTimeout)
	defer cancel()
	conn, err := pgx.Connect(ctx, url)
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	for round := range rounds {
		// Half of the texts are the same for all callers.
		text := fmt.Sprintf("select $1 -- %d %d", caller*(round%2), round%5)
		value := fmt.Sprint(caller, round)
		want := text + " = " + value
		var got string
		if err := conn.QueryRow(ctx, text, value).Scan(&got); err != nil {
			return err
		}
		if got != want {
			return fmt.Errorf("caller %d got %q instead of %q", caller, got, want)
		}
	}
	return nil
}
