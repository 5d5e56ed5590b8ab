// Package load generates client load on PostgreSQL addresses and reports what the
// clients observed. It is test code: each client connection has its own goroutine.
package load

import (
	"strings"
	"time"
)

// Modes of the query protocol.
const (
	ModeSimple   = "simple"
	ModeExtended = "extended"
)

// User is a client account with its key.
type User struct {
	Name string
	Key  string
}

// Options is the configuration of a run.
type Options struct {
	// Addresses are IP:port; the connections are distributed over them.
	Addresses []string
	// Users are assigned to the connections in turn.
	Users []User
	// Database is the catalogue entry.
	Database string
	// Mode is ModeSimple or ModeExtended.
	Mode string
	// ReadShare is the share of reads, 0 to 1.
	ReadShare float64
	// Rate is the number of statements per second over all connections; 0 means a
	// closed loop.
	Rate     float64
	Duration time.Duration
	// Statements limits the statements of the run; 0 means no limit.
	Statements int
	// Connections is the number of connections of all users together.
	Connections int
	// Timeout limits each statement and each connection attempt.
	Timeout time.Duration
	// Identities adds a write_id hint to each write.
	Identities bool
	// Prefix is the prefix of the written keys; empty for a random one.
	Prefix string
	// Seed makes the choice between reads and writes reproducible.
	Seed uint64
}

// OptionError reports an option with an invalid value.
type OptionError struct {
	Option string
	Reason string
}

func (e *OptionError) Error() string {
	return "option " + e.Option + ": " + e.Reason
}

// ParseUsers parses "user:key,user:key". It returns an *OptionError for any other
// text; the error does not contain the keys.
func ParseUsers(text string) ([]User, error) {
	var users []User
	for part := range strings.SplitSeq(text, ",") {
		name, key, found := strings.Cut(part, ":")
		if !found || name == "" {
			return nil, &OptionError{Option: "users", Reason: "expected user:key"}
		}
		users = append(users, User{Name: name, Key: key})
	}
	return users, nil
}

func (o Options) check() error {
	switch {
	case len(o.Addresses) == 0 || o.Addresses[0] == "":
		return &OptionError{Option: "addresses", Reason: "is empty"}
	case len(o.Users) == 0:
		return &OptionError{Option: "users", Reason: "is empty"}
	case o.Mode != ModeSimple && o.Mode != ModeExtended:
		return &OptionError{Option: "mode", Reason: "must be simple or extended"}
	case o.ReadShare < 0 || o.ReadShare > 1:
		return &OptionError{Option: "read-share", Reason: "must be between 0 and 1"}
	case o.Connections < 1 || o.Duration <= 0 || o.Timeout <= 0 || o.Rate < 0 || o.Statements < 0:
		return &OptionError{Option: "connections, seconds, statements, timeout, rate", Reason: "out of range"}
	}
	return nil
}
