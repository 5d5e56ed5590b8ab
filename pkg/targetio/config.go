// Package targetio is the duty that owns the connections to targets: it opens
// them, sends requests, tracks the prepared statements of each connection and
// forwards results without decoding rows. The session duty decides which target
// executes a request.
package targetio

import (
	"cmp"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/wire/outbox"
)

// Config holds the settings of the duty. A zero value selects the default.
type Config struct {
	// User is the PostgreSQL role that the proxy uses on every member.
	User string
	// Password is the password of User for SCRAM-SHA-256, empty if the members use
	// trust authentication.
	Password string
	// RingCapacity is the capacity of the input ring in items.
	RingCapacity int
	// ConnectTimeout limits the time for the TCP connection.
	ConnectTimeout time.Duration
	// StartupStepTimeout limits each step of the startup after the TCP connection.
	StartupStepTimeout time.Duration
	// CancelTimeout limits the lifetime of a connection for a CancelRequest.
	CancelTimeout time.Duration
	// MaxMessageBytes limits the size of one message from a member.
	MaxMessageBytes int
	// MaxStatements limits the number of prepared statements on one connection. When
	// it is reached, the oldest one is closed before a new one is created.
	MaxStatements int
}

const (
	defaultRingCapacity       = 4096
	defaultConnectTimeout     = time.Second
	defaultStartupStepTimeout = 2 * time.Second
	defaultCancelTimeout      = 2 * time.Second
	defaultMaxMessageBytes    = 64 << 20
	defaultMaxStatements      = 500
	defaultUser               = "sassafrasshunt"
)

func (c Config) withDefaults() Config {
	c.User = cmp.Or(c.User, defaultUser)
	c.RingCapacity = cmp.Or(c.RingCapacity, defaultRingCapacity)
	c.ConnectTimeout = cmp.Or(c.ConnectTimeout, defaultConnectTimeout)
	c.StartupStepTimeout = cmp.Or(c.StartupStepTimeout, defaultStartupStepTimeout)
	c.CancelTimeout = cmp.Or(c.CancelTimeout, defaultCancelTimeout)
	c.MaxMessageBytes = cmp.Or(c.MaxMessageBytes, defaultMaxMessageBytes)
	c.MaxStatements = cmp.Or(c.MaxStatements, defaultMaxStatements)
	return c
}

// Deps are the dependencies of the duty.
type Deps struct {
	// Session is the input ring of the session duty.
	Session outbox.SessionRing
	// Chart is the definition of target_startup.
	Chart *chart.Definition
}

// Input is an item of the duty's ring.
type Input struct {
	Command session.TargetCommand
}

// SessionInput wraps a command of the session duty as a ring item.
func SessionInput(command session.TargetCommand) Input {
	return Input{Command: command}
}

// ConfigError reports why the duty cannot be created. Err is the cause, if any.
type ConfigError struct {
	Reason string
	Err    error
}

func (e *ConfigError) Error() string {
	if e.Err == nil {
		return "targetio: " + e.Reason
	}
	return "targetio: " + e.Reason + ": " + e.Err.Error()
}

func (e *ConfigError) Unwrap() error {
	return e.Err
}
