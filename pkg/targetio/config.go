// Package targetio is the duty that owns the connections to targets: it opens
// them, sends requests, keeps the prepared statements of each connection and
// passes results on without decoding rows. Which request goes where is decided
// by the session duty.
package targetio

import (
	"cmp"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/wire/outbox"
)

// Config holds the settings of the duty. Zero values stand for the defaults.
type Config struct {
	// User is the PostgreSQL role on every member.
	User string
	// Password answers SCRAM-SHA-256; empty for members that trust the user.
	Password string
	// RingCapacity is the size of the input ring in items.
	RingCapacity int
	// ConnectTimeout bounds the TCP connect.
	ConnectTimeout time.Duration
	// StartupTimeout bounds each step of the startup after it.
	StartupTimeout time.Duration
	// CancelTimeout bounds a connection that carries a cancel request.
	CancelTimeout time.Duration
	// MaxFrame bounds one message of a member, in bytes.
	MaxFrame int
	// MaxStatements bounds the prepared statements on one connection; the
	// oldest one is closed for a new one.
	MaxStatements int
}

const (
	defaultRingCapacity   = 4096
	defaultConnectTimeout = time.Second
	defaultStartupTimeout = 2 * time.Second
	defaultCancelTimeout  = 2 * time.Second
	defaultMaxFrame       = 64 << 20
	defaultMaxStatements  = 500
	defaultUser           = "sassafrasshunt"
)

func (c Config) withDefaults() Config {
	c.User = cmp.Or(c.User, defaultUser)
	c.RingCapacity = cmp.Or(c.RingCapacity, defaultRingCapacity)
	c.ConnectTimeout = cmp.Or(c.ConnectTimeout, defaultConnectTimeout)
	c.StartupTimeout = cmp.Or(c.StartupTimeout, defaultStartupTimeout)
	c.CancelTimeout = cmp.Or(c.CancelTimeout, defaultCancelTimeout)
	c.MaxFrame = cmp.Or(c.MaxFrame, defaultMaxFrame)
	c.MaxStatements = cmp.Or(c.MaxStatements, defaultMaxStatements)
	return c
}

// Deps are what the duty works with.
type Deps struct {
	// Session receives the events of target connections.
	Session outbox.SessionRing
	// Chart is the definition of target_startup.
	Chart *chart.Definition
}

// Input is an item of the duty's ring.
type Input struct {
	Command session.TargetCommand
}

// FromSession returns the ring item of a session command.
func FromSession(command session.TargetCommand) Input {
	return Input{Command: command}
}

// ConfigError reports a duty that cannot start.
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
