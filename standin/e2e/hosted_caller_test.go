package e2e

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// hostedCaller is a client of the hosting platform's line protocol.
type hostedCaller struct {
	conn   net.Conn
	reader *bufio.Reader
}

// hostedResponse is the response to a query.
type hostedResponse struct {
	row string
	// mac is the signature of the result: "mac.<query id>" from the stand-in of a
	// member, "-" without one.
	mac string
	// errorCode is empty on success.
	errorCode string
}

// errHostedClosed reports that the instance closed the connection or that a response
// did not arrive in time.
var errHostedClosed = errors.New("the connection was closed")

// lastHostedQueryID numbers the queries of all callers.
var lastHostedQueryID atomic.Uint64

// connectHosted connects to an instance. The error has the code of a refusal.
func connectHosted(address, entry, key string) (*hostedCaller, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &hostedCaller{conn: conn, reader: bufio.NewReader(conn)}
	a, err := c.exchange("STARTUP " + entry + " " + key)
	if err == nil && a.errorCode != "" {
		err = errors.New(a.errorCode)
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return c, nil
}

// exchange sends a line and reads its response up to READY.
func (c *hostedCaller) exchange(line string) (hostedResponse, error) {
	var a hostedResponse
	if err := c.conn.SetDeadline(time.Now().Add(3 * time.Second)); err != nil {
		return a, err
	}
	if _, err := c.conn.Write([]byte(line + "\r\n")); err != nil {
		return a, err
	}
	for {
		text, err := c.reader.ReadString('\n')
		if err != nil {
			return a, errors.Join(errHostedClosed, err)
		}
		word, rest, _ := strings.Cut(strings.TrimRight(text, "\r\n"), " ")
		switch word {
		case "DATAROW":
			a.row = rest
		case "COMPLETE":
			a.mac = rest
		case "ERROR":
			a.errorCode, _, _ = strings.Cut(rest, " ")
		case "READY":
			return a, nil
		}
	}
}

// query sends a query under a new id and returns the id and the response. It returns
// an error if the result has the signature of another query.
func (c *hostedCaller) query(text string) (string, hostedResponse, error) {
	id := fmt.Sprintf("q%d", lastHostedQueryID.Add(1))
	a, err := c.exchange("QUERY " + id + " " + text)
	if err == nil && a.errorCode == "" && a.mac != "mac."+id && a.mac != "-" {
		err = fmt.Errorf("the response to %s has the signature %q", id, a.mac)
	}
	return id, a, err
}

// hostedLoad runs callers that write and read one key each through all instances, and
// records the outcomes of the writes.
type hostedLoad struct {
	addresses []string
	mutex     sync.Mutex
	// outcomes are the outcomes of the writes by their query ids: hostedAcknowledged,
	// hostedNotRun or hostedUncertain.
	outcomes map[string]string
	// acknowledgedAt are the times of the acknowledgements.
	acknowledgedAt []time.Time
	violations     []string
	// interrupted counts the writes whose connection was closed long after they were
	// sent. closeRaces are the query ids of the writes that may have been sent at the
	// same time as the instance closed the connection.
	interrupted int
	closeRaces  []string
	cancel      context.CancelFunc
	running     sync.WaitGroup
}

const (
	hostedAcknowledged = "acknowledged"
	hostedNotRun       = "not run"
	hostedUncertain    = "uncertain"
)

func startHostedLoad(addresses []string, callers int) *hostedLoad {
	ctx, cancel := context.WithCancel(context.Background())
	l := &hostedLoad{addresses: addresses, outcomes: map[string]string{}, cancel: cancel}
	for i := range callers {
		l.running.Go(func() { l.run(ctx, i) })
	}
	return l
}

func (l *hostedLoad) stop() {
	l.cancel()
	l.running.Wait()
}

func (l *hostedLoad) run(ctx context.Context, caller int) {
	w := &hostedWriter{load: l, key: fmt.Sprintf("k%d", caller)}
	for attempt := caller; ctx.Err() == nil; attempt++ {
		c, err := connectHosted(l.addresses[attempt%len(l.addresses)], "ledger", "key-1")
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		for err == nil && ctx.Err() == nil {
			err = w.step(c)
			time.Sleep(5 * time.Millisecond)
		}
		c.conn.Close()
	}
}

// hostedWriter writes one key, which nothing else writes.
type hostedWriter struct {
	load     *hostedLoad
	key      string
	sequence int
	// expected are the values that a read may return: the last acknowledged one and
	// those of later writes with an uncertain outcome.
	expected []string
}

// step writes a new value, every fourth time in a transaction, and reads it back. An
// error means that the connection can no longer be used.
func (w *hostedWriter) step(c *hostedCaller) error {
	w.sequence++
	value := fmt.Sprintf("v%d", w.sequence)
	transaction := w.sequence%4 == 0
	if transaction {
		if _, a, err := c.query("BEGIN"); err != nil || a.errorCode != "" {
			return err
		}
	}
	sent := time.Now()
	id, a, err := c.query("WRITE " + w.key + " " + value)
	if transaction && err == nil && a.errorCode == "" {
		sent = time.Now()
		_, a, err = c.query("COMMIT")
	}
	w.recordWrite(id, value, a, err, time.Since(sent))
	if err != nil {
		return err
	}
	_, a, err = c.query("READ " + w.key)
	if err == nil && a.errorCode == "" {
		w.checkRead(a.row)
	}
	return err
}

// closeRaceWindow is the longest time between the sending of a request and the close of
// its connection in which the two may have passed each other on the network. The
// instance then never received the request.
const closeRaceWindow = 200 * time.Millisecond

// recordWrite records the outcome of a write that ended after the time elapsed.
func (w *hostedWriter) recordWrite(id, value string, a hostedResponse, err error, elapsed time.Duration) {
	l := w.load
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case err != nil:
		l.outcomes[id] = hostedUncertain
		switch {
		case !errors.Is(err, errHostedClosed):
			l.violations = append(l.violations, err.Error())
		case elapsed > closeRaceWindow:
			l.interrupted++
		default:
			l.closeRaces = append(l.closeRaces, id)
		}
		w.expected = append(w.expected, value)
	case a.errorCode == "":
		l.outcomes[id] = hostedAcknowledged
		l.acknowledgedAt = append(l.acknowledgedAt, time.Now())
		w.expected = []string{value}
	case a.errorCode == "INDOUBT" || a.errorCode == "TIMEOUT" || a.errorCode == "FAILED":
		l.outcomes[id] = hostedUncertain
		w.expected = append(w.expected, value)
	default:
		l.outcomes[id] = hostedNotRun
	}
}

