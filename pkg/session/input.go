// Package session decides what happens to callers, their statements and the
// target connections: admission, classification, routing, pooling and answers.
// It runs on the session duty and holds no codec: results travel through it as
// opaque frames.
package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// CallerID identifies a caller connection within one run of the instance.
type CallerID uint64

// TargetID identifies a target connection within one run of the instance.
type TargetID uint64

// Input is an item of the session duty's ring.
type Input interface {
	sessionInput()
}

// CallerOpened reports a caller that has proved its key, or uses an open entry.
type CallerOpened struct {
	Caller  CallerID
	Account core.AccountName
	Entry   core.EntryName
	// Key is empty on open entries.
	Key core.KeyID
	// Carried is the position that the caller brought, zero if none.
	Carried core.Position
	// Trace is the W3C traceparent given at startup, empty if none.
	Trace string
}

// Request is one unit of work: a simple query, or an extended-query batch up
// to and including Sync.
type Request struct {
	// Texts are the SQL texts that the request executes, for classification.
	Texts []string
	// Simple marks the simple query protocol.
	Simple bool
	// PreparesOnly marks a request that executes nothing: it creates or describes
	// prepared statements.
	PreparesOnly bool
	// Verdict is set when the caller's protocol says what the request does; it is
	// then not classified.
	Verdict *Verdict
	// Payload is the encoded request, opaque to decisions.
	Payload *Payload
	// Arrived is when the request was complete.
	Arrived time.Time
}

// Payload carries encoded protocol messages from callerio to targetio.
type Payload struct {
	// Frames are complete frontend messages.
	Frames []byte
	// ID is the caller's identity of the request, where its protocol has one.
	ID string
	// Settings are the session's values, where the caller's protocol keeps them
	// apart from its statements. The list is not changed any more.
	Settings []Setting
	// Prepared lists the named statements that the frames refer to.
	Prepared []PreparedStatement
}

// Setting is one value of a session.
type Setting struct {
	Name  string
	Value string
}

// PreparedStatement is a statement that must exist on the target connection.
type PreparedStatement struct {
	// Name is unique for the text and parameter types over all callers.
	Name string
	// ParseFrame is the complete Parse message that creates it.
	ParseFrame []byte
	// Explicit is set when the caller itself sent Parse in this request and
	// so expects a ParseComplete at that place.
	Explicit bool
}

// CallerRequest reports a complete request. A caller has at most one
// unanswered request here; callerio holds back pipelined ones.
type CallerRequest struct {
	Caller  CallerID
	Request *Request
}

// CallerCancel reports a cancel request that named this caller.
type CallerCancel struct {
	Caller CallerID
}

// CallerClosed reports that the caller's connection is gone.
type CallerClosed struct {
	Caller CallerID
}

// CallerBlocked reports that the caller's output buffer passed its upper mark.
type CallerBlocked struct {
	Caller CallerID
}

// CallerDrained reports that the output buffer fell below its lower mark.
type CallerDrained struct {
	Caller CallerID
}

// TargetOpened reports a target connection that is ready for its first request.
type TargetOpened struct {
	Target TargetID
}

// TargetData carries result frames of an unfinished request.
type TargetData struct {
	Target TargetID
	Frames []byte
}

// TargetReady reports the end of a request (ReadyForQuery).
type TargetReady struct {
	Target TargetID
	// Frames are the last frames of the answer, ReadyForQuery included.
	Frames []byte
	// TxStatus is 'I', 'T' or 'E'.
	TxStatus byte
	// Position is the log position reported with this answer, zero if none.
	Position core.Position
	// ErrorState is the member's code for an error in the answer, empty if none.
	ErrorState string
	// ReadOnly is set when the error says that the member takes no writes.
	ReadOnly bool
	// Denial is set when the member said that the request did not run.
	Denial Denial
	// LogEnd is the end of the member's log, zero if not reported.
	LogEnd core.Position
	// Leader is set when the answer proves that the member was the primary when
	// it reported LogEnd.
	Leader bool
}

// Denial is why a member did not run a request.
type Denial uint8

// Denials of a member.
const (
	DenialNone Denial = iota
	// DenialBusy means that all slots and the member's own queue are taken.
	DenialBusy
	// DenialLagging means that the member's log lacks the asked position.
	DenialLagging
	// DenialNotPrimary means that the request needs the primary.
	DenialNotPrimary
	// DenialUnknownStatement means that a prepared statement is missing.
	DenialUnknownStatement
)

