package linkio

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// fillRing opens connections until the ring to session is full and events wait for it.
func (h *harness) fillRing() {
	for range 6 {
		write(h.t, h.dial(), "entry\n")
	}
	require.Eventually(h.t, func() bool { return h.duty.Open() == 7 }, 10*time.Second, time.Millisecond)
	time.Sleep(100 * time.Millisecond)
}

// Guards against a request that was read while the ring to session was full, and whose
// connection a planned stop then ends without an answer.
func TestRequestThatWaitsForTheRingIsAnsweredWhenItsSessionEnds(t *testing.T) {
	for _, full := range []bool{false, true} {
		name := "the ring has space"
		if full {
			name = "the ring is full"
		}
		t.Run(name, func(t *testing.T) {
			h := startHarnessWithRing(t, 2)
			conn := h.dial()
			write(t, conn, "entry\n")
			caller := h.next().(session.CallerOpened).Caller
			h.send(session.CallerAdmitted{Caller: caller})
			expect(t, conn, "hello\n")
			if full {
				h.fillRing()
			}
			write(t, conn, "one\n")
			time.Sleep(300 * time.Millisecond)
			h.send(session.CallerClose{Caller: caller, Refusal: core.NotRun("x", "no")})
			got, err := io.ReadAll(conn)
			require.NoError(t, err)
			require.Equal(t, "refuse no\n", string(got))
		})
	}
}

// Guards against a planned stop that cuts the answer to a caller that reads slowly but
// steadily, although the grace period has not ended: the bound of the stop replaces the
// shorter one of the configuration.
func TestStopKeepsASteadyReader(t *testing.T) {
	const (
		size     = 8 << 20
		pauseAt  = 1 << 20
		pause    = 100 * time.Millisecond
		stopTime = time.Minute
	)
	h := startHarness(t)
	caller, conn := h.admit("")
	h.send(session.CallerWrite{Caller: caller, Frames: make([]byte, size), Done: true, TxStatus: session.TxIdle})
	h.send(session.CallerClose{Caller: caller})
	time.Sleep(50 * time.Millisecond)
	h.duty.StopWithin(stopTime)
	got, paused := 0, 0
	buffer := make([]byte, 64<<10)
	for {
		n, err := conn.Read(buffer)
		got += n
		if err == io.EOF {
			break
		}
		require.NoError(t, err, "after %d bytes", got)
		if got-paused >= pauseAt {
			paused = got
			time.Sleep(pause)
		}
	}
	require.Equal(t, len("hello\n")+size+len("end\n"), got)
	require.NoError(t, conn.Close())
	h.stop()
}

// Guards against a caller that is connected just before the stop and whose startup is
// read but not answered.
func TestStopWaitsForAnAdmission(t *testing.T) {
	h := startHarnessWith(t, 64, func(c *CallerConfig) { c.FlushTimeout = time.Minute })
	conn := h.dial()
	write(t, conn, "entry\n")
	caller := h.next().(session.CallerOpened).Caller
	h.duty.Stop()
	time.Sleep(50 * time.Millisecond)
	h.send(session.CallerClose{Caller: caller, Refusal: core.NotRun("x", "stopping")})
	got, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Equal(t, "refuse stopping\n", string(got))
	conn.Close()
	h.stop()
}

// Guards against a warning about lost data for a caller that ends its session as usual
// after a planned stop has closed it.
func TestQuitAfterTheEndIsNoLostData(t *testing.T) {
	h := startHarness(t)
	defer h.stop()
	caller, conn := h.openRequest("one")
	h.send(session.CallerReply{Caller: caller})
	h.send(session.CallerClose{Caller: caller, Refusal: core.NotRun("x", "no")})
	_, err := io.ReadAll(conn)
	require.NoError(t, err)
	write(t, conn, "quit\n")
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool { return h.duty.Open() == 0 }, 10*time.Second, time.Millisecond)
	select {
	case l := <-h.logs:
		require.Fail(t, "unexpected log line", "%#v", l)
	default:
	}
}
