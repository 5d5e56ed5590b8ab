package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Group is a stand-in of one service: a primary and its replicas.
type Group struct {
	mu      sync.Mutex
	name    string
	store   *Store
	members []*Member
	term    uint64
	primary *Member
	// syncReplicas is 1 if a commit is acknowledged once one replica has received it.
	syncReplicas int
	// token is the highest generation number that a promotion has carried.
	token     uint64
	promoteIn time.Duration
	// arrived is called with the group's mutex held for each request of a client that a
	// member has received and runs.
	arrived func(m *Member, tenant, id, text string, first bool)
	// promoted is called with the group's mutex held when a member becomes the primary.
	promoted func(m *Member)
}

const (
	heartbeat   = 1200 * time.Millisecond
	linkDelay   = time.Millisecond
	applyDelay  = 60 * time.Millisecond
	workTime    = 2 * time.Millisecond
	memberSlots = 8
	maxConns    = 77
)

// logEntry is a committed statement. Statements of one commit have one number.
type logEntry struct {
	term uint64
	// writes holds the ids of the statements and the values that they have written.
	writes []write
	at     time.Time
}

type write struct{ id, key, value string }

// Member is a member of a group.
type Member struct {
	group    *Group
	id       string
	zone     string
	address  string
	listener net.Listener
	born     time.Time
	// log is what the member has received; the first applied entries can be read.
	log     []logEntry
	applied int
	logTerm uint64
	seq     int
	state   string
	// cutFromStore is set while the member's messages do not reach the store, deaf while
	// it receives nothing from the primary, paused after PAUSE.
	cutFromStore, deaf, paused bool
	// loseStatusAnswers is how many answers to STATUS are lost from now on.
	loseStatusAnswers int
	running           bool
	lastBeat          time.Time
	conns             map[net.Conn]bool
	busy              int
	entry             string
}

func newGroup(store *Store, name string, zones []string) (*Group, error) {
	g := &Group{name: name, store: store, term: 3, promoteIn: time.Second}
	for i, zone := range zones {
		m, err := g.add(fmt.Sprintf("i-%s%02d", name, i), zone)
		if err != nil {
			return nil, err
		}
		if i == 0 {
			g.primary = m
		}
	}
	for _, m := range g.members {
		m.logTerm = g.term
		m.beat()
	}
	go g.beats()
	return g, nil
}

func (g *Group) add(id, zone string) (*Member, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &Member{group: g, id: id, zone: zone, listener: listener, address: listener.Addr().String(), born: time.Now(),
		state: "ready", running: true, conns: map[net.Conn]bool{}}
	g.members = append(g.members, m)
	go m.accept()
	return m, nil
}

// beats lets each member announce itself, and removes the entries of silent ones.
func (g *Group) beats() {
	for range time.Tick(100 * time.Millisecond) {
		g.mu.Lock()
		members := append([]*Member(nil), g.members...)
		g.mu.Unlock()
		for _, m := range members {
			m.tick()
		}
	}
}

func (m *Member) tick() {
	m.group.mu.Lock()
	since := time.Since(m.lastBeat)
	due := m.running && !m.cutFromStore && since >= heartbeat
	lapsed := m.entry != "" && since >= 3*heartbeat && !due
	if lapsed {
		m.entry = ""
	}
	m.group.mu.Unlock()
	if due {
		m.beat()
	}
	if lapsed {
		m.group.store.remove("servers/" + m.id)
		note("store", "the entry of %s is removed after three heartbeat intervals of silence", m.id)
	}
}

// beat writes the member's entry, unless the member is cut off from the store. The entry
// changes when more than seqNum changes. It returns when the store has accepted it.
func (m *Member) beat() time.Time {
	m.group.mu.Lock()
	if !m.running || m.cutFromStore {
		m.group.mu.Unlock()
		return time.Time{}
	}
	role := "replica"
	if m.group.primary == m {
		role = "primary"
	}
	m.lastBeat = time.Now()
	m.seq++
	content := m.state + role
	changed := content != m.entry
	m.entry = content
	value := map[string]any{
		"backend": m.group.name, "address": m.address, "zone": m.zone, "configVersion": "v1", "slots": memberSlots, "state": m.state,
		"warmupLeftMs": 0, "dbRole": role, "seqNum": m.seq, "born": m.born.UnixMilli(),
	}
	m.group.mu.Unlock()
	if !changed {
		return time.Time{}
	}
	note("member", "%s writes its entry: %s, %s", m.id, value["state"], role)
	return m.group.store.put("servers/"+m.id, value)
}

func (m *Member) accept() {
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			return
		}
		m.group.mu.Lock()
		if !m.running {
			conn.Close()
		}
		m.conns[conn] = true
		m.group.mu.Unlock()
		go m.serve(conn)
	}
}

// crash ends the member's process: nothing is announced any more.
func (m *Member) crash() {
	m.listener.Close()
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.running = false
	for conn := range m.conns {
		conn.Close()
	}
}

// leave ends the member's process after a planned shutdown.
func (m *Member) leave() {
	m.crash()
	m.group.mu.Lock()
	m.entry = ""
	m.group.mu.Unlock()
	m.group.store.remove("servers/" + m.id)
}

