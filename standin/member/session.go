package member

import (
	"encoding/binary"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/lib/netloop"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/standin/sqlsubset"
)

const (
	// secretLength is the length of a cancel key in bytes.
	secretLength = 4
	// maxBufferedBytes limits the bytes read while a statement runs; above it
	// the session stops reading.
	maxBufferedBytes = 1 << 20
	// serverVersion is the PostgreSQL version that the member reports.
	serverVersion = "17.0"
)

// session is one PostgreSQL connection.
type session struct {
	m       *Member
	conn    *netloop.Conn
	id      uint32
	secret  [secretLength]byte
	state   chart.State
	txState chart.State
	timer   timer
	account string
	out     []byte

	tx transaction
	// current is the statement that waits, runs or sends its rows.
	current *execution
	// remaining holds the statements of a simple query that have not run yet;
	// inSimpleQuery is set until the query ends.
	remaining     []*sqlsubset.Statement
	inSimpleQuery bool
	// skipping drops messages up to the next Sync after an error.
	skipping   bool
	statements map[string]*prepared
	portals    map[string]*execution
	settings   map[string]string
	// commitPosition is the position of the last commit until it is reported
	// with ReadyForQuery.
	commitPosition core.Position
	// pendingError is set by an action of the transaction chart for its caller.
	pendingError *SQLError
	// processing prevents a nested call of process.
	processing bool
}

func (m *Member) acceptSession(c *netloop.Conn) netloop.Handler {
	m.nextSession++
	s := &session{m: m, conn: c, id: uint32(m.nextSession)}
	s.state = m.connection.table.Initial()
	s.txState = m.transaction.table.Initial()
	s.timer.Value = s
	s.statements = map[string]*prepared{}
	s.portals = map[string]*execution{}
	s.settings = map[string]string{}
	// The key only has to differ between connections; it is not a secret.
	binary.BigEndian.PutUint32(s.secret[:], uint32(time.Now().UnixNano()))
	m.sessions[s.id] = s
	s.armStateTimer()
	return s
}

func (s *session) fire(event chart.Event) {
	before := s.state
	s.m.connection.table.Fire(s, &s.state, event)
	if s.state != before {
		s.armStateTimer()
	}
}

// armStateTimer arms the timer of the current state. It runs after the actions
// of a transition, which may have left the new state already.
func (s *session) armStateTimer() {
	table := s.m.connection.table
	if table.Final(s.state) {
		s.m.timers.Disarm(&s.timer)
		return
	}
	d := table.Timeout(s.state)
	if s.state == s.m.connection.running {
		d += s.current.sleep
	}
	s.m.arm(&s.timer, d)
}

func (s *session) timedOut() {
	s.fire(s.m.connection.timedOut)
	s.process()
}

// Opened implements netloop.Handler; accepted connections are open already.
func (s *session) Opened(*netloop.Conn) {}

// Data implements netloop.Handler.
func (s *session) Data(c *netloop.Conn) {
	s.process()
	if s.state != s.m.connection.ready && len(c.Buffered()) > maxBufferedBytes {
		c.PauseRead()
	}
}

// Flushed implements netloop.Handler.
func (s *session) Flushed(*netloop.Conn) {
	s.fire(s.m.connection.drained)
	s.process()
}

// Closed implements netloop.Handler.
func (s *session) Closed(*netloop.Conn, error) {
	s.fire(s.m.connection.closed)
	if s.tx.id != 0 {
		s.fireTx(s.m.transaction.rollback)
	}
	delete(s.m.sessions, s.id)
	s.m.timers.Disarm(&s.timer)
}

// process handles buffered input until it is incomplete or a statement has to
// wait.
func (s *session) process() {
	if s.processing {
		return
	}
	s.processing = true
	for s.step() {
	}
	s.processing = false
	if s.state == s.m.connection.ready {
		s.conn.ResumeRead()
	}
}

func (s *session) isClosed() bool {
	return s.m.connection.table.Final(s.state)
}

