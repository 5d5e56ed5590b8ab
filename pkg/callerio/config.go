// Package callerio is the duty that owns the caller sockets: it accepts
// connections, authenticates callers, splits their input into requests and sends
// the responses. The session duty decides what happens to a request.
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

// Config holds the settings of the duty. A zero value selects the default.
type Config struct {
	// Address is the IP:port to listen on.
	Address string
	// RingCapacity is the capacity of the input ring in items.
	RingCapacity int
	// MaxCallers limits the number of open connections.
	MaxCallers int
	// MaxInputBytes limits the size of one message and of one extended-query
	// batch, in bytes.
	MaxInputBytes int
	// InputHighWaterBytes is the amount of buffered input at which reading pauses
	// while a request is unanswered.
	InputHighWaterBytes int
	// OutputHighWaterBytes is the amount of unsent output above which session is
	// told that the caller is blocked.
	OutputHighWaterBytes int
	// MaxStatements limits the number of prepared statements, and of portals, of
	// a caller.
	MaxStatements int
	// StartupStepTimeout limits each step of the startup that waits for the caller.
	StartupStepTimeout time.Duration
	// AdmissionTimeout limits the wait for the session duty at startup.
	AdmissionTimeout time.Duration
	// FlushTimeout limits how long a closing connection sends its last output, and
	// PeerCloseTimeout how long the caller then takes to close it. An idle caller in a
	// connection pool does not notice the end.
	FlushTimeout     time.Duration
	PeerCloseTimeout time.Duration
	// BaseFailureDelay is the delay of the error response to the first failed
	// authentication of a remote address. It doubles with each further failure, up
	// to MaxFailureDelay.
	BaseFailureDelay time.Duration
	MaxFailureDelay  time.Duration
	// ServerVersion is the value of the parameter server_version.
	ServerVersion string
}

const (
	defaultRingCapacity         = 8192
	defaultMaxCallers           = 10000
	defaultMaxInputBytes        = 16 << 20
	defaultInputHighWaterBytes  = 64 << 10
	defaultOutputHighWaterBytes = 256 << 10
	defaultMaxStatements        = 1000
	defaultStartupStepTimeout   = 10 * time.Second
	defaultAdmissionTimeout     = 10 * time.Second
	defaultFlushTimeout         = 5 * time.Second
	// defaultPeerCloseTimeout is several round trips to a distant caller.
	defaultPeerCloseTimeout = time.Second
	defaultBaseFailureDelay = 100 * time.Millisecond
	defaultMaxFailureDelay  = 3 * time.Second
	defaultServerVersion    = "16.4"
)

func (c Config) withDefaults() Config {
	c.RingCapacity = cmp.Or(c.RingCapacity, defaultRingCapacity)
	c.MaxCallers = cmp.Or(c.MaxCallers, defaultMaxCallers)
	c.MaxInputBytes = cmp.Or(c.MaxInputBytes, defaultMaxInputBytes)
	c.InputHighWaterBytes = cmp.Or(c.InputHighWaterBytes, defaultInputHighWaterBytes)
	c.OutputHighWaterBytes = cmp.Or(c.OutputHighWaterBytes, defaultOutputHighWaterBytes)
	c.MaxStatements = cmp.Or(c.MaxStatements, defaultMaxStatements)
	c.StartupStepTimeout = cmp.Or(c.StartupStepTimeout, defaultStartupStepTimeout)
	c.AdmissionTimeout = cmp.Or(c.AdmissionTimeout, defaultAdmissionTimeout)
	c.FlushTimeout = cmp.Or(c.FlushTimeout, defaultFlushTimeout)
	c.PeerCloseTimeout = cmp.Or(c.PeerCloseTimeout, defaultPeerCloseTimeout)
	c.BaseFailureDelay = cmp.Or(c.BaseFailureDelay, defaultBaseFailureDelay)
	c.MaxFailureDelay = cmp.Or(c.MaxFailureDelay, defaultMaxFailureDelay)
	c.ServerVersion = cmp.Or(c.ServerVersion, defaultServerVersion)
	return c
}

// Deps are the dependencies of the duty.
type Deps struct {
	// Session is the input ring of the session duty.
	Session outbox.SessionRing
	// Chart is the definition of caller_startup.
	Chart *chart.Definition
	// Log logs an event; nil drops the events. It runs on the duty's thread and
	// must not block.
	Log func(LogEvent)
}

// LogEvent is an event for the log: a rejected connection or a protocol violation.
// It never contains a key.
type LogEvent struct {
	Kind   LogEventKind
	Remote netip.AddrPort
	// Account and Entry are the names in the StartupMessage, empty before it. They
	// are not verified.
	Account core.AccountName
	Entry   core.EntryName
	Reason  string
}

// LogEventKind is the kind of a LogEvent and the message of its log line.
type LogEventKind string

// Kinds of a LogEvent.
const (
	LogAuthenticationFailed LogEventKind = "authentication failed"
	LogProtocolViolation    LogEventKind = "protocol violation"
	LogTooManyConnections   LogEventKind = "too many connections"
	LogAdmissionTimedOut    LogEventKind = "admission timed out"
)

// Input is an item of the duty's ring: either a command of the session duty or
// a control message.
type Input struct {
	Command session.CallerCommand
	Control Control
}

// SessionInput wraps a command of the session duty as a ring item.
func SessionInput(command session.CallerCommand) Input {
	return Input{Command: command}
}

// Control is a control message from the instance.
type Control interface {
	callerControl()
}

// CatalogueUpdate replaces the current catalogue, which new startups use.
type CatalogueUpdate struct {
	Catalogue *catalogue.Catalogue
}

// StopAccepting closes the listening socket; open connections stay.
type StopAccepting struct{}

func (CatalogueUpdate) callerControl() {}
func (StopAccepting) callerControl()   {}

// ConfigError reports why the duty cannot be created. Err is the cause, if any.
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
