package member

import (
	"slices"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/standin/endpoint"
	"github.com/sassafrasshunt/sassafrasshunt/standin/store"
)

// pendingCalls holds the calls of wait and replicate that have no response yet.
type pendingCalls struct {
	member *Member
	waits  []*waitCall
	pulls  []pullCall
}

// waitCall is a pending call of wait.
type waitCall struct {
	pending *pendingCalls
	params  WaitParams
	reply   endpoint.Reply
	timer   timer
}

// pullCall is a pending call of replicate.
type pullCall struct {
	pull  store.Pull
	reply endpoint.Reply
}

// addWait responds to a call of wait at once when it is fulfilled or invalid;
// otherwise the call is pending until it is fulfilled or its timeout has passed.
func (c *pendingCalls) addWait(p WaitParams, reply endpoint.Reply) error {
	w := &waitCall{pending: c, params: p, reply: reply}
	w.timer.Value = w
	if w.tryAnswer() {
		return nil
	}
	c.waits = append(c.waits, w)
	c.member.arm(&w.timer, time.Duration(p.TimeoutMS)*time.Millisecond)
	return nil
}

// tryAnswer responds to a call that is fulfilled or rejected and reports whether
// it has responded.
func (w *waitCall) tryAnswer() bool {
	m := w.pending.member
	reached, err := m.store.Confirmed(w.params.Term, w.params.Received, w.params.Applied)
	if err != nil {
		w.reply.SendError(err)
		return true
	}
	if reached {
		w.reply.SendResult(m.status())
	}
	return reached
}

func (w *waitCall) timedOut() {
	w.pending.removeWait(w)
	w.reply.SendResult(w.pending.member.status())
}

func (c *pendingCalls) removeWait(w *waitCall) {
	c.member.timers.Disarm(&w.timer)
	c.waits = slices.DeleteFunc(c.waits, func(other *waitCall) bool { return other == w })
}

// addPull responds to a replica at once when there are entries to send; otherwise
// the call is pending. A replica blocked by fault.cut gets no response.
func (c *pendingCalls) addPull(p store.Pull, reply endpoint.Reply) error {
	if c.member.faults.cut[string(p.Member)] {
		return nil
	}
	batch, ready, err := c.member.store.ServePull(p)
	if err != nil {
		return err
	}
	if ready {
		reply.SendResult(batch)
		return nil
	}
	c.pulls = append(c.pulls, pullCall{pull: p, reply: reply})
	return nil
}

// answerReady responds to the pending calls that the state of the store now
// fulfils.
func (c *pendingCalls) answerReady() {
	c.waits = slices.DeleteFunc(c.waits, func(w *waitCall) bool {
		answered := w.tryAnswer()
		if answered {
			c.member.timers.Disarm(&w.timer)
		}
		return answered
	})
	c.answerPulls(false)
}

// sendHeartbeats responds to all pending calls of replicas.
func (c *pendingCalls) sendHeartbeats() {
	c.answerPulls(true)
}

// answerPulls responds to the replicas that have entries to receive, or to all.
func (c *pendingCalls) answerPulls(all bool) {
	c.pulls = slices.DeleteFunc(c.pulls, func(p pullCall) bool {
		if c.member.faults.cut[string(p.pull.Member)] {
			return true
		}
		batch, ready, err := c.member.store.ServePull(p.pull)
		if err != nil {
			p.reply.SendError(err)
			return true
		}
		if ready || all {
			p.reply.SendResult(batch)
		}
		return ready || all
	})
}

// dropConnection drops the pending calls of a closed connection.
func (c *pendingCalls) dropConnection(conn *endpoint.Conn) {
	c.waits = slices.DeleteFunc(c.waits, func(w *waitCall) bool {
		if w.reply.Conn() == conn {
			c.member.timers.Disarm(&w.timer)
		}
		return w.reply.Conn() == conn
	})
	c.pulls = slices.DeleteFunc(c.pulls, func(p pullCall) bool { return p.reply.Conn() == conn })
}
