package callerio

import (
	"crypto/rand"
	"crypto/subtle"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/wire"
)

// failureDelayMargin is added to MaxFailureDelay for the timeout of the chart
// state "delayed", which applies only if the timer of the delay is lost.
const failureDelayMargin = time.Second

// startupChart is the compiled chart caller_startup with its resolved events.
type startupChart struct {
	table *chart.Table[*caller]
	// inputReaders holds the reader of each state. A reader handles the first
	// message of the input and returns its size, or 0 if it needs more input. A
	// state without a reader leaves its input buffered.
	inputReaders []func(*caller, []byte) int

	// serving is the state of an admitted caller.
	serving chart.State

	startup, cancel, credentials, violated, delayOver chart.Event
	admitted, dismissed, lost, timedOut               chart.Event
}

// compileStartup binds the guards, actions and timeouts of the chart. It returns
// a *ConfigError when the chart doesn't match them.
func compileStartup(definition *chart.Definition, config Config) (*startupChart, error) {
	table, err := chart.Compile(definition, chart.Registry[*caller]{
		Guards: map[string]func(*caller) bool{
			"open_entry":           (*caller).hasOpenEntry,
			"credentials_accepted": func(c *caller) bool { return c.credentialsAccepted },
		},
		Actions: map[string]func(*caller){
			"request_admission":      (*caller).requestAdmission,
			"offer_scram":            (*caller).offerScram,
			"send_server_first":      (*caller).sendServerFirst,
			"send_server_final":      (*caller).sendServerFinal,
			"delay_auth_failure":     (*caller).delayAuthFailure,
			"cancel_failure_delay":   (*caller).cancelFailureDelay,
			"send_auth_failure":      (*caller).sendAuthFailure,
			"forward_cancel":         (*caller).forwardCancel,
			"complete_startup":       (*caller).completeStartup,
			"send_error":             (*caller).sendErrorAndClose,
			"send_admission_refusal": (*caller).sendErrorAndClose,
			"send_admission_timeout": (*caller).sendAdmissionTimeout,
			"close":                  (*caller).closeConn,
		},
		Timeouts: map[string]time.Duration{
			"startup_step":      config.StartupStepTimeout,
			"max_failure_delay": config.MaxFailureDelay + failureDelayMargin,
			"admission":         config.AdmissionTimeout,
		},
	})
	if err != nil {
		return nil, &ConfigError{Reason: "cannot compile the startup chart", Err: err}
	}
	return resolveStartup(definition, table), nil
}

// resolveStartup looks up the events and states that the code refers to.
func resolveStartup(definition *chart.Definition, table *chart.Table[*caller]) *startupChart {
	s := &startupChart{
		table:        table,
		inputReaders: make([]func(*caller, []byte) int, len(definition.States)),
		serving:      table.StateID("serving"),
		startup:      table.Event("startup"),
		cancel:       table.Event("cancel"),
		credentials:  table.Event("credentials"),
		violated:     table.Event("violated"),
		delayOver:    table.Event("delay_over"),
		admitted:     table.Event("admitted"),
		dismissed:    table.Event("dismissed"),
		lost:         table.Event("lost"),
		timedOut:     table.Event(chart.TimeoutEvent),
	}
	s.inputReaders[table.StateID("greeting")] = (*caller).readStartup
	s.inputReaders[table.StateID("challenge")] = (*caller).readClientFirst
	s.inputReaders[table.StateID("proof")] = (*caller).readClientFinal
	s.inputReaders[s.serving] = (*caller).readMessage
	return s
}

// fire applies an event of the startup chart and arms the timeout of the state
// that it leads to.
func (c *caller) fire(event chart.Event) {
	before := c.state
	c.duty.startup.table.Fire(c, &c.state, event)
	if c.state != before {
		c.armStateTimer()
	}
}

// armStateTimer starts the timeout of the current state, if it has one.
func (c *caller) armStateTimer() {
	limit := c.duty.startup.table.Timeout(c.state)
	if limit == 0 || c.closed {
		c.duty.Timers.Disarm(&c.stateTimer)
		return
	}
	c.duty.Timers.Arm(&c.stateTimer, time.Now().Add(limit))
}

func (c *caller) stateTimedOut() {
	c.fire(c.duty.startup.timedOut)
}

func (c *caller) failureDelayElapsed() {
	c.fire(c.duty.startup.delayOver)
}

// readStartup handles the packets before authentication. TLS and GSSAPI
// encryption are declined.
func (c *caller) readStartup(buf []byte) int {
	message, size, err := wire.NextStartup(buf)
	if err != nil {
		c.closeOnViolation(err.Error())
		return 0
	}
	switch m := message.(type) {
	case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
		c.conn.Write([]byte{'N'})
	case *pgproto3.CancelRequest:
		c.cancelProcessID, c.cancelSecret = m.ProcessID, m.SecretKey
		c.fire(c.duty.startup.cancel)
	case *pgproto3.StartupMessage:
		c.handleStartup(m)
	}
	return size
}

