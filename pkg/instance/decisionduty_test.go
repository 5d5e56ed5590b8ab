package instance

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/lib/duty"
	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/control"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// echoEngine is an engine that writes copies of each input to its output.
type echoEngine struct {
	writer  *ringWriter[int]
	copies  int
	handled chan int
	ticks   int
	next    time.Time
}

func (e *echoEngine) Handle(_ time.Time, in int) {
	for range e.copies {
		e.writer.send(in)
	}
	e.handled <- in
}

func (e *echoEngine) Tick(time.Time) { e.ticks++ }

func (e *echoEngine) NextDeadline() (time.Time, bool) { return e.next, !e.next.IsZero() }

// startEcho runs a duty with an echoEngine whose outputs go to a ring of four items.
func startEcho(t *testing.T, copies int) (*decisionDuty[int], *echoEngine, *ring.Ring[int]) {
	consumer := ring.NewSignal()
	output := ring.New[int](4, consumer)
	d := newDecisionDuty[int](64)
	e := &echoEngine{writer: &ringWriter[int]{ring: output}, copies: copies, handled: make(chan int, 100)}
	d.engine, d.writers = e, []outputWriter{e.writer}
	var g duty.Group
	g.Start("echo", d.run)
	t.Cleanup(func() {
		d.stop()
		g.Wait()
	})
	return d, e, output
}

