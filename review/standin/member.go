package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// group is a stand-in for a database service of the platform: one primary and its
// replicas. A replica that is alive and not deaf receives each commit at once and applies
// it after applyLag.
type group struct {
	mutex   sync.Mutex
	name    string
	store   *store
	record  *record
	members []*member
	token   uint64
	// promoteTime is how long a promote takes.
	promoteTime time.Duration
	applyLag    time.Duration
	// work returns how long a read or write occupies a slot.
	work func(kind string) time.Duration
	// fail returns the code with which the member answers a query without running it,
	// "" if it runs it.
	fail func(m *member, id, text string) string
	// hook is called with each run of a client's read, write or commit. It may be nil.
	hook func(run)
	macs int
}

// entry is a committed write.
type entry struct {
	id, key, data string
	at            time.Time
}

// run is a read, write or commit that a member has run.
type run struct {
	at               time.Time
	member, tenant   string
	id, text, values string
	mac              string
	rows             []string
	// log holds the ids of the commits that the member had applied.
	log []string
}

// member is one member of a group. It runs in the process of the test.
type member struct {
	group    *group
	id       string
	slots    chan struct{}
	listener net.Listener
	// log is what the member has received, term the newest term that it knows.
	log     []entry
	term    uint64
	primary bool
	dead    bool
	// deaf is set while a replica receives nothing, or while a primary is partitioned
	// from its replicas.
	deaf     bool
	conns    map[net.Conn]bool
	maxConns int
	sequence int
}

func newGroup(s *store, r *record, name string, members, slots, maxConns int) (*group, error) {
	g := &group{
		name: name, store: s, record: r, promoteTime: time.Second, applyLag: 60 * time.Millisecond,
		work: func(string) time.Duration { return 8 * time.Millisecond },
		fail: func(*member, string, string) string { return "" },
	}
	for i := range members {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		m := &member{
			group: g, id: fmt.Sprintf("i-%s-%d", name, i), slots: make(chan struct{}, slots), listener: listener,
			primary: i == 0, term: 1, conns: map[net.Conn]bool{}, maxConns: maxConns,
		}
		g.members = append(g.members, m)
		m.announceAlive()
		go m.accept()
	}
	go g.heartbeat()
	return g, nil
}

// heartbeat writes the members' entries about every heartbeatMs.
func (g *group) heartbeat() {
	for range time.Tick(1200 * time.Millisecond) {
		for _, m := range g.members {
			m.announceAlive()
		}
	}
}

// announceAlive writes the member's entry to the store if it is alive.
func (m *member) announceAlive() {
	m.group.mutex.Lock()
	if m.dead {
		m.group.mutex.Unlock()
		return
	}
	m.sequence++
	sequence := m.sequence
	role := "replica"
	if m.primary {
		role = "primary"
	}
	m.group.mutex.Unlock()
	m.group.store.put("servers/"+m.id, map[string]any{
		"backend": m.group.name, "address": m.listener.Addr().String(), "zone": "z1", "configVersion": 1, "slots": cap(m.slots),
		"state": "ready", "warmupLeftMs": 0, "seqNum": sequence, "dbRole": role, "born": 1_700_000_000_000,
	})
}

func (m *member) accept() {
	listener := m.listener
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		m.group.mutex.Lock()
		full := len(m.conns) >= m.maxConns
		if !full {
			m.conns[conn] = true
		}
		m.group.mutex.Unlock()
		if full {
			_, _ = conn.Write([]byte("ERROR CONNLIMIT " + m.id + "\r\n"))
			conn.Close()
			continue
		}
		go m.serve(conn)
	}
}

// promoteMember starts a promote and returns the HTTP status.
func (g *group) promoteMember(id string, token uint64) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, m := range g.members {
		if m.id != id || m.dead || token < g.token {
			continue
		}
		g.token = token
		if !m.primary {
			time.AfterFunc(g.promoteTime, func() { g.lead(m) })
		}
		return http.StatusOK
	}
	return http.StatusConflict
}

// lead makes the member the primary of the next term, with what it has received. The old
// primary loses leadership at that moment, and the replicas in contact follow.
func (g *group) lead(next *member) {
	g.mutex.Lock()
	term := uint64(0)
	for _, m := range g.members {
		term = max(term, m.term)
		m.primary = false
	}
	next.primary, next.term = true, term+1
	g.record.add("member %s leads term %d with %d commits", next.id, next.term, len(next.log))
	g.followPrimary()
	members := slices.Clone(g.members)
	g.mutex.Unlock()
	for _, m := range members {
		m.announceAlive()
	}
}

