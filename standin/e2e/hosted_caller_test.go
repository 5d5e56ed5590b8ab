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

// hostedCaller is a client of the line protocol.
type hostedCaller struct {
	conn   net.Conn
	reader *bufio.Reader
}

// hostedAnswer is the answer to a query.
type hostedResponse struct {
	row string
	mac string
	// code is that of an error, empty for a success.
	code string
}

var errHostedClosed = errors.New("the connection was closed")

var lastHostedQueryID atomic.Uint64

func connectHosted(address, entry, key string) (*hostedCaller, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &hostedCaller{conn: conn, reader: bufio.NewReader(conn)}
	a, err := c.exchange("STARTUP " + entry + " " + key)
	if err == nil && a.code != "" {
		err = errors.New(a.code)
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return c, nil
}

// exchange sends a line and reads up to the end of the answer.
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
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			return a, nil
		}
	}
}

// query runs a text under a new id, which it returns.
func (c *hostedCaller) query(text string) (string, hostedResponse, error) {
	id := fmt.Sprintf("q%d", lastHostedQueryID.Add(1))
	a, err := c.exchange("QUERY " + id + " " + text)
	if err == nil && a.code == "" && a.mac != "mac."+id && a.mac != "-" {
		err = fmt.Errorf("the answer to %s has the signature %q", id, a.mac)
	}
	return id, a, err
}

// hostedLoad writes and reads its own keys through all instances and keeps what
// it was told.
type hostedLoad struct {
	addresses []string
	mutex     sync.Mutex
	// told is the answer to each write by its id: acknowledged, refused or unknown.
	outcomes       map[string]string
	acknowledgedAt []time.Time
	violations     []string
	// cuts counts requests that ended with the connection, crossed are the writes
	// that a close by the instance may have crossed on the way.
	interrupted  int
	crossedClose []string
	cancel       context.CancelFunc
	running      sync.WaitGroup
}

const (
	hostedAcknowledged = "kept"
	hostedNotRun       = "refused"
	hostedUncertain    = "unknown"
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

// hostedWriter is the only writer of its key.
type hostedWriter struct {
	load     *hostedLoad
	key      string
	sequence int
	// expected are the values that a read may return.
	expected []string
}

// step writes, alone or in a transaction, and reads the value back.
func (w *hostedWriter) step(c *hostedCaller) error {
	w.sequence++
	value := fmt.Sprintf("v%d", w.sequence)
	transaction := w.sequence%4 == 0
	if transaction {
		if _, a, err := c.query("BEGIN"); err != nil || a.code != "" {
			return err
		}
	}
	sent := time.Now()
	id, a, err := c.query("WRITE " + w.key + " " + value)
	if transaction && err == nil && a.code == "" {
		sent = time.Now()
		_, a, err = c.query("COMMIT")
	}
	w.recordWrite(id, value, a, err, time.Since(sent))
	if err != nil {
		return err
	}
	_, a, err = c.query("READ " + w.key)
	if err == nil && a.code == "" {
		w.checkRead(a.row)
	}
	return err
}

// crossing is how long a request may be on its way when its connection closes.
const closeRaceWindow = 200 * time.Millisecond

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
			l.crossedClose = append(l.crossedClose, id)
		}
		w.expected = append(w.expected, value)
	case a.code == "":
		l.outcomes[id] = hostedAcknowledged
		l.acknowledgedAt = append(l.acknowledgedAt, time.Now())
		w.expected = []string{value}
	case a.code == "INDOUBT" || a.code == "TIMEOUT" || a.code == "FAILED":
		l.outcomes[id] = hostedUncertain
		w.expected = append(w.expected, value)
	default:
		l.outcomes[id] = hostedNotRun
	}
}

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
		l.violations = append(l.violations, fmt.Sprintf("%s reads %s, expected one of %v", w.key, row, w.expected))
	}
}

// check compares what callers were told with what the members kept.
func (l *hostedLoad) check(g *hostedGroup) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	violations := append([]string(nil), l.violations...)
	for id, outcome := range l.outcomes {
		switch commits := g.commitCounts[id]; {
		case commits > 1:
			violations = append(violations, fmt.Sprintf("%s took effect %d times", id, commits))
		case outcome == hostedAcknowledged && commits == 0:
			violations = append(violations, id+" was acknowledged and is lost")
		case outcome == hostedNotRun && commits > 0:
			violations = append(violations, id+" was refused as not run and is kept")
		}
	}
	if len(violations) > 0 {
		return errors.New(strings.Join(violations, "\n"))
	}
	return nil
}

// cutOff counts the writes that ended with their connection although they were
// passed on, or long after they were sent.
func (l *hostedLoad) interruptedWrites(g *hostedGroup) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	interrupted := l.interrupted
	for _, id := range l.crossedClose {
		if g.commitCounts[id] > 0 {
			interrupted++
		}
	}
	return interrupted
}

// acknowledgedSince counts the writes acknowledged after a time.
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

// goesOn waits, up to the bound of a change of primary, for writes that were
// acknowledged after a time.
func (l *hostedLoad) awaitWrites(since time.Time) error {
	return eventually(maxFailoverTime, func() error {
		if l.acknowledgedSince(since) < 20 {
			return errors.New("writes do not go on")
		}
		return nil
	})
}
