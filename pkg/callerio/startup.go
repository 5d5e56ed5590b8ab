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

// delayMargin is added to the greatest delay for the chart's own timeout,
// which only acts if the delay's timer is lost.
const delayMargin = time.Second

// startupChart is the compiled chart caller_startup with its resolved events.
type startupChart struct {
	table *chart.Table[*caller]
	// readers consume input in one state each; a state without a reader
	// leaves its input buffered.
	readers []func(*caller, []byte) int

	// serving is the state of an admitted caller.
	serving chart.State

	startup, cancel, credentials, violated, delayOver chart.Event
	admitted, dismissed, lost, timedOut               chart.Event
}

func compileStartup(definition *chart.Definition, config Config) (*startupChart, error) {
	table, err := chart.Compile(definition, chart.Registry[*caller]{
		Guards: map[string]func(*caller) bool{
			"open_entry": (*caller).hasOpenEntry,
			"accepted":   func(c *caller) bool { return c.accepted },
		},
		Actions: map[string]func(*caller){
			"announce":       (*caller).announce,
			"offer_scram":    (*caller).offerScram,
			"send_challenge": (*caller).sendChallenge,
			"confirm_proof":  (*caller).confirmProof,
			"delay_refusal":  (*caller).delayRefusal,
			"forget_delay":   (*caller).forgetDelay,
			"send_refusal":   (*caller).sendRefusal,
			"forward_cancel": (*caller).forwardCancel,
			"welcome":        (*caller).welcome,
			"send_fault":     (*caller).sendFault,
			"send_dismissal": (*caller).sendFault,
			"send_overload":  (*caller).sendOverload,
			"close":          (*caller).closeNow,
		},
		Timeouts: map[string]time.Duration{
			"exchange":      config.ExchangeTimeout,
			"longest_delay": config.MaxDelay + delayMargin,
			"admission":     config.AdmissionTimeout,
		},
	})
	if err != nil {
		return nil, &ConfigError{Reason: "startup chart", Err: err}
	}
	return resolveStartup(definition, table), nil
}

func resolveStartup(definition *chart.Definition, table *chart.Table[*caller]) *startupChart {
	s := &startupChart{
		table:       table,
		readers:     make([]func(*caller, []byte) int, len(definition.States)),
		serving:     table.StateID("serving"),
		startup:     table.Event("startup"),
		cancel:      table.Event("cancel"),
		credentials: table.Event("credentials"),
		violated:    table.Event("violated"),
		delayOver:   table.Event("delay_over"),
		admitted:    table.Event("admitted"),
		dismissed:   table.Event("dismissed"),
		lost:        table.Event("lost"),
		timedOut:    table.Event(chart.TimeoutEvent),
	}
	s.readers[table.StateID("greeting")] = (*caller).readStartup
	s.readers[table.StateID("challenge")] = (*caller).readFirst
	s.readers[table.StateID("proof")] = (*caller).readFinal
	s.readers[s.serving] = (*caller).readMessage
	return s
}

// fire applies an event of the startup chart and arms the timeout of the state
// that it leads to.
func (c *caller) fire(event chart.Event) {
	before := c.state
	c.duty.startup.table.Fire(c, &c.state, event)
	if c.state != before {
		c.armTimeout()
	}
}

func (c *caller) armTimeout() {
	limit := c.duty.startup.table.Timeout(c.state)
	if limit == 0 || c.gone {
		c.duty.Timers.Disarm(&c.timeout)
		return
	}
	c.duty.Timers.Arm(&c.timeout, time.Now().Add(limit))
}

func (c *caller) timedOut() {
	c.fire(c.duty.startup.timedOut)
}

func (c *caller) delayOver() {
	c.fire(c.duty.startup.delayOver)
}

func (c *caller) readStartup(buf []byte) int {
	message, size, err := wire.NextStartup(buf)
	if err != nil {
		c.violate(err.Error())
		return 0
	}
	switch m := message.(type) {
	case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
		c.conn.Write([]byte{'N'})
	case *pgproto3.CancelRequest:
		c.cancelProcess, c.cancelSecret = m.ProcessID, m.SecretKey
		c.fire(c.duty.startup.cancel)
	case *pgproto3.StartupMessage:
		c.begin(m)
	}
	return size
}

func (c *caller) begin(m *pgproto3.StartupMessage) {
	if len(c.duty.callers) > c.duty.config.MaxCallers {
		c.duty.report(c, NoteTooMany, "")
		c.failStartup(stateTooMany, "too many connections to this instance")
		return
	}
	if c.duty.catalogue == nil {
		c.failStartup(stateCannotConnect, "the instance has no configuration yet")
		return
	}
	if !c.takeParameters(m) {
		return
	}
	if m.ProtocolVersion != pgproto3.ProtocolVersion30 {
		c.conn.Write(wire.Append(nil, &pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: 0}))
	}
	c.fire(c.duty.startup.startup)
}

func (c *caller) takeParameters(m *pgproto3.StartupMessage) bool {
	c.account = core.AccountName(m.Parameters["user"])
	c.entry = core.EntryName(m.Parameters["database"])
	if c.entry == "" {
		// PostgreSQL takes the user name when no database is given.
		c.entry = core.EntryName(c.account)
	}
	c.application = m.Parameters["application_name"]
	c.trace = m.Parameters["traceparent"]
	carried := m.Parameters["sassafrasshunt.position"]
	if carried == "" {
		return true
	}
	position, err := core.ParsePosition(carried)
	if err != nil {
		c.failStartup(SQLState(core.ReasonInvalidParameter), err.Error())
		return false
	}
	c.carried = position
	return true
}

