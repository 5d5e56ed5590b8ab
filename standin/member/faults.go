package member

import (
	"encoding/json"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
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

func callPause(m *Member, p MillisecondsParams, reply replyTo) error {
	if p.MS < 0 {
		return &ParamsError{Reason: "ms is negative"}
	}
	m.faults.pause = time.Duration(p.MS) * time.Millisecond
	reply.answer(m.status())
	return nil
}

func callCut(m *Member, p CutParams, reply replyTo) error {
	clear(m.faults.cut)
	for _, peer := range p.Peers {
		m.faults.cut[peer] = true
	}
	reply.answer(m.status())
	return nil
}

func callLoseAnswer(m *Member, p CountParams, reply replyTo) error {
	m.faults.loseAnswers = max(p.Count, 0)
	reply.answer(m.status())
	return nil
}

func callLag(m *Member, p MillisecondsParams, reply replyTo) error {
	if p.MS < 0 {
		return &ParamsError{Reason: "ms is negative"}
	}
	m.store.SetApplyLag(time.Duration(p.MS) * time.Millisecond)
	reply.answer(m.status())
	return nil
}

// callCrash ends the member without an answer to anyone.
func callCrash(m *Member, _ json.RawMessage, _ replyTo) error {
	m.stopped = true
	m.crashed = true
	return nil
}
