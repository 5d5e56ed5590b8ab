package member

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/standin/endpoint"
)

// faults are the failures that a test has asked for.
type faults struct {
	pause time.Duration
	// cut holds the members without replication.
	cut         map[string]bool
	loseAnswers int
}

// sleep stops the member duty, sockets and timers included.
func (f *faults) sleep() {
	if f.pause == 0 {
		return
	}
	d := f.pause
	f.pause = 0
	ring.NewSignal().Wait(d)
}

// loseAnswer takes one of the answers to lose.
func (f *faults) loseAnswer() bool {
	if f.loseAnswers == 0 {
		return false
	}
	f.loseAnswers--
	return true
}

func (m *Member) callPause(p MillisecondsParams, reply endpoint.Reply) error {
	if p.MS < 0 {
		return &endpoint.ParamsError{Reason: "ms is negative"}
	}
	m.faults.pause = time.Duration(p.MS) * time.Millisecond
	reply.Answer(m.status())
	return nil
}

func (m *Member) callCut(p CutParams, reply endpoint.Reply) error {
	clear(m.faults.cut)
	for _, peer := range p.Peers {
		m.faults.cut[peer] = true
	}
	reply.Answer(m.status())
	return nil
}

func (m *Member) callLoseAnswer(p CountParams, reply endpoint.Reply) error {
	m.faults.loseAnswers = max(p.Count, 0)
	reply.Answer(m.status())
	return nil
}

func (m *Member) callLag(p MillisecondsParams, reply endpoint.Reply) error {
	if p.MS < 0 {
		return &endpoint.ParamsError{Reason: "ms is negative"}
	}
	m.store.SetApplyLag(time.Duration(p.MS) * time.Millisecond)
	reply.Answer(m.status())
	return nil
}

// callCrash ends the member without an answer to anyone.
func (m *Member) callCrash(_ struct{}, _ endpoint.Reply) error {
	m.stopped = true
	m.crashed = true
	return nil
}
