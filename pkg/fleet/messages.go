package fleet

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// Input is an item of the fleet duty's ring.
type Input interface {
	fleetInput()
}

// StoreSeen reports everything that the store holds, after a start or a gap.
type StoreSeen struct {
	Snapshot *Snapshot
	// Current is when the store had nothing newer than the snapshot.
	Current time.Time
	// Since is a time at which the store had no newer news than those that were
	// delivered before; zero at the start.
	Since time.Time
}

// StoreChanged reports changes in their order. An instance that feeds others
// has it without changes as well, as a sign that there are none.
type StoreChanged struct {
	Changes []Change
	// Next is the revision up to which they go, Current a time at which the store
	// had nothing newer.
	Next    Revision
	Current time.Time
	// Since is as in StoreSeen.
	Since time.Time
}

// StoreLost reports that the store cannot be read; StoreSeen ends that.
type StoreLost struct {
	Reason string
}

// FromSession is a report of the session duty.
type FromSession struct {
	Report session.ControlReport
}

// ConfigurationAsked is a request of another instance for the configuration.
type ConfigurationAsked struct {
	// Reply comes back with the answer.
	Reply any
}

// ConfigurationGiven is the configuration of another instance.
type ConfigurationGiven struct {
	Configuration *Configuration
}

func (ConfigurationAsked) fleetInput() {}

func (ConfigurationGiven) fleetInput() {}

// StopRequested begins the planned stop.
type StopRequested struct{}

func (StoreSeen) fleetInput() {}

func (StoreChanged) fleetInput() {}

func (StoreLost) fleetInput() {}

func (FromSession) fleetInput() {}

func (StopRequested) fleetInput() {}

// Outputs receives what the engine decides.
type Outputs interface {
	Session(session.Input)
	// ClaimHome asks the registrar to make this instance an account's home.
	ClaimHome(HomeClaim)
	// AskOpinion asks another instance what it has heard of the subject; the
	// answer is an Opinion.
	AskOpinion(node string, address session.PeerAddress, subject session.Subject)
	// ProbeInstance asks another instance for a sign of life; the answer is an
	// InstanceHeard.
	ProbeInstance(address session.PeerAddress)
	// AskConfiguration asks another instance for its configuration, and
	// GiveConfiguration answers such a question.
	AskConfiguration(session.PeerAddress)
	GiveConfiguration(reply any, c *Configuration)
	// News tells the watcher where to have the news from, and GiveFeed answers a
	// follower.
	News(NewsFrom)
	GiveFeed(reply any, a FeedAnswer)
	// CheckStore lets the store be read at once, which tells whether it can be.
	CheckStore()
	// Leave gives the registration and the homes up.
	Leave()
	// Work hands a job to the worker and reports whether there was room.
	Work(Job) bool
	// Ready tells the balancer's probe whether callers may come.
	Ready(bool)
	// Finish ends the process after a planned stop.
	Finish()
	Log(LogEvent)
}

// LogEvent is a line about a decision or a change of belief.
type LogEvent struct {
	Warning bool
	Event   string
	Message string
	Fields  map[string]any
}
