package member

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/standin/endpoint"
)

// faults are the failures that a test has requested.
type faults struct {
	// pause is how long the member duty blocks after the current poll.
	pause time.Duration
	// cut holds the members whose replication is blocked.
	cut map[string]bool
	// responsesToDrop is the number of commits that get no response.
	responsesToDrop int
}

// applyPause blocks the member duty, with its sockets and timers, for the
// requested time.
func (f *faults) applyPause() {
	if f.pause == 0 {
		return
	}
	d := f.pause
	f.pause = 0
	ring.NewSignal().Wait(d)
}

// consumeDroppedResponse reports whether the next response is to be dropped, and
// counts it.
func (f *faults) consumeDroppedResponse() bool {
	if f.responsesToDrop == 0 {
		return false
	}
	f.responsesToDrop--
	return true
}

func (m *Member) callPause(p MillisecondsParams, reply endpoint.Reply) error {
	if p.MS < 0 {
		return &endpoint.ParamsError{Reason: "ms is negative"}
	}
	m.faults.pause = time.Duration(p.MS) * time.Millisecond
	reply.SendResult(m.status())
	return nil
}

func (m *Member) callCut(p CutParams, reply endpoint.Reply) error {
	clear(m.faults.cut)
	for _, peer := range p.Peers {
		m.faults.cut[peer] = true
	}
	reply.SendResult(m.status())
	return nil
}

func (m *Member) callLoseResponse(p CountParams, reply endpoint.Reply) error {
	m.faults.responsesToDrop = max(p.Count, 0)
	reply.SendResult(m.status())
	return nil
}

func (m *Member) callLag(p MillisecondsParams, reply endpoint.Reply) error {
	if p.MS < 0 {
		return &endpoint.ParamsError{Reason: "ms is negative"}
	}
	m.store.SetApplyLag(time.Duration(p.MS) * time.Millisecond)
	reply.SendResult(m.status())
	return nil
}

// callCrash ends the member without responding to any call.
func (m *Member) callCrash(_ struct{}, _ endpoint.Reply) error {
	m.stopped = true
	m.crashed = true
	return nil
}
