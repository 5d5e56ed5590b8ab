package targetio

import (
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/wire"
	"github.com/stretchr/testify/require"
	"github.com/xdg-go/scram"
)

// bigRow is the size in bytes of a row that no socket buffer takes at once.
const bigRow = 20 << 20

// member is a scripted PostgreSQL server. It reports the messages that it
// gets, so that a test can tell what was sent.
type member struct {
	t        testing.TB
	listener net.Listener
	// account is set for a member that asks for SCRAM-SHA-256.
	account *catalogue.Account

	mu       sync.Mutex
	messages []string
	// failBind is the SQLSTATE that the next Bind is answered with.
	failBind string
	// answered counts the answers that were sent to their end.
	answered int
	// holdCancel keeps cancel connections open until it is closed, if set.
	holdCancel chan struct{}
	// cancelled gets one item for a cancel request; by process ID.
	cancelled map[uint32]chan struct{}
}

func startMember(t testing.TB) *member {
	return startMemberWith(t, nil)
}

func startMemberWith(t testing.TB, account *catalogue.Account) *member {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	m := &member{t: t, listener: listener, account: account, cancelled: map[uint32]chan struct{}{}}
	go m.accept()
	return m
}

func (m *member) address() string {
	return m.listener.Addr().String()
}

func (m *member) accept() {
	for process := uint32(1); ; process++ {
		conn, err := m.listener.Accept()
		if err != nil {
			return
		}
		go m.serve(conn, process)
	}
}

func (m *member) note(message string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.messages = append(m.messages, message)
}

// sent returns and clears the messages that the member got.
func (m *member) sent() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	messages := m.messages
	m.messages = nil
	return messages
}

func (m *member) holdCancels() chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holdCancel = make(chan struct{})
	return m.holdCancel
}

// awaitAnswers waits until n answers, each startup included, were sent.
func (m *member) awaitAnswers(n int) {
	require.Eventually(m.t, func() bool { return m.answers() == n }, testWait, time.Millisecond)
}

func (m *member) answers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.answered
}

func (m *member) setFailBind(state string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.failBind
	m.failBind = state
	return old
}

// connection is the server's side of one connection.
type connection struct {
	*member
	back       *pgproto3.Backend
	process    uint32
	statements map[string]string
	// stale is a statement whose Bind fails until it is closed.
	stale  string
	portal string
	value  []byte
	// skipping is set after an error up to Sync.
	skipping bool
}

func (m *member) serve(conn net.Conn, process uint32) {
	defer conn.Close()
	c := &connection{member: m, back: pgproto3.NewBackend(conn, conn), process: process, statements: map[string]string{}}
	message, err := c.back.ReceiveStartupMessage()
	if err != nil {
		return
	}
	if cancel, ok := message.(*pgproto3.CancelRequest); ok {
		m.mu.Lock()
		select {
		case m.cancelled[cancel.ProcessID] <- struct{}{}:
		default:
		}
		hold := m.holdCancel
		m.mu.Unlock()
		if hold != nil {
			<-hold
		}
		return
	}
	if m.account != nil && !c.authenticate() {
		return
	}
	m.mu.Lock()
	m.cancelled[process] = make(chan struct{}, 1)
	m.mu.Unlock()
	c.back.Send(&pgproto3.AuthenticationOk{})
	c.back.Send(&pgproto3.ParameterStatus{Name: "server_version", Value: "16"})
	c.back.Send(&pgproto3.BackendKeyData{ProcessID: process, SecretKey: []byte{1, 2, 3, 4}})
	c.ready()
	for {
		message, err := c.back.Receive()
		if err != nil {
			return
		}
		c.handle(message)
	}
}

func (c *connection) authenticate() bool {
	exchange := wire.NewScramServer().Begin(c.account, c.account.Name)
	c.back.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{wire.Mechanism}})
	_ = c.back.Flush()
	_ = c.back.SetAuthType(pgproto3.AuthTypeSASL)
	first, err := c.back.Receive()
	if err != nil {
		return false
	}
	challenge, err := exchange.First(string(first.(*pgproto3.SASLInitialResponse).Data))
	if err != nil {
		return false
	}
	c.back.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	_ = c.back.Flush()
	_ = c.back.SetAuthType(pgproto3.AuthTypeSASLContinue)
	final, err := c.back.Receive()
	if err != nil {
		return false
	}
	reply, _, err := exchange.Final(string(final.(*pgproto3.SASLResponse).Data))
	if err != nil {
		c.back.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "28P01"})
		_ = c.back.Flush()
		return false
	}
	c.back.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(reply)})
	return true
}

