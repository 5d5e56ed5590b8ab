package targetio

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/wire"
)

// startupChart is the compiled chart target_startup with its resolved events.
type startupChart struct {
	table *chart.Table[*target]
	// open is the state of a connection that takes requests.
	open chart.State

	connected, saslOffered, challenged, verified  chart.Event
	authenticated, ready, refused, lost, timedOut chart.Event
}

// compileStartup binds the guards, actions and timeouts of the chart. It returns a
// *ConfigError when the chart doesn't match them.
func compileStartup(definition *chart.Definition, config Config) (*startupChart, error) {
	table, err := chart.Compile(definition, chart.Registry[*target]{
		Guards: map[string]func(*target) bool{
			"scram_available":     (*target).scramAvailable,
			"scram_step_accepted": func(t *target) bool { return t.stepAccepted },
		},
		Actions: map[string]func(*target){
			"send_startup":      (*target).sendStartup,
			"send_client_first": (*target).sendClientFirst,
			"send_client_final": (*target).sendClientFinal,
			"report_opened":     (*target).reportOpened,
			"record_timeout":    func(t *target) { t.closeReason = "the member did not respond in time" },
			"record_unsupported_auth": func(t *target) {
				t.closeReason = "the member requires a password or a SASL mechanism that is not configured"
			},
			"record_unexpected_message": func(t *target) { t.closeReason = "the member sent an unexpected message during startup" },
			"record_scram_failure":      func(t *target) { t.closeReason = "SCRAM-SHA-256 authentication with the member failed" },
			"close":                     func(t *target) { t.conn.Close() },
		},
		Timeouts: map[string]time.Duration{
			"connect":      config.ConnectTimeout,
			"startup_step": config.StartupStepTimeout,
		},
	})
	if err != nil {
		return nil, &ConfigError{Reason: "cannot compile the startup chart", Err: err}
	}
	return &startupChart{
		table:         table,
		open:          table.StateID("open"),
		connected:     table.Event("connected"),
		saslOffered:   table.Event("sasl_offered"),
		challenged:    table.Event("challenged"),
		verified:      table.Event("verified"),
		authenticated: table.Event("authenticated"),
		ready:         table.Event("ready"),
		refused:       table.Event("refused"),
		lost:          table.Event("lost"),
		timedOut:      table.Event(chart.TimeoutEvent),
	}, nil
}

// fire applies an event of the startup chart and arms the timeout of the state
// that it leads to.
func (t *target) fire(event chart.Event) {
	before := t.state
	t.duty.startup.table.Fire(t, &t.state, event)
	if t.state != before {
		t.armStateTimer()
	}
}

// armStateTimer starts the timeout of the current state, if it has one.
func (t *target) armStateTimer() {
	limit := t.duty.startup.table.Timeout(t.state)
	if limit == 0 || t.closed {
		t.duty.Timers.Disarm(&t.stateTimer)
		return
	}
	t.duty.Timers.Arm(&t.stateTimer, time.Now().Add(limit))
}

func (t *target) stateTimedOut() {
	t.fire(t.duty.startup.timedOut)
}

// sendStartup sends the StartupMessage.
func (t *target) sendStartup() {
	t.conn.Write(wire.Append(nil, &pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{
			"user":             t.duty.config.User,
			"database":         string(t.database),
			"application_name": "sassafrasshunt",
		},
	}))
}

// startupHandlers maps the type byte of a message during startup to its handler.
// Other types, such as ParameterStatus, are ignored.
var startupHandlers = [256]func(*target, wire.Frame){
	'R': (*target).handleAuthentication,
	'K': (*target).handleBackendKey,
	'Z': func(t *target, _ wire.Frame) { t.fire(t.duty.startup.ready) },
	'E': (*target).handleStartupError,
}

func (t *target) handleStartupFrame(f wire.Frame) {
	if handle := startupHandlers[f.Type]; handle != nil {
		handle(t, f)
	}
}

// handleStartupError handles an ErrorResponse, which ends the startup.
func (t *target) handleStartupError(f wire.Frame) {
	t.closeReason = "the member refused the startup with SQLSTATE " + wire.ErrorSQLState(f.Body)
	t.fire(t.duty.startup.refused)
}

