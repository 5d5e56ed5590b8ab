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

	connected, saslOffered, challenged, verified chart.Event
	authenticated, ready, refused, lost, timeout chart.Event
}

func compileStartup(definition *chart.Definition, config Config) (*startupChart, error) {
	table, err := chart.Compile(definition, chart.Registry[*target]{
		Guards: map[string]func(*target) bool{
			"scram_usable":  (*target).scramUsable,
			"step_accepted": func(t *target) bool { return t.accepted },
		},
		Actions: map[string]func(*target){
			"send_startup":      (*target).sendStartup,
			"begin_scram":       (*target).beginScram,
			"send_proof":        (*target).sendProof,
			"report_opened":     (*target).reportOpened,
			"note_timeout":      func(t *target) { t.reason = "the member did not answer in time" },
			"note_no_mechanism": func(t *target) { t.reason = "the member asks for credentials that are not configured" },
			"note_order":        func(t *target) { t.reason = "the member sent a startup message out of order" },
			"note_scram":        func(t *target) { t.reason = "SCRAM-SHA-256 with the member failed" },
			"close":             func(t *target) { t.conn.Close() },
		},
		Timeouts: map[string]time.Duration{
			"connect": config.ConnectTimeout,
			"startup": config.StartupTimeout,
		},
	})
	if err != nil {
		return nil, &ConfigError{Reason: "startup chart", Err: err}
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
		timeout:       table.Event(chart.TimeoutEvent),
	}, nil
}

// fire applies an event of the startup chart and arms the timeout of the state
// that it leads to.
func (t *target) fire(event chart.Event) {
	before := t.state
	t.duty.startup.table.Fire(t, &t.state, event)
	if t.state != before {
		t.armTimeout()
	}
}

func (t *target) armTimeout() {
	limit := t.duty.startup.table.Timeout(t.state)
	if limit == 0 || t.gone {
		t.duty.Timers.Disarm(&t.timeout)
		return
	}
	t.duty.Timers.Arm(&t.timeout, time.Now().Add(limit))
}

func (t *target) timedOut() {
	t.fire(t.duty.startup.timeout)
}

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

// startupFrames maps the type byte of a startup answer to its handler. Other
// types, such as ParameterStatus, are dropped.
var startupFrames = [256]func(*target, wire.Frame){
	'R': (*target).authentication,
	'K': (*target).backendKey,
	'Z': func(t *target, _ wire.Frame) { t.fire(t.duty.startup.ready) },
	'E': (*target).startupError,
}

func (t *target) startupFrame(f wire.Frame) {
	if handle := startupFrames[f.Type]; handle != nil {
		handle(t, f)
	}
}

func (t *target) startupError(f wire.Frame) {
	t.reason = "the member refused the startup with SQLSTATE " + wire.ErrorState(f.Body)
	t.fire(t.duty.startup.refused)
}

func (t *target) backendKey(f wire.Frame) {
	var m pgproto3.BackendKeyData
	if wire.Decode(f, &m) == nil {
		t.process32, t.secret = m.ProcessID, m.SecretKey
	}
}

// authentications maps the code of an Authentication message to its handler.
var authentications = map[uint32]func(*target, wire.Frame){
	pgproto3.AuthTypeOk:           func(t *target, _ wire.Frame) { t.fire(t.duty.startup.authenticated) },
	pgproto3.AuthTypeSASL:         (*target).saslOffer,
	pgproto3.AuthTypeSASLContinue: (*target).saslContinue,
	pgproto3.AuthTypeSASLFinal:    (*target).saslFinal,
}

// authCodeSize is the size in bytes of the code in an Authentication message.
const authCodeSize = 4

func (t *target) authentication(f wire.Frame) {
	if len(f.Body) < authCodeSize {
		t.refuse("invalid Authentication message")
		return
	}
	handle := authentications[binary.BigEndian.Uint32(f.Body)]
	if handle == nil {
		t.refuse("the member asks for an authentication method other than trust and " + wire.Mechanism)
		return
	}
	handle(t, f)
}

func (t *target) refuse(reason string) {
	t.reason = reason
	t.fire(t.duty.startup.refused)
}

func (t *target) saslOffer(f wire.Frame) {
	var m pgproto3.AuthenticationSASL
	if err := wire.Decode(f, &m); err != nil {
		t.refuse(err.Error())
		return
	}
	t.mechanisms = m.AuthMechanisms
	t.fire(t.duty.startup.saslOffered)
}

func (t *target) scramUsable() bool {
	return t.duty.config.Password != "" && slices.Contains(t.mechanisms, wire.Mechanism)
}

func (t *target) beginScram() {
	proof, first, err := t.duty.scram.Begin()
	if err != nil {
		t.fail(err.Error())
		return
	}
	t.proof = proof
	t.conn.Write(wire.Append(nil, &pgproto3.SASLInitialResponse{
		AuthMechanism: wire.Mechanism,
		Data:          []byte(first),
	}))
}

// saslStep runs the next step of the exchange; the guard step_accepted reads
// its result.
func (t *target) saslStep(f wire.Frame) {
	t.accepted = false
	if t.proof == nil {
		return
	}
	reply, err := t.proof.Step(string(f.Body[authCodeSize:]))
	t.accepted, t.reply = err == nil, reply
}

func (t *target) saslContinue(f wire.Frame) {
	t.saslStep(f)
	t.fire(t.duty.startup.challenged)
}

func (t *target) sendProof() {
	t.conn.Write(wire.Append(nil, &pgproto3.SASLResponse{Data: []byte(t.reply)}))
}

func (t *target) saslFinal(f wire.Frame) {
	t.saslStep(f)
	t.accepted = t.accepted && t.proof.Verified()
	t.fire(t.duty.startup.verified)
}

func (t *target) reportOpened() {
	t.proof = nil
	t.duty.counts.opened.Add(1)
	t.duty.Outbox.Push(session.TargetOpened{Target: t.id})
}