// primary returns the primary that is alive, nil if there is none. The caller holds the
// mutex.
func (g *group) primary() *member {
	for _, m := range g.members {
		if m.primary && !m.dead {
			return m
		}
	}
	return nil
}

// followPrimary gives the replicas in contact with the primary its log; what they had
// beyond it is rolled back. The caller holds the mutex.
func (g *group) followPrimary() {
	p := g.primary()
	if p == nil || p.deaf {
		return
	}
	for _, m := range g.members {
		if m == p || m.dead || m.deaf {
			continue
		}
		m.log, m.term = slices.Clone(p.log), p.term
	}
}

// commit appends a write to the primary's log and sends it to the replicas in contact. The
// caller holds the mutex.
func (m *member) commit(w entry) {
	m.log = append(m.log, w)
	if m.deaf {
		return
	}
	for _, other := range m.group.members {
		if other != m && !other.dead && !other.deaf {
			other.log = append(other.log, w)
		}
	}
}

// setDeaf cuts the member off from the other members, or connects it again.
func (m *member) setDeaf(deaf bool) {
	g := m.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m.deaf = deaf
	g.record.add("member %s receives and sends no commits: %v", m.id, deaf)
	g.followPrimary()
}

// crash ends the member's process: its connections and its listener are closed. Its entry
// stays until it is removed after three silent heartbeat intervals.
func (m *member) crash() {
	m.listener.Close()
	g := m.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m.dead = true
	g.record.add("member %s crashes with %d commits of term %d", m.id, len(m.log), m.term)
	for conn := range m.conns {
		conn.Close()
	}
}

// restart starts the member again at its address, with its log, as a replica if another
// member was promoted.
func (m *member) restart() error {
	listener, err := net.Listen("tcp4", m.listener.Addr().String())
	if err != nil {
		return err
	}
	g := m.group
	g.mutex.Lock()
	m.listener, m.dead = listener, false
	g.record.add("member %s is back with %d commits of term %d", m.id, len(m.log), m.term)
	g.followPrimary()
	g.mutex.Unlock()
	m.announceAlive()
	go m.accept()
	return nil
}

// memberConn is a connection to a member.
type memberConn struct {
	member *member
	tenant string
	// state is "I", "T" or "E". plain is set in a transaction begun without READ, and
	// term is the group's term at that time.
	state    string
	plain    bool
	term     uint64
	writes   []entry
	values   map[string]string
	prepared map[string]string
}

