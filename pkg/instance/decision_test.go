package instance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/lib/duty"
	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/control"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// echo is an engine that sends copies of each input to a port.
type echo struct {
	port    *port[int]
	copies  int
	handled chan int
	ticks   int
	next    time.Time
}

func (e *echo) Handle(_ time.Time, in int) {
	for range e.copies {
		e.port.send(in)
	}
	e.handled <- in
}

func (e *echo) Tick(time.Time) { e.ticks++ }

func (e *echo) NextDeadline() (time.Time, bool) { return e.next, !e.next.IsZero() }

// start runs a duty whose outputs go to a ring of four items.
func startEcho(t *testing.T, copies int) (*decisionDuty[int], *echo, *ring.Ring[int]) {
	consumer := ring.NewSignal()
	output := ring.New[int](4, consumer)
	d := newDecisionDuty[int](64)
	e := &echo{port: &port[int]{ring: output}, copies: copies, handled: make(chan int, 100)}
	d.engine, d.outlets = e, []outlet{e.port}
	var g duty.Group
	g.Start("echo", d.run)
	t.Cleanup(func() {
		d.stop()
		g.Wait()
	})
	return d, e, output
}

func take(r *ring.Ring[int], n int) []int {
	var got []int
	for end := time.Now().Add(5 * time.Second); len(got) < n && time.Now().Before(end); {
		if v, ok := r.Pop(); ok {
			got = append(got, v)
			continue
		}
		time.Sleep(time.Millisecond)
	}
	return got
}

// Guards against an input that is handled while a ring is full, and against
// outputs that are lost, doubled or reordered when room returns.
func TestFullOutletHoldsInputsBack(t *testing.T) {
	d, e, output := startEcho(t, 6)
	require.True(t, d.input.TryPush(1))
	require.True(t, d.input.TryPush(2))
	require.Equal(t, 1, <-e.handled)
	select {
	case in := <-e.handled:
		require.Fail(t, "handled with a full outlet", in)
	case <-time.After(50 * time.Millisecond):
	}
	require.Equal(t, []int{1, 1, 1, 1, 1, 1, 2, 2, 2, 2, 2, 2}, take(output, 12))
	require.Equal(t, 2, <-e.handled)
}

// Guards against a duty that never stops while it waits for room.
func TestStopWhileAnOutletIsFull(t *testing.T) {
	d, e, _ := startEcho(t, 6)
	require.True(t, d.input.TryPush(1))
	<-e.handled
}

// Guards against a tick that adds to a full outlet.
func TestNoTickWithAFullOutlet(t *testing.T) {
	d := newDecisionDuty[int](8)
	e := &echo{port: &port[int]{ring: ring.New[int](4, ring.NewSignal())}, copies: 6, handled: make(chan int, 1), next: time.Now()}
	d.engine, d.outlets = e, []outlet{e.port}
	require.True(t, d.input.TryPush(1))
	require.True(t, d.handleBatch())
	require.Zero(t, e.ticks)
}

// Guards against a report that counts as delivered although it was dropped, and
// against a session duty that waits for control.
func TestFullControlRingRefusesReports(t *testing.T) {
	out := &sessionOutputs{control: ring.New[control.Input](2, ring.NewSignal())}
	require.True(t, out.Control(session.Drained{}))
	require.True(t, out.Control(session.Drained{}))
	require.False(t, out.Control(session.Drained{}))
}

// Guards against a stop request that is lost because the ring was full.
func TestDeliverAsksForRoom(t *testing.T) {
	r := ring.New[int](2, ring.NewSignal())
	room := ring.NewSignal()
	require.True(t, deliver(r, 1, room))
	require.True(t, deliver(r, 2, room))
	require.False(t, deliver(r, 3, room))
	_, _ = r.Pop()
	_, _ = r.Pop()
	room.Wait(time.Second)
	require.True(t, deliver(r, 3, room))
}

// slow is an engine whose first input takes a while, like a process that is
// paused in the middle of a batch.
type slow struct {
	pause time.Duration
	times []time.Time
}

func (e *slow) Handle(now time.Time, _ int) {
	e.times = append(e.times, now)
	time.Sleep(e.pause)
}

func (e *slow) Tick(time.Time) {}

func (e *slow) NextDeadline() (time.Time, bool) { return time.Time{}, false }

// Guards against an admission with the time before a pause, at which the share
// of the instance was still valid.
func TestEachInputGetsTheTimeAnew(t *testing.T) {
	d := newDecisionDuty[int](4)
	e := &slow{pause: 20 * time.Millisecond}
	d.engine = e
	require.True(t, d.input.TryPush(1))
	require.True(t, d.input.TryPush(2))
	require.True(t, d.handleBatch())
	require.GreaterOrEqual(t, e.times[1].Sub(e.times[0]), e.pause)
}
