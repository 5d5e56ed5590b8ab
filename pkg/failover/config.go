// Package failover decides the primary of one database group as seen from one
// instance: detection, claim, fencing, choice, promotion and announcement. It
// also derives what session needs from the members' answers: the view of the
// group, floors and confirmed positions.
//
// A Group is driven by typed inputs with the current time and answers through
// Outputs. It has no I/O and is not safe for concurrent use.
package failover

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Config holds the durations of the decisions.
type Config struct {
	// Heartbeat is the period of status calls to a member.
	Heartbeat time.Duration
	// FastHeartbeat replaces Heartbeat while a decision waits for answers.
	FastHeartbeat time.Duration
	// SilenceBound is how long the primary may leave calls unanswered.
	SilenceBound time.Duration
	// RefusedBound replaces SilenceBound when the primary's host refuses
	// connections, which proves that no process serves there. It is three times
	// the heartbeat of the members' replication (50 ms), so that replicas of a
	// living primary never report as much silence.
	RefusedBound time.Duration
	// PauseGap is the lateness of a tick above which the instance itself was
	// paused, so that the silence measured so far does not count.
	PauseGap time.Duration
	// StatusTimeout bounds a status call. It is longer than SilenceBound, so
	// that a primary that was paused for less still answers the call.
	StatusTimeout time.Duration
	// WaitTimeout is how long a member holds a wait call.
	WaitTimeout time.Duration
	// OrderTimeout bounds a fence, promote or follow call.
	OrderTimeout time.Duration
	// StaggerMax spreads the claims of instances that detect at once.
	StaggerMax time.Duration
	// PlatformTimeout bounds the wait for a result of the platform.
	PlatformTimeout time.Duration
	// PlatformBackoff is the first delay after the platform failed; it doubles
	// up to PlatformBackoffMax.
	PlatformBackoff    time.Duration
	PlatformBackoffMax time.Duration
	// PromoteBound is how long the chosen member may take before the next
	// term is claimed.
	PromoteBound time.Duration
	// DeciderPatience is how long another instance may take for its claim.
	DeciderPatience time.Duration
	// SettleBound is how long a planned change waits for the answers of more
	// than a majority, so that the preferred member can be among them.
	SettleBound time.Duration
	// ViewPeriod is the period of GroupView when nothing urgent changed.
	ViewPeriod time.Duration
}

// DefaultConfig returns the durations of the design: a heartbeat of 200 ms and
// a silence bound of 600 ms.
func DefaultConfig() Config {
	return Config{
		Heartbeat:          200 * time.Millisecond,
		FastHeartbeat:      25 * time.Millisecond,
		SilenceBound:       600 * time.Millisecond,
		RefusedBound:       150 * time.Millisecond,
		PauseGap:           150 * time.Millisecond,
		StatusTimeout:      900 * time.Millisecond,
		WaitTimeout:        time.Second,
		OrderTimeout:       250 * time.Millisecond,
		StaggerMax:         80 * time.Millisecond,
		PlatformTimeout:    2 * time.Second,
		PlatformBackoff:    50 * time.Millisecond,
		PlatformBackoffMax: time.Second,
		PromoteBound:       time.Second,
		DeciderPatience:    1500 * time.Millisecond,
		SettleBound:        50 * time.Millisecond,
		ViewPeriod:         100 * time.Millisecond,
	}
}

// Member describes one target of the group.
type Member struct {
	ID core.MemberID
	// StatusAddress is the status endpoint, IP:port.
	StatusAddress string
	Domain        core.Domain
	// Slots is the number of statements that the member runs at a time.
	Slots int
}

// Database describes the group.
type Database struct {
	Name    core.DatabaseName
	Members []Member
}

// Rules are the compiled charts with their durations, shared by all groups of
// an instance.
type Rules struct {
	config  Config
	group   *chart.Table[*Group]
	member  *chart.Table[*member]
	events  groupEvents
	reports memberEvents
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