// session is a connection to a member.
type session struct {
	m      *Member
	tenant string
	state  string
	plain  bool
	term   uint64
	writes []write
	first  bool
	values map[string]string
	named  map[string]string
}

func (m *Member) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		m.group.mu.Lock()
		delete(m.conns, conn)
		m.group.mu.Unlock()
	}()
	c := &session{m: m, state: "I", values: map[string]string{}, named: map[string]string{}}
	lines := bufio.NewReader(conn)
	started := false
	for {
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
			f := strings.Fields(rest)
			if len(f) < 2 || f[0] != m.group.name || len(f) > 2 && f[2] != m.id {
				_, _ = conn.Write([]byte("ERROR MISROUTED " + m.id + "\r\n"))
				return
			}
			started, c.tenant = true, f[1]
		case started && word == "QUERY":
			id, text, _ := strings.Cut(rest, " ")
			answer = c.query(id, text)
			if text == "STATUS" && m.losesAnswer() {
				note("network", "the answer of %s to STATUS is lost", m.id)
				continue
			}
		default:
			answer = []string{"ERROR MALFORMED"}
		}
		m.group.mu.Lock()
		running := m.running
		answer = append(answer, "READY "+c.state+" "+m.position())
		m.group.mu.Unlock()
		if !running {
			return
		}
		if _, err := conn.Write([]byte(strings.Join(answer, "\r\n") + "\r\n")); err != nil {
			return
		}
	}
}

// position returns the position that the member has applied.
func (m *Member) position() string {
	n := m.applied
	if m.group.primary == m {
		n = len(m.log)
	}
	return fmt.Sprintf("%d.%d", m.logTerm, n)
}

func (m *Member) covers(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	t, _ := strconv.ParseUint(term, 10, 64)
	n, _ := strconv.Atoi(number)
	applied := m.applied
	if m.group.primary == m {
		applied = len(m.log)
	}
	return m.logTerm > t || m.logTerm == t && applied >= n
}

func (c *session) fail(code string) []string {
	if c.state == "T" {
		c.state = "E"
	}
	return []string{"ERROR " + code}
}

func (c *session) query(id, text string) []string {
	g := c.m.group
	if rest, found := strings.CutPrefix(text, "WAITLSN "); found {
		position, statement, _ := strings.Cut(rest, " ")
		g.mu.Lock()
		covered := c.m.covers(position)
		g.mu.Unlock()
		if !covered {
			return c.fail("LAGGING")
		}
		text = statement
	}
	word, arguments, _ := strings.Cut(text, " ")
	if c.state == "E" && word != "COMMIT" && word != "ROLLBACK" {
		return []string{"ERROR MALFORMED"}
	}
	if word == "EXECUTE" {
		name, parameters, _ := strings.Cut(arguments, " ")
		kind, known := c.named[name]
		if !known {
			return c.fail("NOSUCHSTMT")
		}
		word, arguments = kind, parameters
	}
	switch word {
	case "READ", "WRITE", "COMMIT":
		return c.run(id, word, arguments, text)
	case "BEGIN":
		return c.begin(arguments == "READ")
	case "ROLLBACK":
		c.state, c.writes = "I", nil
	case "SET":
		name, value, _ := strings.Cut(arguments, " ")
		c.values[name] = value
	case "PREPARE":
		name, definition, _ := strings.Cut(arguments, " ")
		c.named[name], _, _ = strings.Cut(definition, " ")
	case "DEALLOC":
		delete(c.named, arguments)
	case "RESET":
		c.values, c.named = map[string]string{}, map[string]string{}
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return c.command(word, arguments)
	default:
		return []string{"ERROR MALFORMED"}
	}
	return []string{"COMPLETE -"}
}

func (c *session) begin(readOnly bool) []string {
	g := c.m.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if !readOnly && g.primary != c.m {
		return []string{"ERROR READONLY " + c.m.id}
	}
	c.state, c.plain, c.term, c.writes, c.first = "T", !readOnly, g.term, nil, true
	return []string{"COMPLETE -"}
}

// run runs a read, a write or a commit, which takes a slot for workTime.
func (c *session) run(id, word, arguments, text string) []string {
	g, m := c.m.group, c.m
	g.mu.Lock()
	if m.busy >= 4*memberSlots {
		g.mu.Unlock()
		return c.fail("BUSY")
	}
	m.busy++
	if id != "-" && g.arrived != nil {
		g.arrived(m, c.tenant, id, text, c.state == "I" || c.first)
	}
	c.first = false
	g.mu.Unlock()
	time.Sleep(workTime)
	g.mu.Lock()
	defer func() {
		m.busy--
		g.mu.Unlock()
	}()
	deposed := c.state == "T" && c.plain && (g.primary != m || g.term != c.term)
	key, value, _ := strings.Cut(arguments, " ")
	switch word {
	case "READ":
		if deposed {
			return c.fail("READONLY " + m.id)
		}
		return []string{"DATAROW " + m.read(key, c.writes), "COMPLETE mac." + id}
	case "WRITE":
		if deposed || g.primary != m {
			return c.fail("READONLY " + m.id)
		}
		c.writes = append(c.writes, write{id, key, value})
		if c.state == "T" {
			return []string{"COMPLETE mac." + id}
		}
	case "COMMIT":
		failed := c.state == "E"
		c.state = "I"
		switch {
		case failed:
			c.writes = nil
			return []string{"COMPLETE -"}
		case deposed && len(c.writes) > 0:
			c.writes = nil
			return []string{"ERROR READONLY " + m.id}
		case len(c.writes) == 0:
			return []string{"COMPLETE mac." + id}
		}
	}
	writes := c.writes
	c.writes = nil
	if !m.commit(writes) {
		return []string{"ERROR TIMEOUT"}
	}
	return []string{"COMPLETE mac." + id}
}

