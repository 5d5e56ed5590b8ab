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

// bigRowSize is the size in bytes of a row that exceeds every socket buffer.
const bigRowSize = 20 << 20

// member is a scripted PostgreSQL server. It records the messages that it receives,
// so that a test can check what was sent.
type member struct {
	t        testing.TB
	listener net.Listener
	// account is set for a member that requires SCRAM-SHA-256.
	account *catalogue.Account

	mu       sync.Mutex
	messages []string
	// bindError is the SQLSTATE with which the next Bind fails, if set.
	bindError string
	// responsesSent counts the complete responses, each startup included.
	responsesSent int
	// cancelRelease, if set, keeps cancel connections open until it is closed.
	cancelRelease chan struct{}
	// cancels has a channel for each process ID that receives an item for a cancel
	// request.
	cancels map[uint32]chan struct{}
}

func startMember(t testing.TB) *member {
	return startMemberWith(t, nil)
}

func startMemberWith(t testing.TB, account *catalogue.Account) *member {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	m := &member{t: t, listener: listener, account: account, cancels: map[uint32]chan struct{}{}}
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

func (m *member) recordMessage(message string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.messages = append(m.messages, message)
}

// takeMessages returns and clears the recorded messages.
func (m *member) takeMessages() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	messages := m.messages
	m.messages = nil
	return messages
}

// holdCancels keeps further cancel connections open until the returned channel is
// closed.
func (m *member) holdCancels() chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cancelRelease = make(chan struct{})
	return m.cancelRelease
}

// awaitResponses waits until n complete responses, each startup included, were sent.
func (m *member) awaitResponses(n int) {
	require.Eventually(m.t, func() bool { return m.sentResponses() == n }, testTimeout, time.Millisecond)
}

func (m *member) sentResponses() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.responsesSent
}

// swapBindError sets the SQLSTATE for the next Bind and returns the previous one.
func (m *member) swapBindError(state string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	previous := m.bindError
	m.bindError = state
	return previous
}

// connection is the server's side of one connection.
type connection struct {
	*member
	backend    *pgproto3.Backend
	process    uint32
	statements map[string]string
	// staleStatement is the name of a statement whose Bind fails until it is closed.
	staleStatement string
	portal         string
	value          []byte
	// ignoreTillSync is set from an error until the next Sync.
	ignoreTillSync bool
}

func (m *member) serve(conn net.Conn, process uint32) {
	defer conn.Close()
	c := &connection{member: m, backend: pgproto3.NewBackend(conn, conn), process: process, statements: map[string]string{}}
	message, err := c.backend.ReceiveStartupMessage()
	if err != nil {
		return
	}
	if cancel, ok := message.(*pgproto3.CancelRequest); ok {
		m.mu.Lock()
		select {
		case m.cancels[cancel.ProcessID] <- struct{}{}:
		default:
		}
		release := m.cancelRelease
		m.mu.Unlock()
		if release != nil {
			<-release
		}
		return
	}
	if m.account != nil && !c.authenticate() {
		return
	}
	m.mu.Lock()
	m.cancels[process] = make(chan struct{}, 1)
	m.mu.Unlock()
	c.backend.Send(&pgproto3.AuthenticationOk{})
	c.backend.Send(&pgproto3.ParameterStatus{Name: "server_version", Value: "16"})
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: process, SecretKey: []byte{1, 2, 3, 4}})
	c.ready()
	for {
		message, err := c.backend.Receive()
		if err != nil {
			return
		}
		c.handleMessage(message)
	}
}

func (c *connection) authenticate() bool {
	exchange := wire.NewScramServer().Begin(c.account, c.account.Name)
	c.backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{wire.Mechanism}})
	_ = c.backend.Flush()
	_ = c.backend.SetAuthType(pgproto3.AuthTypeSASL)
	first, err := c.backend.Receive()
	if err != nil {
		return false
	}
	challenge, err := exchange.First(string(first.(*pgproto3.SASLInitialResponse).Data))
	if err != nil {
		return false
	}
	c.backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	_ = c.backend.Flush()
	_ = c.backend.SetAuthType(pgproto3.AuthTypeSASLContinue)
	final, err := c.backend.Receive()
	if err != nil {
		return false
	}
	reply, _, err := exchange.Final(string(final.(*pgproto3.SASLResponse).Data))
	if err != nil {
		c.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "28P01"})
		_ = c.backend.Flush()
		return false
	}
	c.backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(reply)})
	return true
}

