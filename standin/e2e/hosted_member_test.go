package e2e

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// hostedGroup is a stand-in for one database of the users' platform: members
// that speak its line protocol and share one log. Replicas receive a commit at
// once and apply it later.
type hostedGroup struct {
	mutex   sync.Mutex
	name    string
	store   *hostedStore
	members []*hostedMember
	term    uint64
	log     []hostedWrite
	// tokens are those of the promotions that were carried out.
	tokens []uint64
	// promoteTime is how long a promotion takes.
	promotionTime time.Duration
	// ran counts how often each statement was run and kept.
	commitCounts map[string]int
}

type hostedWrite struct {
	term      uint64
	id        string
	key       string
	value     string
	committed time.Time
}

type hostedMember struct {
	group    *hostedGroup
	id       string
	listener net.Listener
	primary  bool
	dead     bool
	conns    map[net.Conn]bool
}

// applyDelay is how far replicas are behind.
const applyDelay = 30 * time.Millisecond

func newHostedGroup(t *testing.T, store *hostedStore, name string, members int) *hostedGroup {
	g := &hostedGroup{name: name, store: store, term: 1, promotionTime: 300 * time.Millisecond, commitCounts: map[string]int{}}
	for i := range members {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		m := &hostedMember{group: g, id: fmt.Sprintf("i-%s%d", name, i), listener: listener, primary: i == 0, conns: map[net.Conn]bool{}}
		g.members = append(g.members, m)
		m.register()
		go m.accept()
		t.Cleanup(m.kill)
	}
	return g
}

func (m *hostedMember) register() {
	role := "replica"
	if m.primary {
		role = "primary"
	}
	m.group.store.put("servers/"+m.id, map[string]any{
		"backend": m.group.name, "address": m.listener.Addr().String(), "zone": "z1", "slots": 8, "state": "ready",
		"dbRole": role, "born": 1,
	})
}

func (m *hostedMember) accept() {
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			return
		}
		m.group.mutex.Lock()
		m.conns[conn] = true
		m.group.mutex.Unlock()
		go m.serve(conn)
	}
}

// kill ends the member as a crash does.
func (m *hostedMember) kill() {
	m.listener.Close()
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	m.dead, m.primary = true, false
	for conn := range m.conns {
		conn.Close()
	}
}

// primary returns the member that leads, nil while there is none.
func (g *hostedGroup) primary() *hostedMember {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, m := range g.members {
		if m.primary {
			return m
		}
	}
	return nil
}

// promoteMember carries a promotion out unless its token is too low.
func (g *hostedGroup) promoteMember(id string, token uint64) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	i := slices.IndexFunc(g.members, func(m *hostedMember) bool { return m.id == id })
	if i < 0 || g.members[i].dead || len(g.tokens) > 0 && token < g.tokens[len(g.tokens)-1] {
		return http.StatusConflict
	}
	g.tokens = append(g.tokens, token)
	time.AfterFunc(g.promotionTime, func() { g.completePromotion(g.members[i]) })
	return http.StatusOK
}

func (g *hostedGroup) completePromotion(next *hostedMember) {
	g.mutex.Lock()
	for _, m := range g.members {
		m.primary = m == next
	}
	g.term++
	g.mutex.Unlock()
	for _, m := range g.members {
		if !m.dead {
			m.register()
		}
	}
}

// hostedConn is one connection to a member.
type hostedConn struct {
	m         *hostedMember
	state     string
	readWrite bool
	term      uint64
	writes    []hostedWrite
	prepared  map[string]string
}

func (m *hostedMember) serve(conn net.Conn) {
	defer conn.Close()
	c := &hostedConn{m: m, state: "I", prepared: map[string]string{}}
	lines := bufio.NewReader(conn)
	for started := false; ; {
		line, err := lines.ReadString('\n')
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		var answer []string
		switch {
		case word == "TERMINATE":
			return
		case !started && word == "STARTUP":
			fields := strings.Fields(rest)
			if len(fields) < 2 || fields[0] != m.group.name || len(fields) > 2 && fields[2] != m.id {
				_, _ = conn.Write([]byte("ERROR MISROUTED " + m.id + "\r\n"))
				return
			}
			started = true
		case word == "QUERY":
			id, text, _ := strings.Cut(rest, " ")
			answer = c.query(id, text)
		default:
			answer = []string{"ERROR MALFORMED"}
		}
		answer = append(answer, "READY "+c.state+" "+c.position())
		if _, err := conn.Write([]byte(strings.Join(answer, "\r\n") + "\r\n")); err != nil {
			return
		}
	}
}