// step runs the next statement of a simple query or handles the next message.
// It returns false when there is nothing more to do now.
func (s *session) step() bool {
	if s.isClosed() {
		return false
	}
	if s.state == s.m.connection.table.Initial() {
		return s.handleStartup()
	}
	if s.state != s.m.connection.ready {
		return false
	}
	if s.inSimpleQuery {
		s.runNextStatement()
		return true
	}
	return s.handleNextMessage()
}

// handleStartup handles a message that has no type byte: a startup message, a
// cancel request or a request for encryption, which is declined.
func (s *session) handleStartup() bool {
	body, n := decodeStartupFrame(s.conn.Buffered())
	if n < 0 {
		s.conn.Close()
		return false
	}
	if n == 0 {
		return false
	}
	body = append([]byte(nil), body...)
	s.conn.Discard(n)
	var cancel pgproto3.CancelRequest
	if cancel.Decode(body) == nil {
		s.handleCancelRequest(cancel)
		return false
	}
	if isEncryptionRequest(body) {
		s.conn.Write([]byte{'N'})
		return true
	}
	var startup pgproto3.StartupMessage
	if err := startup.Decode(body); err != nil {
		s.conn.Close()
		return false
	}
	s.handleStartupMessage(startup)
	return true
}

func (s *session) handleStartupMessage(startup pgproto3.StartupMessage) {
	s.account = startup.Parameters["user"]
	s.m.record(Record{Kind: KindStartup, Connection: uint64(s.id), Account: s.account, Startup: startup.Parameters, Outcome: OutcomeOK})
	s.fire(s.m.connection.startup)
}

// handleCancelRequest cancels the statement of the session with the given key
// and closes this connection.
func (s *session) handleCancelRequest(c pgproto3.CancelRequest) {
	target, ok := s.m.sessions[c.ProcessID]
	s.conn.Close()
	if !ok || string(target.secret[:]) != string(c.SecretKey) {
		return
	}
	s.m.record(Record{Kind: KindCancel, Connection: uint64(target.id), Account: target.account, Outcome: OutcomeOK})
	target.fire(s.m.connection.cancelled)
	target.process()
}

// refuseConnection answers that the member has MaxConnections connections.
func (s *session) refuseConnection() {
	s.m.record(Record{Kind: KindRefused, Connection: uint64(s.id), Account: s.account, Outcome: "error " + codeTooManyConnections})
	s.send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: codeTooManyConnections, Message: "sorry, too many clients already"})
	s.flush()
	s.conn.CloseAfterFlush()
}

func (s *session) releaseConnection() {
	s.m.connections--
}

// sendStartupResponse accepts any user without authentication.
func (s *session) sendStartupResponse() {
	s.send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", serverVersion},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"standard_conforming_strings", "on"},
		{"integer_datetimes", "on"},
		{"DateStyle", "ISO, MDY"},
		{"TimeZone", "UTC"},
	} {
		s.send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	s.send(&pgproto3.BackendKeyData{ProcessID: s.id, SecretKey: s.secret[:]})
	s.sendReady()
}

// send appends a message to the output buffer. It closes the connection when
// the message is too long for the protocol's length field.
func (s *session) send(m pgproto3.BackendMessage) {
	out, err := m.Encode(s.out)
	if err != nil {
		s.conn.Close()
		return
	}
	s.out = out
}

func (s *session) flush() {
	if len(s.out) > 0 {
		s.conn.Write(s.out)
		s.out = s.out[:0]
	}
}

// sendReady reports the position of the last commit and sends ReadyForQuery.
func (s *session) sendReady() {
	if !s.commitPosition.IsZero() {
		s.send(&pgproto3.ParameterStatus{Name: "log_position", Value: s.commitPosition.String()})
		s.commitPosition = core.Position{}
	}
	s.send(&pgproto3.ReadyForQuery{TxStatus: s.txStatus()})
	s.flush()
}

// txStatus returns the transaction status of ReadyForQuery.
func (s *session) txStatus() byte {
	status := map[chart.State]byte{s.m.transaction.open: 'T', s.m.transaction.failed: 'E'}
	if b, ok := status[s.txState]; ok {
		return b
	}
	return 'I'
}
