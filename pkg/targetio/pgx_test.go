package targetio_test

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/callerio"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/targetio"
	"github.com/stretchr/testify/require"
	"github.com/xdg-go/scram"
)

const (
	pgxWait = 10 * time.Second
	// noOwner keeps the shared target from being used before it is open.
	noOwner = ^session.CallerID(0)
)

// passThrough is a session duty that gives every caller a target connection
// of its own and passes everything on.
type passThrough struct {
	t       testing.TB
	events  *ring.Ring[session.Input]
	signal  *ring.Signal
	callers *callerio.Duty
	targets *targetio.Duty
	address string
	done    chan struct{}
	// shared is set when all callers use target 1, one request at a time.
	shared bool
	opened bool
	queue  []session.CallerRequest
	owner  session.CallerID
}

func (p *passThrough) run() {
	for {
		event, ok := p.events.Pop()
		if ok {
			p.pass(event)
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

func (p *passThrough) caller(command session.CallerCommand) {
	p.callers.Ring().TryPush(callerio.FromSession(command))
}

func (p *passThrough) target(command session.TargetCommand) {
	p.targets.Ring().TryPush(targetio.FromSession(command))
}

// passShared handles the events that differ when callers share a target.
func (p *passThrough) passShared(event session.Input) {
	switch e := event.(type) {
	case session.CallerOpened:
		if !p.opened {
			p.opened = true
			p.target(session.TargetOpen{Target: 1, Address: p.address})
		}
		p.caller(session.CallerAdmitted{Caller: e.Caller})
	case session.CallerRequest:
		p.queue = append(p.queue, e)
	case session.TargetData:
		p.caller(session.CallerWrite{Caller: p.owner, Frames: e.Frames})
	case session.TargetReady:
		p.caller(session.CallerWrite{Caller: p.owner, Frames: e.Frames, Done: true, Position: e.Position})
		p.owner = 0
	case session.TargetOpened:
		p.owner = 0
	}
	if p.owner == 0 && p.opened && len(p.queue) > 0 {
		p.owner = p.queue[0].Caller
		p.target(session.TargetSend{Target: 1, Payload: p.queue[0].Request.Payload})
		p.queue = p.queue[1:]
	}
}

func (p *passThrough) pass(event session.Input) {
	if p.shared {
		p.passShared(event)
		return
	}
	switch e := event.(type) {
	case session.CallerOpened:
		p.target(session.TargetOpen{Target: session.TargetID(e.Caller), Address: p.address})
	case session.TargetOpened:
		p.caller(session.CallerAdmitted{Caller: session.CallerID(e.Target)})
	case session.CallerRequest:
		p.target(session.TargetSend{Target: session.TargetID(e.Caller), Payload: e.Request.Payload})
	case session.TargetData:
		p.caller(session.CallerWrite{Caller: session.CallerID(e.Target), Frames: e.Frames})
	case session.TargetReady:
		p.caller(session.CallerWrite{Caller: session.CallerID(e.Target), Frames: e.Frames, Done: true, Position: e.Position})
	case session.CallerCancel:
		p.target(session.TargetCancel{Target: session.TargetID(e.Caller)})
	case session.CallerClosed:
		p.target(session.TargetClose{Target: session.TargetID(e.Caller)})
	}
}

func definition(t testing.TB, name string) *chart.Definition {
	text, err := os.ReadFile("../../charts/" + name + ".toml")
	require.NoError(t, err)
	d, err := chart.Parse(name, text)
	require.NoError(t, err)
	return d
}

func runDuty(t testing.TB, run func() error, stop func()) {
	done := make(chan error, 1)
	go func() { done <- run() }()
	t.Cleanup(func() {
		stop()
		require.NoError(t, <-done)
	})
}

// startProxy runs both duties in front of one member and returns a connection string.
func startProxy(t testing.TB, memberAddress string, shared bool) string {
	signal := ring.NewSignal()
	p := &passThrough{t: t, signal: signal, events: ring.New[session.Input](1024, signal), address: memberAddress, done: make(chan struct{}), shared: shared}
	// A request waits for the first TargetOpened.
	p.owner = noOwner
	var err error
	p.callers, err = callerio.New(callerio.Config{Address: "127.0.0.1:0"}, callerio.Deps{Session: p.events, Chart: definition(t, "caller_startup")})
	require.NoError(t, err)
	p.targets, err = targetio.New(targetio.Config{}, targetio.Deps{Session: p.events, Chart: definition(t, "target_startup")})
	require.NoError(t, err)
	client, err := scram.SHA256.NewClient("", "key", "")
	require.NoError(t, err)
	credentials, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: "0123456789abcdef", Iters: 4096})
	require.NoError(t, err)
	p.callers.Ring().TryPush(callerio.Input{Control: callerio.Publish{Catalogue: &catalogue.Catalogue{
		Accounts: []catalogue.Account{{Name: "roads", Salt: []byte("0123456789abcdef"), Iterations: 4096,
			Keys: []catalogue.Key{{ID: "k", StoredKey: credentials.StoredKey, ServerKey: credentials.ServerKey}}}},
		Entries: []catalogue.Entry{{Name: "notices", Account: "roads"}},
	}}})
	t.Cleanup(func() { close(p.done) })
	go p.run()
	runDuty(t, p.callers.Run, p.callers.Stop)
	runDuty(t, p.targets.Run, p.targets.Stop)
	return fmt.Sprintf("postgres://roads:key@%s/notices?sslmode=prefer", p.callers.Address())
}

// Guards against an ordinary driver that cannot connect, query, prepare,
// recover from an error or cancel through the proxy.
func TestPgxInEveryMode(t *testing.T) {
	url := startProxy(t, targetio.StartScriptedMember(t), false)
	modes := []pgx.QueryExecMode{
		pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe,
		pgx.QueryExecModeDescribeExec, pgx.QueryExecModeExec,
	}
	for _, mode := range modes {
		t.Run(mode.String(), func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), pgxWait)
			defer cancel()
			config, err := pgx.ParseConfig(url)
			require.NoError(t, err)
			config.DefaultQueryExecMode = mode
			conn, err := pgx.ConnectConfig(ctx, config)
			require.NoError(t, err)
			defer conn.Close(ctx)
			for range 3 {
				exerciseMode(ctx, t, conn, mode)
			}
			_, err = conn.Exec(ctx, "write")
			require.NoError(t, err)
			require.Equal(t, "2/50", conn.PgConn().ParameterStatus("sassafrasshunt.position"))
		})
	}
}