func (m *member) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		m.group.mutex.Lock()
		delete(m.conns, conn)
		m.group.mutex.Unlock()
	}()
	c := &memberConn{member: m, state: "I", values: map[string]string{}, prepared: map[string]string{}}
	reader := bufio.NewReaderSize(conn, 1<<16)
	for started := false; ; {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		var answer []string
		switch {
		case word == "TERMINATE":
			return
		case !started:
			fields := strings.Fields(rest)
			if word != "STARTUP" || len(fields) < 2 || fields[0] != m.group.name || len(fields) > 2 && fields[2] != m.id {
				_, _ = conn.Write([]byte("ERROR MISROUTED " + m.id + "\r\n"))
				return
			}
			started, c.tenant = true, fields[1]
			time.Sleep(27 * time.Millisecond)
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

// applied returns the part of the log that the member has applied. The caller holds
// the mutex.
func (m *member) applied() []entry {
	log := m.log
	if m.primary {
		return log
	}
	n := 0
	for n < len(log) && time.Since(log[n].at) > m.group.applyLag {
		n++
	}
	return log[:n]
}

func (c *memberConn) position() string {
	g := c.member.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return fmt.Sprintf("%d.%d", c.member.term, len(c.member.applied()))
}

// query runs a query and returns the lines of its answer without READY.
func (c *memberConn) query(id, text string) []string {
	m, g := c.member, c.member.group
	if code := g.fail(m, id, text); code != "" {
		g.record.add("member %s tenant %s id %s: %q answered %s, not run", m.id, c.tenant, id, text, code)
		return c.refuse(code)
	}
	statement := text
	if rest, waits := strings.CutPrefix(text, "WAITLSN "); waits {
		var position string
		position, statement, _ = strings.Cut(rest, " ")
		if !c.has(position) {
			return c.refuse("LAGGING")
		}
	}
	word, arguments, _ := strings.Cut(statement, " ")
	if c.state == "E" && word != "COMMIT" && word != "ROLLBACK" {
		return []string{"ERROR MALFORMED"}
	}
	kind := word
	if word == "EXECUTE" {
		name, parameters, _ := strings.Cut(arguments, " ")
		definition, known := c.prepared[name]
		if !known {
			return c.refuse("NOSUCHSTMT")
		}
		kind, _, _ = strings.Cut(definition, " ")
		arguments = parameters
	}
	switch kind {
	case "READ", "WRITE":
		return c.statement(id, statement, kind, arguments)
	case "COMMIT", "ROLLBACK":
		return c.end(id, kind == "COMMIT")
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	switch kind {
	case "BEGIN":
		if arguments != "READ" && !m.primary {
			return c.refuse("READONLY " + m.id)
		}
		c.state, c.plain, c.term, c.writes = "T", arguments != "READ", m.term, nil
	case "SET":
		name, value, _ := strings.Cut(arguments, " ")
		c.values[name] = value
	case "PREPARE":
		name, definition, _ := strings.Cut(arguments, " ")
		c.prepared[name] = definition
	case "DEALLOC":
		delete(c.prepared, arguments)
	case "RESET":
		clear(c.values)
		clear(c.prepared)
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		if len(m.slots) == cap(m.slots) {
			return []string{"ERROR BUSY"}
		}
		return []string{"DATAROW " + m.status(), "COMPLETE -"}
	default:
		return c.refuse("MALFORMED")
	}
	return []string{"COMPLETE -"}
}

// status returns the row of STATUS. The caller holds the mutex.
func (m *member) status() string {
	role := "replica"
	if m.primary {
		role = "primary"
	}
	return fmt.Sprintf("%s %d %d.%d 0 0 %d %d", role, m.term, m.term, len(m.log), len(m.slots), len(m.conns))
}

// has reports whether the member's log contains the position.
func (c *memberConn) has(position string) bool {
	g := c.member.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	text, number, _ := strings.Cut(position, ".")
	term, err := strconv.ParseUint(text, 10, 64)
	n, err2 := strconv.Atoi(number)
	return err == nil && err2 == nil && term <= c.member.term && n <= len(c.member.applied())
}

// refuse returns an error answer and marks an open transaction as failed.
func (c *memberConn) refuse(code string) []string {
	if c.state == "T" {
		c.state = "E"
	}
	return []string{"ERROR " + code}
}

// leadLost reports whether the member has lost the lead since the plain transaction
// began. The caller holds the mutex.
func (c *memberConn) leadLost() bool {
	return c.state == "T" && c.plain && (!c.member.primary || c.term != c.member.term)
}

// statement runs a read or a write in one of the member's slots.
func (c *memberConn) statement(id, text, kind, arguments string) []string {
	m, g := c.member, c.member.group
	m.slots <- struct{}{}
	defer func() { <-m.slots }()
	time.Sleep(g.work(kind))
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if m.dead {
		return nil
	}
	if c.leadLost() || kind == "WRITE" && !m.primary {
		return c.refuse("READONLY " + m.id)
	}
	key, data, _ := strings.Cut(arguments, " ")
	var rows []string
	if kind == "READ" {
		rows = []string{c.read(key)}
	} else {
		w := entry{id: id, key: key, data: data, at: time.Now()}
		if c.state == "T" {
			c.writes = append(c.writes, w)
		} else {
			m.commit(w)
		}
	}
	return c.ran(run{id: id, text: text, rows: rows})
}

// ran records a run and returns its answer. The caller holds the mutex.
func (c *memberConn) ran(r run) []string {
	g := c.member.group
	g.macs++
	r.at, r.member, r.tenant, r.values = time.Now(), c.member.id, c.tenant, fmt.Sprint(c.values)
	r.mac = fmt.Sprintf("m%d.%s", g.macs, r.id)
	for _, e := range c.member.applied() {
		r.log = append(r.log, e.id)
	}
	if g.hook != nil {
		g.hook(r)
	}
	var answer []string
	for _, row := range r.rows {
		answer = append(answer, "DATAROW "+row)
	}
	return append(answer, "COMPLETE "+r.mac)
}

// read returns the value of a key as the transaction sees it. The caller holds the
// mutex.
func (c *memberConn) read(key string) string {
	for _, log := range [][]entry{c.writes, c.member.applied()} {
		for i := len(log) - 1; i >= 0; i-- {
			if log[i].key == key {
				return log[i].data
			}
		}
	}
	return "none"
}

// end ends the transaction.
func (c *memberConn) end(id string, commit bool) []string {
	g := c.member.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	lost, failed, writes := c.leadLost(), c.state == "E", c.writes
	c.state, c.writes = "I", nil
	switch {
	case !commit || failed:
		return []string{"COMPLETE -"}
	case lost && len(writes) > 0:
		return []string{"ERROR READONLY " + c.member.id}
	}
	for _, w := range writes {
		w.at = time.Now()
		c.member.commit(w)
	}
	return c.ran(run{id: id, text: "COMMIT"})
}
