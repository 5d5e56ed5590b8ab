// Package failover determines the primary of one database group from the point
// of view of one instance. It detects the loss of the primary, claims the next
// term, fences the members, chooses and promotes one of them and announces it.
// From the members' responses it also derives what package session needs: the
// view of the group, floors and confirmed positions.
//
// A Group is driven by typed inputs with the current time and emits its
// decisions through Outputs. It does no I/O and is not safe for concurrent use.
package failover

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Config holds the periods and timeouts of a Group.
type Config struct {
	// Heartbeat is the period of status calls to a member.
	Heartbeat time.Duration
	// FastHeartbeat replaces Heartbeat while a decision waits for responses.
	FastHeartbeat time.Duration
	// DetectionBound is how long the primary may leave calls unanswered before it
	// counts as lost.
	DetectionBound time.Duration
	// RefusedBound replaces DetectionBound when the primary's host refuses
	// connections, which proves that no process listens there. It is three times
	// the heartbeat of the members' replication (50 ms), so that the replicas
	// of a live primary never report that they received nothing from it for that
	// long.
	RefusedBound time.Duration
	// MaxTickDelay is the longest delay of a tick in normal operation. A longer one
	// means that this instance itself was paused, so that the members' unresponsive
	// times measured so far do not count.
	MaxTickDelay time.Duration
	// StatusTimeout bounds a status call. It is longer than DetectionBound, so
	// that a primary that is paused for a shorter time still answers the call.
	StatusTimeout time.Duration
	// WaitTimeout is how long a member holds a wait call.
	WaitTimeout time.Duration
	// CommandTimeout bounds a fence, promote or follow call.
	CommandTimeout time.Duration
	// MaxClaimDelay is the interval over which the claims of instances that
	// detect a lost primary at the same time are spread.
	MaxClaimDelay time.Duration
	// PlatformTimeout bounds the wait for a response of the platform.
	PlatformTimeout time.Duration
	// PlatformBackoff is the first retry delay after the platform failed; it
	// doubles with each failure up to PlatformBackoffMax.
	PlatformBackoff    time.Duration
	PlatformBackoffMax time.Duration
	// PromoteTimeout is how long the chosen member may take to become the primary
	// before the next term is claimed.
	PromoteTimeout time.Duration
	// DeciderTimeout is how long another instance may take to complete its claim.
	DeciderTimeout time.Duration
	// FenceGrace is how long a planned change waits for more fence responses
	// once a majority has responded, so that the preferred member can be among
	// them.
	FenceGrace time.Duration
	// ViewPeriod is the shortest time between two views without an urgent change.
	ViewPeriod time.Duration
}

// DefaultConfig returns the default periods and timeouts.
func DefaultConfig() Config {
	return Config{
		Heartbeat:          200 * time.Millisecond,
		FastHeartbeat:      25 * time.Millisecond,
		DetectionBound:     600 * time.Millisecond,
		RefusedBound:       150 * time.Millisecond,
		MaxTickDelay:       150 * time.Millisecond,
		StatusTimeout:      900 * time.Millisecond,
		WaitTimeout:        time.Second,
		CommandTimeout:     250 * time.Millisecond,
		MaxClaimDelay:      80 * time.Millisecond,
		PlatformTimeout:    2 * time.Second,
		PlatformBackoff:    50 * time.Millisecond,
		PlatformBackoffMax: time.Second,
		PromoteTimeout:     time.Second,
		DeciderTimeout:     1500 * time.Millisecond,
		FenceGrace:         50 * time.Millisecond,
		ViewPeriod:         100 * time.Millisecond,
	}
}

// Member describes one target of the group.
type Member struct {
	ID core.MemberID
	// StatusAddress is the address of the status endpoint, IP:port.
	StatusAddress string
	Domain        core.Domain
	// Slots is the number of statements that the member runs at a time.
	Slots int
}

// Database describes a database group.
type Database struct {
	Name    core.DatabaseName
	Members []Member
}

// Rules are the compiled charts and their Config, shared by all groups of an
// instance.
type Rules struct {
	config       Config
	group        *chart.Table[*Group]
	member       *chart.Table[*member]
	groupEvents  groupEvents
	memberEvents memberEvents
	// healthy and reachable are the states that outputs depend on.
	healthy   chart.State
	reachable chart.State
}

// NewRules compiles the charts "group" and "member". It returns a
// *chart.InvalidError when a chart names an unknown guard, action or timeout.
func NewRules(config Config, group, member *chart.Definition) (*Rules, error) {
	r := &Rules{config: config}
	if err := r.compileGroup(group); err != nil {
		return nil, err
	}
	if err := r.compileMember(member); err != nil {
		return nil, err
	}
	return r, nil
}
