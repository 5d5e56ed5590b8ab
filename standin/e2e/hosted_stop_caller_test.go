package e2e

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"syscall"
	"time"
)

// stopCaller is a caller that records the fate of each of its requests. A goroutine of
// its own reads the connection, so that the time of a close is known also while no
// request is outstanding.
type stopCaller struct {
	name string
	conn net.Conn
	gate *memberGate
	// answers receives each whole answer: a result or an error, followed by READY.
	answers chan stopAnswer
	// closed is closed when the connection has ended; closedAt and closeErr are valid
	// from then on.
	closed   chan struct{}
	closedAt time.Time
	closeErr error
	// exchanges are the requests in the order of sending.
	exchanges []*stopExchange
	// inTransaction is set after an answered BEGIN. openWrites are the query ids of
	// the writes of the transaction.
	inTransaction bool
	openWrites    []string
	// kept and notKept are the query ids of the writes that must be, and must not be,
	// committed according to the answers.
	kept, notKept []string
}

// stopAnswer is a whole answer.
type stopAnswer struct {
	hostedResponse
	at time.Time
}

// stopExchange is a request and what became of it.
type stopExchange struct {
	caller, id, text string
	inTransaction    bool
	mayBeClosed      bool
	sent             time.Time
	// answered is set if a whole answer was received. Otherwise the connection was
	// closed, or unanswered is set.
	answered   bool
	answer     stopAnswer
	unanswered bool
	closedAt   time.Time
	closeErr   error
}

// lossSlack is the time between the sending of a request and the close of its
// connection in which the two may have passed each other on the network. It is the
// hosting platform's bound lossSlackMs.
const lossSlack = 200 * time.Millisecond

// connectStopCaller connects to an instance.
func connectStopCaller(address, key, name string, gate *memberGate) (*stopCaller, error) {
	c, err := connectHosted(address, "ledger", key)
	if err != nil {
		return nil, err
	}
	if err := c.conn.SetDeadline(time.Time{}); err != nil {
		return nil, err
	}
	s := &stopCaller{name: name, conn: c.conn, gate: gate, answers: make(chan stopAnswer, 1), closed: make(chan struct{})}
	go s.read(c.reader)
	return s, nil
}

// read reads answers until the connection ends.
func (c *stopCaller) read(reader *bufio.Reader) {
	defer close(c.closed)
	var answer stopAnswer
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			c.closedAt, c.closeErr = time.Now(), err
			return
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch word {
		case "DATAROW":
			answer.row = rest
		case "COMPLETE":
			answer.mac = rest
		case "ERROR":
			answer.errorCode, _, _ = strings.Cut(rest, " ")
		case "READY":
			answer.at = time.Now()
			c.answers <- answer
			answer = stopAnswer{}
		}
	}
}

// prepare returns a request that is not sent yet.
func (c *stopCaller) prepare(text string) *stopExchange {
	return &stopExchange{caller: c.name, id: fmt.Sprintf("q%d", lastHostedQueryID.Add(1)), text: text, inTransaction: c.inTransaction}
}

// send sends a request and waits for its answer or the end of the connection, for at
// most limit.
func (c *stopCaller) send(x *stopExchange, limit time.Duration) {
	c.exchanges = append(c.exchanges, x)
	x.sent = time.Now()
	// A failed write is no error here: the connection has ended, which read reports.
	_, _ = c.conn.Write([]byte("QUERY " + x.id + " " + x.text + "\r\n"))
	select {
	case x.answer = <-c.answers:
		x.answered = true
	case <-time.After(limit):
		x.unanswered = true
	case <-c.closed:
		x.closedAt, x.closeErr = c.closedAt, c.closeErr
		select {
		case x.answer = <-c.answers:
			x.answered = true
		default:
		}
	}
	c.recordFate(x)
}