// handleBackendKey stores what a CancelRequest for this connection needs.
func (t *target) handleBackendKey(f wire.Frame) {
	var m pgproto3.BackendKeyData
	if wire.Decode(f, &m) == nil {
		t.processID, t.cancelSecret = m.ProcessID, m.SecretKey
	}
}

// authHandlers maps the code of an Authentication message to its handler.
var authHandlers = map[uint32]func(*target, wire.Frame){
	pgproto3.AuthTypeOk:           func(t *target, _ wire.Frame) { t.fire(t.duty.startup.authenticated) },
	pgproto3.AuthTypeSASL:         (*target).handleSASLOffer,
	pgproto3.AuthTypeSASLContinue: (*target).handleSASLContinue,
	pgproto3.AuthTypeSASLFinal:    (*target).handleSASLFinal,
}

// authCodeSize is the size of the code in an Authentication message in bytes.
const authCodeSize = 4

// handleAuthentication handles an Authentication message according to its code.
func (t *target) handleAuthentication(f wire.Frame) {
	if len(f.Body) < authCodeSize {
		t.failStartup("invalid Authentication message")
		return
	}
	handle := authHandlers[binary.BigEndian.Uint32(f.Body)]
	if handle == nil {
		t.failStartup("the member requires an authentication method other than trust and " + wire.Mechanism)
		return
	}
	handle(t, f)
}

// failStartup ends the startup and records the reason.
func (t *target) failStartup(reason string) {
	t.closeReason = reason
	t.fire(t.duty.startup.refused)
}

// handleSASLOffer stores the offered mechanisms for the guard scram_available.
func (t *target) handleSASLOffer(f wire.Frame) {
	var m pgproto3.AuthenticationSASL
	if err := wire.Decode(f, &m); err != nil {
		t.failStartup(err.Error())
		return
	}
	t.offeredMechanisms = m.AuthMechanisms
	t.fire(t.duty.startup.saslOffered)
}

// scramAvailable reports whether a password is configured and the member offers
// SCRAM-SHA-256.
func (t *target) scramAvailable() bool {
	return t.duty.config.Password != "" && slices.Contains(t.offeredMechanisms, wire.Mechanism)
}

// sendClientFirst starts the SCRAM exchange with its client-first message.
func (t *target) sendClientFirst() {
	exchange, first, err := t.duty.scram.Begin()
	if err != nil {
		t.closeConn(err.Error())
		return
	}
	t.scram = exchange
	t.conn.Write(wire.Append(nil, &pgproto3.SASLInitialResponse{
		AuthMechanism: wire.Mechanism,
		Data:          []byte(first),
	}))
}

// scramStep passes the server's message to the SCRAM exchange and stores the result
// for the guard scram_step_accepted.
func (t *target) scramStep(f wire.Frame) {
	t.stepAccepted = false
	if t.scram == nil {
		return
	}
	reply, err := t.scram.Step(string(f.Body[authCodeSize:]))
	t.stepAccepted, t.scramReply = err == nil, reply
}

// handleSASLContinue handles the server-first message of SCRAM.
func (t *target) handleSASLContinue(f wire.Frame) {
	t.scramStep(f)
	t.fire(t.duty.startup.challenged)
}

// sendClientFinal sends the client-final message of SCRAM, which proves the password.
func (t *target) sendClientFinal() {
	t.conn.Write(wire.Append(nil, &pgproto3.SASLResponse{Data: []byte(t.scramReply)}))
}

// handleSASLFinal handles the server-final message of SCRAM, in which the member
// proves that it knows the password too.
func (t *target) handleSASLFinal(f wire.Frame) {
	t.scramStep(f)
	t.stepAccepted = t.stepAccepted && t.scram.Verified()
	t.fire(t.duty.startup.verified)
}

// reportOpened reports to session that the connection is ready for a request.
func (t *target) reportOpened() {
	t.scram = nil
	t.duty.counts.opened.Add(1)
	t.duty.Outbox.Push(session.TargetOpened{Target: t.id})
}
