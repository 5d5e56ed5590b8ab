// Package load drives statements through PostgreSQL addresses and reports what
// the clients saw. It is test code: each client connection has a goroutine.
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

// Options describes a run.
type Options struct {
	// Addresses are IP:port; connections are spread over them.
	Addresses []string
	// Users share the connections evenly.
	Users []User
	// Database is the catalogue entry.
	Database string
	Mode     string
	// ReadShare is the share of reads, 0 to 1.
	ReadShare float64
	// Rate is in statements per second over all connections; 0 for a closed loop.
	Rate     float64
	Duration time.Duration
	// Statements ends the run early after that many statements; 0 for no bound.
	Statements int
	// Connections is the total over all users.
	Connections int
	// Timeout bounds one statement.
	Timeout time.Duration
	// Identities adds a write_id comment to each write.
	Identities bool
	// Prefix begins the keys of the written rows; empty for a random one.
	Prefix string
	// Seed makes the choice between reads and writes repeatable.
	Seed uint64
}

// OptionError reports an option that cannot be used.
type OptionError struct {
	Option string
	Reason string
}

func (e *OptionError) Error() string {
	return "option " + e.Option + ": " + e.Reason
}

// ParseUsers parses "user:key,user:key". It returns an *OptionError that does
// not contain the keys.
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
