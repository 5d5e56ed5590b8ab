package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Load is the clients of a case: sessions that send one operation after the other.
type Load struct {
	fleet    *Fleet
	database string
	key      string
	// pause is the mean pause between two operations of a session.
	pause time.Duration
	// next returns the text of the next operation.
	next func(session, number int) string
	mu   sync.Mutex
	// sentAt, answeredAt and outcomes are by the id of the query.
	sentAt     map[string]time.Time
	answeredAt map[string]time.Time
	outcomes   map[string]string
	ended      atomic.Bool
	running    sync.WaitGroup
}

var lastQuery atomic.Uint64

// startLoad starts sessions, which are spread evenly over the ready instances.
func startLoad(f *Fleet, database, key string, sessions int, pause time.Duration, next func(session, number int) string) *Load {
	l := &Load{fleet: f, database: database, key: key, pause: pause, next: next,
		sentAt: map[string]time.Time{}, answeredAt: map[string]time.Time{}, outcomes: map[string]string{}}
	for i := range sessions {
		l.running.Go(func() { l.run(i) })
	}
	return l
}

func (l *Load) stop() {
	l.ended.Store(true)
	l.running.Wait()
}

func (l *Load) run(session int) {
	random := rand.New(rand.NewSource(int64(session)))
	time.Sleep(time.Duration(random.Int63n(int64(l.pause) + 1)))
	number := 0
	for attempt := session; !l.ended.Load(); attempt++ {
		c, err := connect(l.fleet.nodes[attempt%len(l.fleet.nodes)].front, l.database, l.key)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for !l.ended.Load() {
			number++
			if err := l.step(c, l.next(session, number)); err != nil {
				break
			}
			time.Sleep(l.pause/2 + time.Duration(random.Int63n(int64(l.pause)+1)))
		}
		c.conn.Close()
	}
}

func (l *Load) step(c *caller, text string) error {
	id := fmt.Sprintf("%016x", lastQuery.Add(1))
	l.mu.Lock()
	l.sentAt[id] = time.Now()
	l.mu.Unlock()
	a, err := c.query(id, text)
	outcome := "no answer"
	switch {
	case err == nil && a.code == "" && a.mac == "mac."+id:
		outcome = "success"
	case err == nil:
		outcome = a.code
	}
	l.mu.Lock()
	l.outcomes[id] = outcome
	l.answeredAt[id] = time.Now()
	l.mu.Unlock()
	note("client", "%s %s -> %s", id, text, outcome)
	if err != nil {
		return err
	}
	if a.state != "I" {
		return errors.New("the operation ended outside I")
	}
	return nil
}

func (l *Load) sent(id string) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, known := l.sentAt[id]
	return at, known
}

// counts returns the number of answers of each kind.
func (l *Load) counts() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[string]int{}
	for _, o := range l.outcomes {
		counts[o]++
	}
	return counts
}

// caller is a session of a client.
type caller struct {
	conn   net.Conn
	reader *bufio.Reader
}

type answer struct {
	row, mac, code, state string
}

func connect(address, database, key string) (*caller, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &caller{conn: conn, reader: bufio.NewReader(conn)}
	a, err := c.exchange("STARTUP "+database+" "+key, 2*time.Second)
	if err == nil && a.code != "" {
		err = errors.New(a.code)
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return c, nil
}

func (c *caller) query(id, text string) (answer, error) {
	return c.exchange("QUERY "+id+" "+text, 6*time.Second)
}

func (c *caller) exchange(line string, limit time.Duration) (answer, error) {
	var a answer
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	if _, err := c.conn.Write([]byte(line + "\r\n")); err != nil {
		return a, err
	}
	for {
		text, err := c.reader.ReadString('\n')
		if err != nil {
			return a, err
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
			a.state, _, _ = strings.Cut(rest, " ")
			return a, nil
		}
	}
}
