// Package callerio is the duty that owns the caller sockets: it accepts
// connections, proves keys, frames requests and sends answers. What a request
// means is decided by the session duty.
package callerio

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/wire/outbox"
)

// Config holds the settings of the duty. Zero values stand for the defaults.
type Config struct {
	// Address is the IP:port to listen on.
	Address string
	// RingCapacity is the size of the input ring in items.
	RingCapacity int
	// MaxCallers bounds the open connections.
	MaxCallers int
	// MaxInput bounds one message and one extended-query batch, in bytes.
	MaxInput int
	// InputMark is the number of pipelined bytes that a caller may have
	// buffered behind an unanswered request.
	InputMark int
	// OutputMark is the number of unsent bytes at which a caller counts as blocked.
	OutputMark int
	// MaxStatements bounds the prepared statements and the portals of a caller.
	MaxStatements int
	// ExchangeTimeout bounds each step of the startup that waits for the caller.
	ExchangeTimeout time.Duration
	// AdmissionTimeout bounds the wait for the session duty at startup.
	AdmissionTimeout time.Duration
	// LingerTimeout bounds the wait for a closing connection to take its last output.
	LingerTimeout time.Duration
	// BaseDelay and MaxDelay bound the delay of the answer to a failed
	// attempt; it doubles with each failure of one remote address.
	BaseDelay time.Duration
	MaxDelay  time.Duration
	// ServerVersion is reported to callers.
	ServerVersion string
}

const (
	defaultRingCapacity     = 8192
	defaultMaxCallers       = 10000
	defaultMaxInput         = 16 << 20
	defaultInputMark        = 64 << 10
	defaultOutputMark       = 256 << 10
	defaultMaxStatements    = 1000
	defaultExchangeTimeout  = 10 * time.Second
	defaultAdmissionTimeout = 10 * time.Second
	defaultLingerTimeout    = 5 * time.Second
	defaultBaseDelay        = 100 * time.Millisecond
	defaultMaxDelay         = 3 * time.Second
	defaultServerVersion    = "16.4"
)

func (c Config) withDefaults() Config {
	c.RingCapacity = cmp.Or(c.RingCapacity, defaultRingCapacity)
	c.MaxCallers = cmp.Or(c.MaxCallers, defaultMaxCallers)
	c.MaxInput = cmp.Or(c.MaxInput, defaultMaxInput)
	c.InputMark = cmp.Or(c.InputMark, defaultInputMark)
	c.OutputMark = cmp.Or(c.OutputMark, defaultOutputMark)
	c.MaxStatements = cmp.Or(c.MaxStatements, defaultMaxStatements)
	c.ExchangeTimeout = cmp.Or(c.ExchangeTimeout, defaultExchangeTimeout)
	c.AdmissionTimeout = cmp.Or(c.AdmissionTimeout, defaultAdmissionTimeout)
	c.LingerTimeout = cmp.Or(c.LingerTimeout, defaultLingerTimeout)
	c.BaseDelay = cmp.Or(c.BaseDelay, defaultBaseDelay)
	c.MaxDelay = cmp.Or(c.MaxDelay, defaultMaxDelay)
	c.ServerVersion = cmp.Or(c.ServerVersion, defaultServerVersion)
	return c
}

// Deps are what the duty works with.
type Deps struct {
	// Session receives the events of callers.
	Session outbox.SessionRing
	// Chart is the definition of caller_startup.
	Chart *chart.Definition
	// Note receives notable events for the log; nil drops them. It runs on
	// the duty's thread and must not block.
	Note func(Note)
}

// Note is a notable event of a connection. It never holds a key.
type Note struct {
	Kind   NoteKind
	Remote netip.AddrPort
	// Account and Entry are what the caller gave; empty before startup.
	Account core.AccountName
	Entry   core.EntryName
	Reason  string
}

// NoteKind names a kind of Note.
type NoteKind string

// Kinds of Note.
const (
	NoteWrongKey   NoteKind = "authentication failed"
	NoteViolation  NoteKind = "protocol violation"
	NoteTooMany    NoteKind = "too many connections"
	NoteNoCapacity NoteKind = "admission timed out"
)

// Input is an item of the duty's ring: either a command of the session duty or
// a control message.
type Input struct {
	Command session.CallerCommand
	Control Control
}

// FromSession returns the ring item of a session command.
func FromSession(command session.CallerCommand) Input {
	return Input{Command: command}
}

// Control is a message of the instance to the duty.
type Control interface {
	callerControl()
}

// Publish puts a catalogue in force for new startups.
type Publish struct {
	Catalogue *catalogue.Catalogue
}

// StopAccepting closes the listening socket; open connections stay.
type StopAccepting struct{}

func (Publish) callerControl()       {}
func (StopAccepting) callerControl() {}

// ConfigError reports a duty that cannot start.
type ConfigError struct {
	Reason string
	Err    error
}

func (e *ConfigError) Error() string {
	if e.Err == nil {
		return "callerio: " + e.Reason
	}
	return "callerio: " + e.Reason + ": " + e.Err.Error()
}

func (e *ConfigError) Unwrap() error {
	return e.Err
}