func (c *connection) ready() {
	c.skipping = false
	c.back.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	_ = c.back.Flush()
	c.mu.Lock()
	c.answered++
	c.mu.Unlock()
}

func (c *connection) fail(state string) {
	c.skipping = true
	c.back.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: state, Message: "scripted"})
}

func (c *connection) handle(message pgproto3.FrontendMessage) {
	if _, ok := message.(*pgproto3.Sync); ok {
		c.ready()
		return
	}
	if c.skipping {
		return
	}
	switch m := message.(type) {
	case *pgproto3.Query:
		c.note("query " + m.String)
		c.run(m.String)
		c.ready()
	case *pgproto3.Parse:
		c.parse(m)
	case *pgproto3.Bind:
		c.bind(m)
	case *pgproto3.Describe:
		if m.ObjectType == 'S' {
			c.back.Send(&pgproto3.ParameterDescription{ParameterOIDs: make25(strings.Count(c.statements[m.Name], "$"))})
		}
		c.back.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: 25, DataTypeSize: -1}}})
	case *pgproto3.Execute:
		c.run(c.portal)
	case *pgproto3.Close:
		delete(c.statements, m.Name)
		if c.stale == m.Name {
			c.stale = ""
		}
		c.back.Send(&pgproto3.CloseComplete{})
	}
}

func make25(n int) []uint32 {
	oids := make([]uint32, n)
	for i := range oids {
		oids[i] = 25
	}
	return oids
}

func (c *connection) parse(m *pgproto3.Parse) {
	c.note("parse " + m.Query)
	if m.Query == "bad" {
		c.fail("42601")
		return
	}
	if _, exists := c.statements[m.Name]; exists && m.Name != "" {
		c.fail("42P05")
		return
	}
	c.statements[m.Name] = m.Query
	c.back.Send(&pgproto3.ParseComplete{})
}

func (c *connection) bind(m *pgproto3.Bind) {
	text, exists := c.statements[m.PreparedStatement]
	if state := c.setFailBind(""); state != "" {
		if state == stateNoStatement {
			clear(c.statements)
		}
		if state == stateNotSupported {
			c.stale = m.PreparedStatement
		}
		c.fail(state)
		return
	}
	if c.stale != "" && c.stale == m.PreparedStatement {
		c.fail(stateNotSupported)
		return
	}
	if !exists {
		c.fail("26000")
		return
	}
	c.portal, c.value = text, nil
	if len(m.Parameters) > 0 {
		c.value = append([]byte(nil), m.Parameters[0]...)
	}
	c.back.Send(&pgproto3.BindComplete{})
}

// run plays one statement.
func (c *connection) run(text string) {
	switch text {
	case "error":
		c.fail("22012")
		return
	case "slow":
		c.mu.Lock()
		cancelled := c.cancelled[c.process]
		c.mu.Unlock()
		<-cancelled
		c.fail("57014")
		return
	case "write":
		c.back.Send(&pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")})
		c.back.Send(&pgproto3.ParameterStatus{Name: positionParameter, Value: "2/50"})
		return
	case "discard all":
		clear(c.statements)
		c.back.Send(&pgproto3.CommandComplete{CommandTag: []byte("DISCARD ALL")})
		return
	case "begin":
		c.back.Send(&pgproto3.CommandComplete{CommandTag: []byte("BEGIN")})
		return
	}
	value := c.value
	if strings.Contains(text, "--") {
		value = append([]byte(text+" = "), value...)
	}
	if text == "big" {
		value = make([]byte, bigRow)
	}
	if value == nil {
		value = []byte(text)
		c.back.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: 25, DataTypeSize: -1}}})
	}
	c.back.Send(&pgproto3.DataRow{Values: [][]byte{value}})
	c.back.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
}

// StartScriptedMember returns the address of a scripted member for the
// external tests of this package.
func StartScriptedMember(t testing.TB) string {
	return startMember(t).address()
}

// ScriptedAccount returns the account "roads" with one key.
func ScriptedAccount(t testing.TB, key string) *catalogue.Account {
	const salt, iterations = "0123456789abcdef", 4096
	client, err := scram.SHA256.NewClient("", key, "")
	require.NoError(t, err)
	credentials, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: salt, Iters: iterations})
	require.NoError(t, err)
	verifier := catalogue.Key{ID: "k", StoredKey: credentials.StoredKey, ServerKey: credentials.ServerKey}
	return &catalogue.Account{Name: "roads", Salt: []byte(salt), Iterations: iterations, Keys: []catalogue.Key{verifier}}
}