func (c *caller) failStartup(state, message string) {
	c.fault = wire.Failure{Severity: wire.SeverityFatal, SQLState: state, Message: message}
	c.fire(c.duty.startup.violated)
}

// entryAllowed reports whether the entry exists and belongs to the account.
func (c *caller) entryAllowed() bool {
	entry := c.duty.catalogue.Entry(c.entry)
	return entry != nil && entry.Account == c.account
}

func (c *caller) hasOpenEntry() bool {
	return c.entryAllowed() && c.duty.catalogue.Entry(c.entry).Open
}

func (c *caller) offerScram() {
	c.exchange = c.duty.scram.Begin(c.duty.catalogue.Account(c.account), c.account)
	c.conn.Write(wire.Append(nil, &pgproto3.AuthenticationSASL{AuthMechanisms: []string{wire.Mechanism}}))
}

// readPassword returns the next frame when it is a SASL message.
func (c *caller) readPassword(buf []byte) (wire.Frame, bool) {
	frame, complete, err := wire.Next(buf, maxAuthMessage)
	if err != nil {
		c.violate(err.Error())
		return frame, false
	}
	if complete && frame.Type != 'p' {
		c.violate("a SASL message was expected")
		return frame, false
	}
	return frame, complete
}

func (c *caller) readFirst(buf []byte) int {
	frame, ok := c.readPassword(buf)
	if !ok {
		return 0
	}
	var m pgproto3.SASLInitialResponse
	// The reason is fixed: the body may hold a key that the caller sent in clear.
	if wire.Decode(frame, &m) != nil || m.AuthMechanism != wire.Mechanism {
		c.violate("the SASL mechanism is not " + wire.Mechanism)
		return 0
	}
	reply, err := c.exchange.First(string(m.Data))
	c.accepted, c.reply = err == nil, reply
	c.fire(c.duty.startup.credentials)
	return len(frame.Raw)
}

func (c *caller) sendChallenge() {
	c.conn.Write(wire.Append(nil, &pgproto3.AuthenticationSASLContinue{Data: []byte(c.reply)}))
}

func (c *caller) readFinal(buf []byte) int {
	frame, ok := c.readPassword(buf)
	if !ok {
		return 0
	}
	reply, key, err := c.exchange.Final(string(frame.Body))
	c.accepted = err == nil && c.entryAllowed() && c.keyLives(key)
	c.reply, c.key = reply, key
	c.exchange = nil
	c.fire(c.duty.startup.credentials)
	return len(frame.Raw)
}

// keyLives checks the key against the catalogue in force now, because a
// revocation may have arrived during the exchange.
func (c *caller) keyLives(id core.KeyID) bool {
	account := c.duty.catalogue.Account(c.account)
	if account == nil {
		return false
	}
	key := account.Key(id)
	return key != nil && !key.Revoked
}

func (c *caller) confirmProof() {
	c.conn.Write(wire.Append(nil, &pgproto3.AuthenticationSASLFinal{Data: []byte(c.reply)}))
}

func (c *caller) announce() {
	c.announced = true
	c.duty.Outbox.Push(session.CallerOpened{
		Caller:  c.id,
		Account: c.account,
		Entry:   c.entry,
		Key:     c.key,
		Carried: c.carried,
		Trace:   c.trace,
	})
}

func (c *caller) delayRefusal() {
	c.duty.counts.wrongKeys.Add(1)
	c.duty.report(c, NoteWrongKey, "")
	c.exchange = nil
	now := time.Now()
	wait := c.duty.attempts.failed(c.conn.Remote().Addr(), now)
	c.duty.Timers.Arm(&c.delay, now.Add(wait))
}

func (c *caller) forgetDelay() {
	c.duty.Timers.Disarm(&c.delay)
}

// sendRefusal answers every failed attempt with the same text.
func (c *caller) sendRefusal() {
	c.fault = wire.Failure{
		Severity: wire.SeverityFatal,
		SQLState: SQLState(core.ReasonWrongKey),
		Message:  "authentication failed",
		Detail:   outcomeDetail(core.OutcomeNotRun),
	}
	c.sendFault()
}

func (c *caller) sendOverload() {
	c.duty.report(c, NoteNoCapacity, "")
	c.fault = wire.Failure{
		Severity: wire.SeverityFatal,
		SQLState: SQLState(core.ReasonOverloaded),
		Message:  "the instance could not admit the connection in time",
		Detail:   outcomeDetail(core.OutcomeNotRun),
		Hint:     hints[core.ReasonOverloaded],
	}
	c.sendFault()
}

func (c *caller) forwardCancel() {
	named := c.duty.processes[c.cancelProcess]
	if named == nil || subtle.ConstantTimeCompare(named.secret[:], c.cancelSecret) != 1 {
		return
	}
	c.duty.Outbox.Push(session.CallerCancel{Caller: named.id})
}

func (c *caller) welcome() {
	c.process32 = uint32(c.id)
	// crypto/rand.Read never fails on the supported systems.
	_, _ = rand.Read(c.secret[:])
	c.duty.processes[c.process32] = c
	out := wire.Append(nil, &pgproto3.AuthenticationOk{})
	for _, parameter := range c.parameters() {
		out = wire.Append(out, &pgproto3.ParameterStatus{Name: parameter[0], Value: parameter[1]})
	}
	out = wire.Append(out, &pgproto3.BackendKeyData{ProcessID: c.process32, SecretKey: c.secret[:]})
	out = wire.Append(out, &pgproto3.ReadyForQuery{TxStatus: txIdle})
	c.conn.Write(out)
}

func (c *caller) parameters() [][2]string {
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