func (m *Member) read(key string, own []write) string {
	for i := len(own) - 1; i >= 0; i-- {
		if own[i].key == key {
			return own[i].value
		}
	}
	n := m.applied
	if m.group.primary == m {
		n = len(m.log)
	}
	for i := n - 1; i >= 0; i-- {
		for _, w := range m.log[i].writes {
			if w.key == key {
				return w.value
			}
		}
	}
	return "none"
}

// commit appends the writes to the log and sends them to the replicas. With syncReplicas
// it returns when one replica has received them, and false if none did in time.
func (m *Member) commit(writes []write) bool {
	g := m.group
	e := logEntry{term: g.term, writes: writes, at: time.Now()}
	m.log = append(m.log, e)
	m.applied = len(m.log)
	number, term := len(m.log), g.term
	received := make(chan struct{}, len(g.members))
	for _, r := range g.members {
		if r != m {
			time.AfterFunc(linkDelay, func() {
				g.mu.Lock()
				defer g.mu.Unlock()
				// What was sent before a crash or a step-down still arrives.
				if g.term == term && r.receive(m, number) {
					received <- struct{}{}
				}
			})
		}
	}
	if g.syncReplicas == 0 {
		return true
	}
	g.mu.Unlock()
	defer g.mu.Lock()
	select {
	case <-received:
		return true
	case <-time.After(3 * time.Second):
		return false
	}
}

// receive copies the primary's log up to a number, and reports whether the replica has it.
func (r *Member) receive(from *Member, number int) bool {
	if !r.running || r.deaf || r.paused {
		return false
	}
	for len(r.log) < number {
		r.log = append(r.log, from.log[len(r.log)])
	}
	r.logTerm = r.group.term
	n := len(r.log)
	time.AfterFunc(applyDelay, func() {
		r.group.mu.Lock()
		defer r.group.mu.Unlock()
		if n <= len(r.log) {
			r.applied = max(r.applied, n)
		}
	})
	return true
}

func (c *session) command(word, argument string) []string {
	g, m := c.m.group, c.m
	g.mu.Lock()
	defer g.mu.Unlock()
	term, _ := strconv.ParseUint(argument, 10, 64)
	switch {
	case word == "PAUSE" && g.primary != m && term > g.term:
		m.paused = true
	case word == "RESUME":
		m.paused = false
	case word == "STEPDOWN" && g.primary == m && term > g.term:
		g.primary = nil
		go m.beat()
	}
	role := "replica"
	if g.primary == m {
		role = "primary"
	}
	note("member", "%s answers %s %s: %s, received %d.%d", m.id, word, argument, role, m.logTerm, len(m.log))
	return []string{fmt.Sprintf("DATAROW %s %d %d.%d 0 0 %d %d", role, g.term, m.logTerm, len(m.log), m.busy, len(m.conns)), "COMPLETE -"}
}

// losesAnswer reports whether the answer to a STATUS is lost.
func (m *Member) losesAnswer() bool {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if m.loseStatusAnswers == 0 {
		return false
	}
	m.loseStatusAnswers--
	return true
}

// promote carries out POST /promotion.
func (g *Group) promote(_, id, holder string, token uint64) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.id != id || !m.running || token < g.token {
			continue
		}
		g.token = token
		note("platform", "promotion of %s by %s with number %d: 200", id, holder, token)
		if g.primary != m {
			time.AfterFunc(g.promoteIn, func() { g.lead(m) })
		}
		return http.StatusOK
	}
	note("platform", "promotion of %s by %s with number %d: 409", id, holder, token)
	return http.StatusConflict
}

// lead makes a member the primary of the next term, with what it has received.
func (g *Group) lead(m *Member) {
	g.mu.Lock()
	if !m.running {
		g.mu.Unlock()
		return
	}
	g.term++
	g.primary = m
	m.logTerm, m.applied, m.paused = g.term, len(m.log), false
	for _, r := range g.members {
		if r == m {
			continue
		}
		r.paused = false
		if len(r.log) > len(m.log) {
			r.log = r.log[:len(m.log)]
			r.applied = min(r.applied, len(r.log))
		}
	}
	note("member", "%s leads term %d with %d commits", m.id, g.term, len(m.log))
	if g.promoted != nil {
		g.promoted(m)
	}
	members := append([]*Member(nil), g.members...)
	g.mu.Unlock()
	for _, r := range members {
		r.beat()
	}
}
