package fleet

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// Input is an item of the fleet duty's ring.
type Input interface {
	fleetInput()
}

// StoreSnapshot delivers a complete read of the store, after a start or after
// changes may have been missed.
type StoreSnapshot struct {
	Snapshot *Snapshot
	// AsOf is a time at which the store held nothing newer than the snapshot.
	AsOf time.Time
	// Since is a time at which the store held nothing newer than what was delivered
	// before, so the changes were made after it. It is zero at the start.
	Since time.Time
	// Feeder is the instance that the records were read from, empty for the store.
	Feeder session.PeerAddress
}

// StoreChanges delivers changes in the order of their revisions. An instance that
// feeds others also gets it without changes, as a sign that there are none.
type StoreChanges struct {
	Changes []Change
	// Next is the revision up to which the changes are complete. AsOf is a time at
	// which the store held nothing newer.
	Next Revision
	AsOf time.Time
	// Since and Feeder are as in StoreSnapshot.
	Since  time.Time
	Feeder session.PeerAddress
}

// StoreUnavailable reports that the store cannot be read. The next StoreSnapshot
// ends the outage.
type StoreUnavailable struct {
	Reason string
}

// SessionReport delivers a report of the session duty.
type SessionReport struct {
	Report session.ControlReport
}

// ConfigurationRequest is another instance's request for the configuration.
type ConfigurationRequest struct {
	// ReplyTo is returned with the response.
	ReplyTo any
}

// ConfigurationReceived delivers the configuration received from another instance.
type ConfigurationReceived struct {
	Configuration *Configuration
}

func (ConfigurationRequest) fleetInput() {}

func (ConfigurationReceived) fleetInput() {}

// StopRequested starts a planned stop.
type StopRequested struct{}

func (StoreSnapshot) fleetInput() {}

func (StoreChanges) fleetInput() {}

func (StoreUnavailable) fleetInput() {}

func (SessionReport) fleetInput() {}

func (StopRequested) fleetInput() {}

// Outputs receives the engine's decisions.
type Outputs interface {
	// Session sends an input to the session duty.
	Session(session.Input)
	// ClaimHome asks the registrar to claim or release the home of an account.
	ClaimHome(HomeClaim)
	// RequestLiveness sends another instance a liveness query about the subject. The
	// response is delivered as a LivenessReport.
	RequestLiveness(node string, address session.PeerAddress, subject session.LivenessSubject)
	// ProbeInstance pings another instance. A response is delivered as a
	// ProbeResponse.
	ProbeInstance(address session.PeerAddress)
	// RevokePrimary asks another instance to stop using a primary. The response is
	// delivered as a RevocationConfirmed.
	RevokePrimary(node string, address session.PeerAddress, group core.DatabaseName, member core.MemberID)
	// RequestConfiguration requests another instance's configuration.
	// SendConfiguration responds to such a request.
	RequestConfiguration(session.PeerAddress)
	SendConfiguration(replyTo any, c *Configuration)
	// SetChangeSource sets where the watcher reads changes from. SendFeed
	// responds to a follower's request.
	SetChangeSource(ChangeSource)
	SendFeed(replyTo any, response FeedResponse)
	// CheckStore makes the watcher read the store at once, which shows whether it
	// is readable.
	CheckStore()
	// RequestHandover sends a request to the successor of a home. The response is
	// delivered as a HandoverAnswered. AnswerHandover responds to such a request.
	RequestHandover(Instance, HandoverRequest)
	AnswerHandover(replyTo any, response HandoverResponse)
	// RegisterAgain writes the registration of the instance again.
	RegisterAgain()
	// Deregister ends the registration of the instance and with it its homes.
	Deregister()
	// SubmitJob hands a job to the worker and reports whether its ring had free
	// space.
	SubmitJob(Job) bool
	// SetReady sets the answer to the balancer's readiness probe.
	SetReady(bool)
	// Finish ends the process after a planned stop.
	Finish()
	// Log writes a log line.
	Log(LogEvent)
}

// LogEvent is a log line about a decision or a change of the observed state.
type LogEvent struct {
	Warning bool
	Event   string
	Message string
	Fields  map[string]any
}