// handleStartup checks a StartupMessage and starts the authentication. A newer
// minor version of the protocol is negotiated down to 3.0.
func (c *caller) handleStartup(m *pgproto3.StartupMessage) {
	if len(c.duty.callers) > c.duty.config.MaxCallers {
		c.duty.logEvent(c, LogTooManyConnections, "")
		c.failStartup(sqlStateTooManyConnections, "too many connections to this instance")
		return
	}
	if c.duty.catalogue == nil {
		c.failStartup(sqlStateCannotConnectNow, "the instance has no configuration yet")
		return
	}
	if !c.parseParameters(m) {
		return
	}
	if m.ProtocolVersion != pgproto3.ProtocolVersion30 {
		c.conn.Write(wire.Append(nil, &pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: 0}))
	}
	c.fire(c.duty.startup.startup)
}

// parseParameters stores the parameters of the StartupMessage. It refuses the
// startup and returns false when the position is invalid.
func (c *caller) parseParameters(m *pgproto3.StartupMessage) bool {
	c.account = core.AccountName(m.Parameters["user"])
	c.entry = core.EntryName(m.Parameters["database"])
	if c.entry == "" {
		// As in PostgreSQL, the database defaults to the user name.
		c.entry = core.EntryName(c.account)
	}
	c.application = m.Parameters["application_name"]
	c.traceparent = m.Parameters["traceparent"]
	text := m.Parameters["sassafrasshunt.position"]
	if text == "" {
		return true
	}
	position, err := core.ParsePosition(text)
	if err != nil {
		c.failStartup(SQLState(core.ReasonInvalidParameter), err.Error())
		return false
	}
	c.initialPosition = position
	return true
}

// failStartup refuses the startup with a fatal error.
func (c *caller) failStartup(sqlState, message string) {
	c.closingError = wire.Failure{Severity: wire.SeverityFatal, SQLState: sqlState, Message: message}
	c.fire(c.duty.startup.violated)
}

// entryAllowed reports whether the entry exists and belongs to the account.
func (c *caller) entryAllowed() bool {
	entry := c.duty.catalogue.Entry(c.entry)
	return entry != nil && entry.Account == c.account
}

// hasOpenEntry reports whether the entry needs no authentication.
func (c *caller) hasOpenEntry() bool {
	return c.entryAllowed() && c.duty.catalogue.Entry(c.entry).Open
}

// offerScram starts the SCRAM exchange. An unknown account runs it as well, so
// that the caller cannot distinguish it from a wrong key.
func (c *caller) offerScram() {
	c.exchange = c.duty.scram.Begin(c.duty.catalogue.Account(c.account), c.account)
	c.conn.Write(wire.Append(nil, &pgproto3.AuthenticationSASL{AuthMechanisms: []string{wire.Mechanism}}))
}

// nextSASLFrame returns the next frame if it is complete and a SASL message. Any
// other message closes the connection.
func (c *caller) nextSASLFrame(buf []byte) (wire.Frame, bool) {
	frame, complete, err := wire.Next(buf, maxAuthMessageBytes)
	if err != nil {
		c.closeOnViolation(err.Error())
		return frame, false
	}
	if complete && frame.Type != 'p' {
		c.closeOnViolation("a SASL message was expected")
		return frame, false
	}
	return frame, complete
}

// readClientFirst handles the client-first message of SCRAM.
func (c *caller) readClientFirst(buf []byte) int {
	frame, ok := c.nextSASLFrame(buf)
	if !ok {
		return 0
	}
	var m pgproto3.SASLInitialResponse
	// The text of the decoding error is not used: the body may contain a key in
	// plain text.
	if wire.Decode(frame, &m) != nil || m.AuthMechanism != wire.Mechanism {
		c.closeOnViolation("the SASL mechanism is not " + wire.Mechanism)
		return 0
	}
	reply, err := c.exchange.First(string(m.Data))
	c.credentialsAccepted, c.scramReply = err == nil, reply
	c.fire(c.duty.startup.credentials)
	return len(frame.Raw)
}

// sendServerFirst sends the server-first message of SCRAM, the challenge.
func (c *caller) sendServerFirst() {
	c.conn.Write(wire.Append(nil, &pgproto3.AuthenticationSASLContinue{Data: []byte(c.scramReply)}))
}