// popN pops n items from r, or fewer when they do not arrive within 5 s.
func popN(r *ring.Ring[int], n int) []int {
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

// Guards against handling an input while an output ring is full, and against outputs
// that are lost, duplicated or reordered when the ring has free space again.
func TestFullOutletHoldsInputsBack(t *testing.T) {
	d, e, output := startEcho(t, 6)
	require.True(t, d.input.TryPush(1))
	require.True(t, d.input.TryPush(2))
	require.Equal(t, 1, <-e.handled)
	select {
	case in := <-e.handled:
		require.Fail(t, "input handled while the output ring is full", in)
	case <-time.After(50 * time.Millisecond):
	}
	require.Equal(t, []int{1, 1, 1, 1, 1, 1, 2, 2, 2, 2, 2, 2}, popN(output, 12))
	require.Equal(t, 2, <-e.handled)
}

// Guards against a duty that does not stop while it waits for a full output ring.
func TestStopWhileAnOutletIsFull(t *testing.T) {
	d, e, _ := startEcho(t, 6)
	require.True(t, d.input.TryPush(1))
	<-e.handled
}

// Guards against decided outputs, such as the last answers to callers, that a stop leaves
// behind because the ring to their duty is full at that moment (hypothesis 5 of issue 30).
func TestStopSendsDecidedOutputs(t *testing.T) {
	d, e, output := startEcho(t, 20)
	require.True(t, d.input.TryPush(1))
	<-e.handled
	d.stop()
	time.Sleep(20 * time.Millisecond)
	require.Len(t, popN(output, 20), 20)
}

// Guards against firing a deadline while an output ring is full.
func TestNoTickWithAFullOutlet(t *testing.T) {
	d := newDecisionDuty[int](8)
	e := &echoEngine{writer: &ringWriter[int]{ring: ring.New[int](4, ring.NewSignal())}, copies: 6, handled: make(chan int, 1), next: time.Now()}
	d.engine, d.writers = e, []outputWriter{e.writer}
	require.True(t, d.input.TryPush(1))
	require.True(t, d.handleBatch())
	require.Zero(t, e.ticks)
}

// Guards against a dropped report that counts as delivered, and against a session
// duty that waits for control.
func TestFullControlRingRefusesReports(t *testing.T) {
	out := &sessionOutputs{control: ring.New[control.Input](2, ring.NewSignal())}
	require.True(t, out.Control(session.Drained{}))
	require.True(t, out.Control(session.Drained{}))
	require.False(t, out.Control(session.Drained{}))
}

// Guards against a stop request that is lost because the ring is full.
func TestDeliverAsksForRoom(t *testing.T) {
	r := ring.New[int](2, ring.NewSignal())
	waker := ring.NewSignal()
	require.True(t, pushOrNotify(r, 1, waker))
	require.True(t, pushOrNotify(r, 2, waker))
	require.False(t, pushOrNotify(r, 3, waker))
	_, _ = r.Pop()
	_, _ = r.Pop()
	waker.Wait(time.Second)
	require.True(t, pushOrNotify(r, 3, waker))
}

// pausingEngine is an engine that sleeps in each input, like a process that is paused
// in the middle of a batch.
type pausingEngine struct {
	pause time.Duration
	times []time.Time
}

func (e *pausingEngine) Handle(now time.Time, _ int) {
	e.times = append(e.times, now)
	time.Sleep(e.pause)
}

func (e *pausingEngine) Tick(time.Time) {}

func (e *pausingEngine) NextDeadline() (time.Time, bool) { return time.Time{}, false }

// Guards against admitting a request with the time from before a pause, when the
// instance's share was still valid.
func TestEachInputGetsTheTimeAnew(t *testing.T) {
	d := newDecisionDuty[int](4)
	e := &pausingEngine{pause: 20 * time.Millisecond}
	d.engine = e
	require.True(t, d.input.TryPush(1))
	require.True(t, d.input.TryPush(2))
	require.True(t, d.handleBatch())
	require.GreaterOrEqual(t, e.times[1].Sub(e.times[0]), e.pause)
}

// forwardingEngine sends each input to the classify duty and counts the results.
type forwardingEngine struct {
	writer  *ringWriter[session.ClassifyRequest]
	results atomic.Int64
}

func (e *forwardingEngine) Handle(_ time.Time, in session.Input) {
	if _, ok := in.(session.ClassifyResult); ok {
		e.results.Add(1)
		return
	}
	e.writer.send(session.ClassifyRequest{})
}

func (e *forwardingEngine) Tick(time.Time) {}

func (e *forwardingEngine) NextDeadline() (time.Time, bool) { return time.Time{}, false }

// heldClassifier holds its first request until release is closed, at most for a second:
// the rings may stay a little below full.
type heldClassifier struct {
	release chan struct{}
	first   sync.Once
}

func (c *heldClassifier) Classify([]string) session.Classification {
	c.first.Do(func() {
		select {
		case <-c.release:
		case <-time.After(time.Second):
		}
	})
	return session.Classification{}
}

// Guards against the session duty and the classify duty waiting for each other forever.
// One slow classification lets both rings become full. The session duty then takes no
// input until the classify ring has free space, and the classify duty takes no request
// until the session ring has free space for its result.
func TestFullRingsOfSessionAndClassifyMakeProgress(t *testing.T) {
	const capacity, inputs, limit = 64, 1000, 10 * time.Second
	d := newDecisionDuty[session.Input](capacity)
	held := &heldClassifier{release: make(chan struct{})}
	c := newClassifyDuty(capacity, held, d.input)
	e := &forwardingEngine{writer: &ringWriter[session.ClassifyRequest]{ring: c.input}}
	d.engine, d.writers = e, []outputWriter{e.writer}
	var g duty.Group
	g.Start("session", d.run)
	g.Start("classify", c.run)
	t.Cleanup(func() {
		d.stop()
		c.stop()
		require.Empty(t, g.WaitFor(5*time.Second))
	})

	pushed, last := 0, time.Now()
	for results := int64(0); results < inputs; {
		switch now := e.results.Load(); {
		case pushed < inputs && d.input.TryPush(session.CallerOpened{}):
			pushed++
			last = time.Now()
			// Both rings are full, and each duty holds one item.
			if pushed == 2*capacity+2 {
				close(held.release)
			}
		case now > results:
			results, last = now, time.Now()
		case time.Since(last) > limit:
			require.Failf(t, "no progress", "%d of %d inputs pushed, %d results; session ring %+v, classify ring %+v",
				pushed, inputs, results, d.input.Stats(), c.input.Stats())
		default:
			time.Sleep(time.Millisecond)
		}
	}
}