// checkRead records a violation if a read returned a value that was not expected.
func (w *hostedWriter) checkRead(row string) {
	l := w.load
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, value := range w.expected {
		if row == value {
			return
		}
	}
	if len(w.expected) > 0 {
		l.violations = append(l.violations, fmt.Sprintf("a read of %s returned %s, expected one of %v", w.key, row, w.expected))
	}
}

// check compares the outcomes with the statements that the members have committed, and
// returns all violations in one error.
func (l *hostedLoad) check(g *hostedGroup) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	violations := append([]string(nil), l.violations...)
	for id, result := range l.outcomes {
		switch commits := g.commitCounts[id]; {
		case commits > 1:
			violations = append(violations, fmt.Sprintf("%s was committed %d times", id, commits))
		case result == hostedAcknowledged && commits == 0:
			violations = append(violations, id+" was acknowledged but is lost")
		case result == hostedNotRun && commits > 0:
			violations = append(violations, id+" was reported as not run but is committed")
		}
	}
	if len(violations) > 0 {
		return errors.New(strings.Join(violations, "\n"))
	}
	return nil
}

// interruptedWrites counts the writes that were interrupted by a close of the
// connection: it came long after they were sent, or they were committed, so that the
// instance had received them.
func (l *hostedLoad) interruptedWrites(g *hostedGroup) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	interrupted := l.interrupted
	for _, id := range l.closeRaces {
		if g.commitCounts[id] > 0 {
			interrupted++
		}
	}
	return interrupted
}

// acknowledgedSince returns the number of writes acknowledged after t.
func (l *hostedLoad) acknowledgedSince(t time.Time) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	n := 0
	for _, at := range l.acknowledgedAt {
		if at.After(t) {
			n++
		}
	}
	return n
}

// awaitWrites waits, for at most maxFailoverTime, until 20 writes were acknowledged
// after since.
func (l *hostedLoad) awaitWrites(since time.Time) error {
	return eventually(maxFailoverTime, func() error {
		if l.acknowledgedSince(since) < 20 {
			return errors.New("fewer than 20 writes were acknowledged")
		}
		return nil
	})
}
