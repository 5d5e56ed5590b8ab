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
type hostedAnswer struct {
	row string
	mac string
	// code is that of an error, empty for a success.
	code string
}

var errHostedClosed = errors.New("the connection was closed")

var hostedIDs atomic.Uint64

func openHosted(address, entry, key string) (*hostedCaller, error) {
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
func (c *hostedCaller) exchange(line string) (hostedAnswer, error) {
	var a hostedAnswer
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
func (c *hostedCaller) query(text string) (string, hostedAnswer, error) {
	id := fmt.Sprintf("q%d", hostedIDs.Add(1))
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
	told   map[string]string
	acks   []time.Time
	faults []string
	// cuts counts requests that ended with the connection, crossed are the writes
	// that a close by the instance may have crossed on the way.
	cuts    int
	crossed []string
	cancel  context.CancelFunc
	group   sync.WaitGroup
}

const (
	toldKept    = "kept"
	toldRefused = "refused"
	toldUnknown = "unknown"
)

func startHostedLoad(addresses []string, callers int) *hostedLoad {
	ctx, cancel := context.WithCancel(context.Background())
	l := &hostedLoad{addresses: addresses, told: map[string]string{}, cancel: cancel}
	for i := range callers {
		l.group.Go(func() { l.run(ctx, i) })
	}
	return l
}

func (l *hostedLoad) stop() {
	l.cancel()
	l.group.Wait()
}

func (l *hostedLoad) run(ctx context.Context, caller int) {
	w := &hostedWriter{load: l, key: fmt.Sprintf("k%d", caller)}
	for turn := caller; ctx.Err() == nil; turn++ {
		c, err := openHosted(l.addresses[turn%len(l.addresses)], "ledger", "key-1")
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
	load   *hostedLoad
	key    string
	serial int
	// expected are the values that a read may return.
	expected []string
}

// step writes, alone or in a transaction, and reads the value back.
func (w *hostedWriter) step(c *hostedCaller) error {
	w.serial++
	value := fmt.Sprintf("v%d", w.serial)
	transaction := w.serial%4 == 0
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
	w.note(id, value, a, err, time.Since(sent))
	if err != nil {
		return err
	}
	_, a, err = c.query("READ " + w.key)
	if err == nil && a.code == "" {
		w.check(a.row)
	}
	return err
}

// crossing is how long a request may be on its way when its connection closes.
const crossing = 200 * time.Millisecond

func (w *hostedWriter) note(id, value string, a hostedAnswer, err error, took time.Duration) {
	l := w.load
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case err != nil:
		l.told[id] = toldUnknown
		switch {
		case !errors.Is(err, errHostedClosed):
			l.faults = append(l.faults, err.Error())
		case took > crossing:
			l.cuts++
		default:
			l.crossed = append(l.crossed, id)
		}
		w.expected = append(w.expected, value)
	case a.code == "":
		l.told[id] = toldKept
		l.acks = append(l.acks, time.Now())
		w.expected = []string{value}
	case a.code == "INDOUBT" || a.code == "TIMEOUT" || a.code == "FAILED":
		l.told[id] = toldUnknown
		w.expected = append(w.expected, value)
	default:
		l.told[id] = toldRefused
	}
}

func (w *hostedWriter) check(row string) {
	l := w.load
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, value := range w.expected {
		if row == value {
			return
		}
	}
	if len(w.expected) > 0 {
		l.faults = append(l.faults, fmt.Sprintf("%s reads %s, expected one of %v", w.key, row, w.expected))
	}
}

// check compares what callers were told with what the members kept.
func (l *hostedLoad) check(g *hostedGroup) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	faults := append([]string(nil), l.faults...)
	for id, told := range l.told {
		switch ran := g.ran[id]; {
		case ran > 1:
			faults = append(faults, fmt.Sprintf("%s took effect %d times", id, ran))
		case told == toldKept && ran == 0:
			faults = append(faults, id+" was acknowledged and is lost")
		case told == toldRefused && ran > 0:
			faults = append(faults, id+" was refused as not run and is kept")
		}
	}
	if len(faults) > 0 {
		return errors.New(strings.Join(faults, "\n"))
	}
	return nil
}

// cutOff counts the writes that ended with their connection although they were
// passed on, or long after they were sent.
func (l *hostedLoad) cutOff(g *hostedGroup) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	cuts := l.cuts
	for _, id := range l.crossed {
		if g.ran[id] > 0 {
			cuts++
		}
	}
	return cuts
}

// acknowledgedSince counts the writes acknowledged after a time.
func (l *hostedLoad) acknowledgedSince(t time.Time) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	n := 0
	for _, at := range l.acks {
		if at.After(t) {
			n++
		}
	}
	return n
}

// goesOn waits, up to the bound of a change of primary, for writes that were
// acknowledged after a time.
func (l *hostedLoad) goesOn(since time.Time) error {
	return eventually(failoverBound, func() error {
		if l.acknowledgedSince(since) < 20 {
			return errors.New("writes do not go on")
		}
		return nil
	})
}
