// Package member is a stand-in for one member of a PostgreSQL database group.
//
// It serves a subset of SQL over the PostgreSQL protocol, replicates its log
// from a primary, and takes commands and faults over a JSON-RPC status endpoint.
// The member duty owns all sockets, the store and the fault settings; the record
// duty owns the records of what callers sent. Bounded rings join the two. The
// member duty may wait for the record duty, never the reverse.
package member

import (
	"strings"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// KeyType is the type that the member reports for the key column.
type KeyType string

// Types of the key column. KeyAny leaves the type unspecified (OID 0), so that pgx
// sends and scans both integers and texts.
const (
	KeyAny    KeyType = "any"
	KeyBigint KeyType = "bigint"
	KeyText   KeyType = "text"
)

// Options describes a member.
type Options struct {
	Member core.MemberID
	// Listen is the PostgreSQL address and StatusListen the address of the
	// status endpoint, IP:port.
	Listen       string
	StatusListen string
	// Peers holds the status addresses of the other members.
	Peers map[core.MemberID]string
	// Primary makes the member start as the primary of Term.
	Primary bool
	// Follow names the primary that a replica follows at the start.
	Follow core.MemberID
	Term   core.Term
	// ConnectDelay is the time between a startup message and its response.
	ConnectDelay time.Duration
	// MaxConnections limits the PostgreSQL connections.
	MaxConnections int
	// Slots is the number of statements that run at a time.
	Slots int
	// ServiceTime is how long a statement holds its slot.
	ServiceTime time.Duration
	// ReceiveDelay is the time until a replica counts an entry as received,
	// ApplyLag the time between receiving and applying an entry.
	ReceiveDelay time.Duration
	ApplyLag     time.Duration
	KeyType      KeyType
	// DataFile preserves log, term and role across a restart; empty for none.
	// Its content takes precedence over Primary, Term and Follow.
	DataFile string
	// RecordFile receives the records as JSON lines; empty for none.
	RecordFile string
	// RecordLimit is the number of records kept in memory; the oldest are
	// dropped first.
	RecordLimit int
}

// DefaultOptions returns the default options of the member m1: a replica that
// follows no member until Primary or Follow is set.
func DefaultOptions() Options {
	return Options{
		Member:         "m1",
		Listen:         "127.0.0.1:0",
		StatusListen:   "127.0.0.1:0",
		Term:           1,
		MaxConnections: 100,
		Slots:          2,
		ReceiveDelay:   2 * time.Millisecond,
		KeyType:        KeyAny,
		RecordLimit:    200_000,
	}
}

// OptionError reports an option with an invalid value.
type OptionError struct {
	Option string
	Value  string
}

func (e *OptionError) Error() string {
	return "invalid value " + e.Value + " for option " + e.Option
}

// ParsePeers parses "id=address,id=address"; empty parts are ignored. It returns
// an *OptionError for any other text.
func ParsePeers(text string) (map[core.MemberID]string, error) {
	peers := map[core.MemberID]string{}
	for part := range strings.SplitSeq(text, ",") {
		if part == "" {
			continue
		}
		id, address, found := strings.Cut(part, "=")
		if !found || id == "" || address == "" {
			return nil, &OptionError{Option: "peers", Value: part}
		}
		peers[core.MemberID(id)] = address
	}
	return peers, nil
}

func (o Options) check() error {
	switch {
	case o.Member == "":
		return &OptionError{Option: "member", Value: `""`}
	case o.Slots < 1:
		return &OptionError{Option: "slots", Value: "below 1"}
	case o.Primary && o.Follow != "":
		return &OptionError{Option: "follow", Value: string(o.Follow)}
	case o.Follow != "" && o.Peers[o.Follow] == "":
		return &OptionError{Option: "follow", Value: string(o.Follow)}
	case o.KeyType != KeyAny && o.KeyType != KeyBigint && o.KeyType != KeyText:
		return &OptionError{Option: "key-type", Value: string(o.KeyType)}
	}
	return nil
}
