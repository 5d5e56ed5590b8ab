package instance

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/control"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/settings"
)

// signallingEngine is an engine that reports each input that it handles.
type signallingEngine[In any] struct{ handled chan struct{} }

func (e *signallingEngine[In]) Handle(time.Time, In) { e.handled <- struct{}{} }

func (e *signallingEngine[In]) Tick(time.Time) {}

func (e *signallingEngine[In]) NextDeadline() (time.Time, bool) { return time.Time{}, false }

// startLateRequest starts a duty in place of one that owns sockets. Once the stop
// has begun it passes one more input to d, and answered is set if d handles it.
func startLateRequest[In any](i *Instance, begun <-chan struct{}, name string, d *decisionDuty[In], in In, answered *bool) {
	engine := &signallingEngine[In]{handled: make(chan struct{}, 1)}
	d.engine = engine
	i.duties.Start(name+" answers", d.run)
	i.duties.Start(name, func() {
		<-begun
		time.Sleep(100 * time.Millisecond)
		d.input.TryPush(in)
		select {
		case <-engine.handled:
			*answered = true
		case <-time.After(time.Second):
		}
	})
}

// Guards against a stop that ends the session or the control duty while the sockets of
// callers or of other instances still wait for its answers.
func TestSocketsEndBeforeTheDutiesThatAnswerThem(t *testing.T) {
	s, err := settings.Load("testdata/instance.toml")
	require.NoError(t, err)
	i, err := New(s, io.Discard)
	require.NoError(t, err)
	i.startLog()
	begun := make(chan struct{})
	var callerAnswered, peerAnswered bool
	startLateRequest[session.Input](i, begun, dutyCallers, i.sessionDuty, session.Drain{}, &callerAnswered)
	startLateRequest[control.Input](i, begun, dutyPeers, i.controlDuty, control.StopRequested{}, &peerAnswered)
	close(begun)
	i.stopDuties()
	require.True(t, callerAnswered, "session")
	require.True(t, peerAnswered, "control")
}