// visible is the part of the log that the member has applied. The caller holds
// the lock.
func (m *hostedMember) appliedLog() []hostedWrite {
	log := m.group.log
	if m.primary {
		return log
	}
	n := 0
	for n < len(log) && time.Since(log[n].committed) > applyDelay {
		n++
	}
	return log[:n]
}

func (c *hostedConn) position() string {
	g := c.m.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return fmt.Sprintf("%d.%d", g.term, len(c.m.appliedLog()))
}

func (c *hostedConn) query(id, text string) []string {
	g := c.m.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if rest, isWait := strings.CutPrefix(text, "WAITLSN "); isWait {
		position, statement, _ := strings.Cut(rest, " ")
		_, number, _ := strings.Cut(position, ".")
		if n, err := strconv.Atoi(number); err != nil || n > len(c.m.appliedLog()) {
			return c.fail("LAGGING")
		}
		text = statement
	}
	word, arguments, _ := strings.Cut(text, " ")
	if word == "EXECUTE" {
		name, parameters, _ := strings.Cut(arguments, " ")
		kind, known := c.prepared[name]
		if !known {
			return c.fail("NOSUCHSTMT")
		}
		word, arguments = kind, parameters
	}
	primaryChanged := c.state == "T" && c.readWrite && (!c.m.primary || c.term != g.term)
	switch word {
	case "BEGIN":
		return c.beginTransaction(arguments == "READ")
	case "COMMIT", "ROLLBACK":
		return c.endTransaction(id, word == "COMMIT", primaryChanged)
	case "READ":
		if primaryChanged {
			return c.fail("READONLY " + c.m.id)
		}
		return []string{"DATAROW " + c.read(arguments), "COMPLETE mac." + id}
	case "WRITE":
		if primaryChanged || !c.m.primary {
			return c.fail("READONLY " + c.m.id)
		}
		return c.write(id, arguments)
	case "PREPARE":
		name, definition, _ := strings.Cut(arguments, " ")
		c.prepared[name], _, _ = strings.Cut(definition, " ")
	case "RESET":
		clear(c.prepared)
	case "STATUS", "PAUSE", "STEPDOWN":
		role := "replica"
		if c.m.primary {
			role = "primary"
		}
		return []string{fmt.Sprintf("DATAROW %s %d %d.%d 0 0 0 1", role, g.term, g.term, len(g.log)), "COMPLETE -"}
	case "SET", "DEALLOC":
	default:
		return c.fail("MALFORMED")
	}
	return []string{"COMPLETE -"}
}

func (c *hostedConn) fail(code string) []string {
	if c.state == "T" {
		c.state = "E"
	}
	return []string{"ERROR " + code}
}

func (c *hostedConn) beginTransaction(readOnly bool) []string {
	if !readOnly && !c.m.primary {
		return []string{"ERROR READONLY " + c.m.id}
	}
	c.state, c.readWrite, c.term, c.writes = "T", !readOnly, c.m.group.term, nil
	return []string{"COMPLETE -"}
}

func (c *hostedConn) endTransaction(id string, commit, primaryChanged bool) []string {
	failed := c.state == "E"
	c.state = "I"
	writes := c.writes
	c.writes = nil
	switch {
	case !commit || failed:
		return []string{"COMPLETE -"}
	case primaryChanged && len(writes) > 0:
		return []string{"ERROR READONLY " + c.m.id}
	}
	c.commit(writes...)
	return []string{"COMPLETE mac." + id}
}

func (c *hostedConn) write(id, arguments string) []string {
	key, value, _ := strings.Cut(arguments, " ")
	w := hostedWrite{term: c.m.group.term, id: id, key: key, value: value}
	if c.state == "T" {
		c.writes = append(c.writes, w)
	} else {
		c.commit(w)
	}
	return []string{"COMPLETE mac." + id}
}

func (c *hostedConn) commit(writes ...hostedWrite) {
	g := c.m.group
	for _, w := range writes {
		w.committed = time.Now()
		g.log = append(g.log, w)
		g.commitCounts[w.id]++
	}
}

// read returns the last applied value of the key, or that of the transaction.
func (c *hostedConn) read(key string) string {
	for _, log := range [][]hostedWrite{c.writes, c.m.appliedLog()} {
		for i := len(log) - 1; i >= 0; i-- {
			if log[i].key == key {
				return log[i].value
			}
		}
	}
	return "none"
}