// TargetClosed reports a target connection that failed or was closed.
type TargetClosed struct {
	Target TargetID
	// Unsent is set when no byte of the current request was written.
	Unsent bool
	// Reason is for logs.
	Reason string
	// Refused is set when the member refused a new connection or its startup.
	Refused bool
	// Full is set when it refused because of its bound of connections.
	Full bool
}

// ClassifyResult answers a ClassifyRequest.
type ClassifyResult struct {
	Caller   CallerID
	Sequence uint64
	Verdict  Verdict
}

// CatalogueInForce publishes a newer catalogue.
type CatalogueInForce struct {
	Catalogue *catalogue.Catalogue
}

// MemberView is what control knows of one member.
type MemberView struct {
	Status core.MemberStatus
	// Reachable is false when the member is suspected or its status is old.
	Reachable bool
	// Latency is the smoothed round trip of its status endpoint.
	Latency time.Duration
	// AgeBound is an upper bound of how far reads lag behind the primary.
	AgeBound time.Duration
	// Announced orders the announcements of the group's members; a greater one is
	// newer. Zero where members are asked for their status.
	Announced uint64
	// SeenAt is when the status was received.
	SeenAt time.Time
}

// GroupView publishes the state of one database group.
type GroupView struct {
	Database core.DatabaseName
	// Term is the newest term known.
	Term core.Term
	// Primary is empty while there is none.
	Primary core.MemberID
	Members []MemberView
}

// FloorAnswer publishes the position that a majority of members held for a
// round of status requests that began after Round was asked for.
type FloorAnswer struct {
	Database core.DatabaseName
	Round    uint64
	Position core.Position
}

// ConfirmedUpTo publishes that a majority of the group received the log up to
// Position in its term.
type ConfirmedUpTo struct {
	Database core.DatabaseName
	Position core.Position
}

// ShareInForce publishes the shares that this instance may spend.
type ShareInForce struct {
	// Revision is the share table's revision, returned in ShareApplied.
	Revision uint64
	// Grant identifies the holding of the slot; buckets are emptied when it
	// changes.
	Grant    uint64
	Accounts map[core.AccountName]RateShare
	// Connections bounds the target connections of this instance.
	Connections map[core.DatabaseName]int
	// Rest is after how long unused target connections are closed, where that is
	// sooner than Bounds.ConnectionIdle.
	Rest map[core.DatabaseName]time.Duration
	// Until is the time after which nothing of the share may be spent.
	Until time.Time
	// Instances are the registered runs of instances.
	Instances map[core.InstanceID]bool
}

// RateShare is this instance's part of an account's rate and burst. A share
// that grows adds no tokens to the bucket.
type RateShare struct {
	// Rate is in statements per second.
	Rate float64
	// Burst is in statements.
	Burst float64
	// Until is the time after which this share may not be spent; zero for that of
	// all shares.
	Until time.Time
}

// LimitsInForce publishes the operator's limits.
type LimitsInForce struct {
	// TransactionIdle bounds the pauses of callers in a transaction; zero leaves
	// the configured bound.
	TransactionIdle time.Duration
}

func (LimitsInForce) sessionInput() {}

// KeysTrusted publishes until when keys may be honoured without newer word of
// revocations. Until it has been published once, keys are honoured.
type KeysTrusted struct {
	Until time.Time
}

// KeysRevoked ends the sessions of keys whose revocation came ahead of the
// catalogue that holds it.
type KeysRevoked struct {
	Keys []core.KeyID
}

// ReleaseIdle ends the sessions of callers that are outside a transaction and
// have no request, so that they reconnect to an instance that can serve them.
type ReleaseIdle struct{}

// Drain starts the graceful stop: no new callers, and connected callers are
// told to reconnect at a clean boundary.
type Drain struct{}

func (CallerOpened) sessionInput()     {}
func (CallerRequest) sessionInput()    {}
func (CallerCancel) sessionInput()     {}
func (CallerClosed) sessionInput()     {}
func (CallerBlocked) sessionInput()    {}
func (CallerDrained) sessionInput()    {}
func (TargetOpened) sessionInput()     {}
func (TargetData) sessionInput()       {}
func (TargetReady) sessionInput()      {}
func (TargetClosed) sessionInput()     {}
func (ClassifyResult) sessionInput()   {}
func (CatalogueInForce) sessionInput() {}
func (GroupView) sessionInput()        {}
func (FloorAnswer) sessionInput()      {}
func (ConfirmedUpTo) sessionInput()    {}
func (ShareInForce) sessionInput()     {}
func (KeysTrusted) sessionInput()      {}
func (KeysRevoked) sessionInput()      {}
func (ReleaseIdle) sessionInput()      {}
func (Drain) sessionInput()            {}