func exerciseMode(ctx context.Context, t *testing.T, conn *pgx.Conn, mode pgx.QueryExecMode) {
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
	url := startProxy(t, targetio.StartScriptedMember(t), false)
	ctx, cancel := context.WithTimeout(t.Context(), pgxWait)
	defer cancel()
	conn, err := pgx.Connect(ctx, url)
	require.NoError(t, err)
	defer conn.Close(ctx)
	reader := conn.PgConn().Exec(ctx, "slow")
	// The request is on its way before the cancel; a cancel that overtakes it
	// is without effect, so it is repeated.
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

// Guards against a wrong key that gets through an ordinary driver's SCRAM.
func TestPgxWrongKey(t *testing.T) {
	url := startProxy(t, targetio.StartScriptedMember(t), false)
	config, err := pgx.ParseConfig(url)
	require.NoError(t, err)
	config.Password = "wrong"
	_, err = pgx.ConnectConfig(t.Context(), config)
	var failed *pgconn.PgError
	require.ErrorAs(t, err, &failed)
	require.Equal(t, "28P01", failed.Code)
}

// Guards against answers and prepared statements that get mixed when several
// callers take turns on one target connection (G3, G8).
func TestPgxCallersShareATarget(t *testing.T) {
	url := startProxy(t, targetio.StartScriptedMember(t), true)
	const callers, rounds = 6, 40
	failures := make(chan error, callers)
	for caller := range callers {
		go func() { failures <- shareTarget(t.Context(), url, caller, rounds) }()
	}
	for range callers {
		require.NoError(t, <-failures)
	}
}

func shareTarget(ctx context.Context, url string, caller, rounds int) error {
	ctx, cancel := context.WithTimeout(ctx, pgxWait)
	defer cancel()
	conn, err := pgx.Connect(ctx, url)
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	for round := range rounds {
		// Half of the texts are the same for all callers.
		text := fmt.Sprintf("select $1 -- %d %d", caller*(round%2), round%5)
		want := fmt.Sprint(caller, round)
		var got string
		if err := conn.QueryRow(ctx, text, want).Scan(&got); err != nil {
			return err
		}
		if got != want {
			return fmt.Errorf("caller %d got %q instead of %q", caller, got, want)
		}
	}
	return nil
}