func (c *connection) ready() {
	c.ignoreTillSync = false
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	_ = c.backend.Flush()
	c.mu.Lock()
	c.responsesSent++
	c.mu.Unlock()
}

func (c *connection) fail(state string) {
	c.ignoreTillSync = true
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: state, Message: "scripted"})
}

func (c *connection) handleMessage(message pgproto3.FrontendMessage) {
	if _, ok := message.(*pgproto3.Sync); ok {
		c.ready()
		return
	}
	if c.ignoreTillSync {
		return
	}
	switch m := message.(type) {
	case *pgproto3.Query:
		c.recordMessage("query " + m.String)
		c.runStatement(m.String)
		c.ready()
	case *pgproto3.Parse:
		c.parse(m)
	case *pgproto3.Bind:
		c.bind(m)
	case *pgproto3.Describe:
		if m.ObjectType == 'S' {
			c.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: textOIDs(strings.Count(c.statements[m.Name], "$"))})
		}
		c.backend.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: 25, DataTypeSize: -1}}})
	case *pgproto3.Execute:
		c.runStatement(c.portal)
	case *pgproto3.Close:
		delete(c.statements, m.Name)
		if c.staleStatement == m.Name {
			c.staleStatement = ""
		}
		c.backend.Send(&pgproto3.CloseComplete{})
	}
}

// textOIDs returns count times the OID of the type text.
func textOIDs(count int) []uint32 {
	oids := make([]uint32, count)
	for i := range oids {
		oids[i] = 25
	}
	return oids
}

func (c *connection) parse(m *pgproto3.Parse) {
	c.recordMessage("parse " + m.Query)
	if m.Query == "bad" {
		c.fail("42601")
		return
	}
	if _, exists := c.statements[m.Name]; exists && m.Name != "" {
		c.fail("42P05")
		return
	}
	c.statements[m.Name] = m.Query
	c.backend.Send(&pgproto3.ParseComplete{})
}

func (c *connection) bind(m *pgproto3.Bind) {
	text, exists := c.statements[m.PreparedStatement]
	if state := c.swapBindError(""); state != "" {
		if state == sqlStateInvalidStatementName {
			clear(c.statements)
		}
		if state == sqlStateFeatureNotSupported {
			c.staleStatement = m.PreparedStatement
		}
		c.fail(state)
		return
	}
	if c.staleStatement != "" && c.staleStatement == m.PreparedStatement {
		c.fail(sqlStateFeatureNotSupported)
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
	c.backend.Send(&pgproto3.BindComplete{})
}

// runStatement sends the scripted response to one statement.
func (c *connection) runStatement(text string) {
	switch text {
	case "error":
		c.fail("22012")
		return
	case "slow":
		c.mu.Lock()
		cancelled := c.cancels[c.process]
		c.mu.Unlock()
		<-cancelled
		c.fail("57014")
		return
	case "write":
		c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")})
		c.backend.Send(&pgproto3.ParameterStatus{Name: positionParameter, Value: "2/50"})
		return
	case "discard all":
		clear(c.statements)
		c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("DISCARD ALL")})
		return
	case "begin":
		c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("BEGIN")})
		return
	}
	value := c.value
	if strings.Contains(text, "--") {
		value = append([]byte(text+" = "), value...)
	}
	if text == "big" {
		value = make([]byte, bigRowSize)
	}
	if value == nil {
		value = []byte(text)
		c.backend.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: 25, DataTypeSize: -1}}})
	}
	c.backend.Send(&pgproto3.DataRow{Values: [][]byte{value}})
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
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