// readClientFinal handles the client-final message of SCRAM, which proves the
// key. It also checks whether the account may use the entry.
func (c *caller) readClientFinal(buf []byte) int {
	frame, ok := c.nextSASLFrame(buf)
	if !ok {
		return 0
	}
	reply, key, err := c.exchange.Final(string(frame.Body))
	c.credentialsAccepted = err == nil && c.entryAllowed() && c.keyValid(key)
	c.scramReply, c.key = reply, key
	c.exchange = nil
	c.fire(c.duty.startup.credentials)
	return len(frame.Raw)
}

// keyValid reports whether the current catalogue has the key and it is not
// revoked. A revocation may have arrived during the exchange.
func (c *caller) keyValid(id core.KeyID) bool {
	account := c.duty.catalogue.Account(c.account)
	if account == nil {
		return false
	}
	key := account.Key(id)
	return key != nil && !key.Revoked
}

// sendServerFinal sends the server-final message of SCRAM.
func (c *caller) sendServerFinal() {
	c.conn.Write(wire.Append(nil, &pgproto3.AuthenticationSASLFinal{Data: []byte(c.scramReply)}))
}

// requestAdmission asks the session duty to admit the caller.
func (c *caller) requestAdmission() {
	c.admissionRequested = true
	c.duty.Outbox.Push(session.CallerOpened{
		Caller:          c.id,
		Account:         c.account,
		Entry:           c.entry,
		Key:             c.key,
		InitialPosition: c.initialPosition,
		TraceParent:     c.traceparent,
	})
}

// delayAuthFailure counts a failed authentication and schedules its error
// response.
func (c *caller) delayAuthFailure() {
	c.duty.counts.wrongKeys.Add(1)
	c.duty.logEvent(c, LogAuthenticationFailed, "")
	c.exchange = nil
	now := time.Now()
	delay := c.duty.authFailures.record(c.conn.Remote().Addr(), now)
	c.duty.Timers.Arm(&c.failureTimer, now.Add(delay))
}

func (c *caller) cancelFailureDelay() {
	c.duty.Timers.Disarm(&c.failureTimer)
}

// sendAuthFailure sends the same error for every failed authentication, so that
// the caller does not learn whether account, entry or key was wrong.
func (c *caller) sendAuthFailure() {
	c.closingError = wire.Failure{
		Severity: wire.SeverityFatal,
		SQLState: SQLState(core.ReasonWrongKey),
		Message:  "authentication failed",
		Detail:   outcomeDetail(core.OutcomeNotRun),
	}
	c.sendErrorAndClose()
}

func (c *caller) sendAdmissionTimeout() {
	c.duty.logEvent(c, LogAdmissionTimedOut, "")
	c.closingError = wire.Failure{
		Severity: wire.SeverityFatal,
		SQLState: SQLState(core.ReasonOverloaded),
		Message:  "the instance could not admit the connection in time",
		Detail:   outcomeDetail(core.OutcomeNotRun),
		Hint:     errorHints[core.ReasonOverloaded],
	}
	c.sendErrorAndClose()
}

// forwardCancel reports a CancelRequest to session if its process ID and secret
// match a caller.
func (c *caller) forwardCancel() {
	owner := c.duty.byProcessID[c.cancelProcessID]
	if owner == nil || subtle.ConstantTimeCompare(owner.secret[:], c.cancelSecret) != 1 {
		return
	}
	c.duty.Outbox.Push(session.CallerCancel{Caller: owner.id})
}

// completeStartup sends the messages from AuthenticationOk to the first
// ReadyForQuery.
func (c *caller) completeStartup() {
	c.processID = uint32(c.id)
	// crypto/rand.Read never fails on the supported systems.
	_, _ = rand.Read(c.secret[:])
	c.duty.byProcessID[c.processID] = c
	out := wire.Append(nil, &pgproto3.AuthenticationOk{})
	for _, parameter := range c.startupParameters() {
		out = wire.Append(out, &pgproto3.ParameterStatus{Name: parameter[0], Value: parameter[1]})
	}
	out = wire.Append(out, &pgproto3.BackendKeyData{ProcessID: c.processID, SecretKey: c.secret[:]})
	out = wire.Append(out, &pgproto3.ReadyForQuery{TxStatus: txIdle})
	c.conn.Write(out)
}

// startupParameters returns the names and values reported at startup.
func (c *caller) startupParameters() [][2]string {
	return [][2]string{
		{"server_version", c.duty.config.ServerVersion},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"application_name", c.application},
		{"DateStyle", "ISO, MDY"},
		{"IntervalStyle", "postgres"},
		{"TimeZone", "UTC"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
		{"is_superuser", "off"},
		{"session_authorization", string(c.account)},
		{"default_transaction_read_only", "off"},
		{"in_hot_standby", "off"},
	}
}