// succeeded reports whether the caller got the member's result, or the confirmation of
// a request that needs no member.
func (x *stopExchange) succeeded() bool {
	if !x.answered || x.answer.errorCode != "" {
		return false
	}
	return x.answer.mac == "mac."+x.id || x.text == "BEGIN" || x.text == "ROLLBACK"
}

// promisesNothingKept reports whether the answer is a promise that nothing of the
// operation is kept.
func (x *stopExchange) promisesNothingKept() bool {
	return x.answered && slices.Contains([]string{"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "CONNLIMIT"}, x.answer.errorCode)
}

// recordFate records what the answer says about the writes.
func (c *stopCaller) recordFate(x *stopExchange) {
	word, _, _ := strings.Cut(x.text, " ")
	if word == "WRITE" {
		c.openWrites = append(c.openWrites, x.id)
	}
	ends := word == "COMMIT" || word == "WRITE" && !c.inTransaction
	switch {
	case word == "BEGIN" && x.succeeded():
		c.inTransaction = true
	case x.promisesNothingKept() || word == "ROLLBACK":
		c.notKept = append(c.notKept, c.openWrites...)
		c.endTransaction()
	case ends && x.succeeded():
		c.kept = append(c.kept, c.openWrites...)
		c.endTransaction()
	case ends:
		// The outcome is uncertain.
		c.endTransaction()
	}
}

func (c *stopCaller) endTransaction() {
	c.inTransaction, c.openWrites = false, nil
}

// checkKept compares the answers with the commits of the group.
func (c *stopCaller) checkKept(g *hostedGroup) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var violations []error
	for _, id := range c.kept {
		if n := g.commitCounts[id]; n != 1 {
			violations = append(violations, fmt.Errorf("%s: the acknowledged write %s was committed %d times", c.name, id, n))
		}
	}
	// Nothing of a transaction whose COMMIT was not sent may be kept.
	for _, id := range append(c.notKept, c.openWrites...) {
		if n := g.commitCounts[id]; n != 0 {
			violations = append(violations, fmt.Errorf("%s: the refused or uncommitted write %s was committed %d times", c.name, id, n))
		}
	}
	for _, x := range c.exchanges {
		if n := g.commitCounts[x.id]; n > 1 {
			violations = append(violations, fmt.Errorf("%s: the write %s was committed %d times", c.name, x.id, n))
		}
	}
	return errors.Join(violations...)
}

// wasCut reports whether the request was lost: its connection ended without a whole
// answer after the request had reached a member, or so late that the request cannot
// have passed the close on the network.
func (x *stopExchange) wasCut(run memberRun) bool {
	return x.unanswered || !x.answered && (run.count > 0 || x.closedAt.Sub(x.sent) > lossSlack)
}

// fate describes what the caller saw.
func (x *stopExchange) fate() string {
	switch {
	case x.answered && x.answer.errorCode != "":
		return x.answer.errorCode
	case x.answered:
		return "result"
	case x.unanswered:
		return "no answer"
	case x.closedAt.Before(x.sent):
		return "closed before"
	case errors.Is(x.closeErr, io.EOF):
		return "closed"
	case errors.Is(x.closeErr, syscall.ECONNRESET):
		return "reset"
	}
	return x.closeErr.Error()
}

// endedAt is the time of the answer or of the close.
func (x *stopExchange) endedAt() time.Time {
	if x.answered {
		return x.answer.at
	}
	return x.closedAt
}

// describe returns a line with the times in seconds after start.
func (x *stopExchange) describe(run memberRun, start time.Time) string {
	after := func(t time.Time) string {
		if t.IsZero() {
			return "-"
		}
		return fmt.Sprintf("%.2f", t.Sub(start).Seconds())
	}
	return fmt.Sprintf("%-28s %-10s sent %5s  %-13s %5s  at a member %d times, %s to %s", x.caller, x.text, after(x.sent), x.fate(), after(x.endedAt()), run.count, after(run.began), after(run.ended))
}
